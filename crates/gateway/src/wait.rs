//! How long an attempt waits for data from a server.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::AttemptOutcome;

use crate::attempt::Failure;
use crate::guard::PlacementGuard;
use crate::job::Job;

/// How often a request at a silent server checks whether another server can take it.
const MOVE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time without data from a server, on any request, after which a repeatable request is
/// retried on another server.
const MIN_SILENCE: Duration = Duration::from_millis(900);
/// Time without data from a server before a retry, as a multiple of the route's latency objective;
/// [`MIN_SILENCE`] applies if it is longer.
const SILENCE_OBJECTIVES: u32 = 2;

/// Why waiting for data from a server was abandoned.
pub(crate) enum WaitError {
    DeadlineExceeded,
    ServerSilent,
    Exiting,
}

impl From<WaitError> for Failure {
    fn from(error: WaitError) -> Self {
        match error {
            WaitError::DeadlineExceeded => {
                Self::maybe_run(AttemptOutcome::GivenUp, "the request's time is over")
            }
            WaitError::Exiting => {
                Self::maybe_run(AttemptOutcome::GivenUp, "the gateway is about to end")
            }
            WaitError::ServerSilent => {
                Self::maybe_run(AttemptOutcome::Unreachable, "the server is silent")
            }
        }
    }
}

/// Waits until the deadline of the request has passed, the server counts as silent, or the process is
/// about to exit.
pub(crate) async fn wait_error(job: &Job, guard: &PlacementGuard) -> WaitError {
    let started = Rc::new(Cell::new(guard.placement.started));
    tokio::select! {
        () = tokio::time::sleep(job.remaining()) => WaitError::DeadlineExceeded,
        () = wait_for_silence(job, guard, started) => WaitError::ServerSilent,
        () = job.shared.exit_begun() => WaitError::Exiting,
    }
}

/// Waits until a server has sent no data for too long, neither on this request, of which
/// `last_data` is the time of the last data, nor on any other, and another server can take the
/// request. A server that is only slow keeps a request that no other may or can take.
pub(crate) fn wait_for_silence(
    job: &Job,
    guard: &PlacementGuard,
    last_data: Rc<Cell<Mono>>,
) -> impl Future<Output = ()> + 'static {
    let route = &job.request.route;
    let may_move = route.kind.is_repeatable() && job.runs + 1 < route.tries;
    let limit = MIN_SILENCE.max(route.objective * SILENCE_OBJECTIVES);
    let shared = Rc::clone(&job.shared);
    let placement = guard.placement.clone();
    let request = may_move.then(|| job.request.clone());
    async move {
        let Some(request) = request else {
            return std::future::pending().await;
        };
        loop {
            let other_data = shared.fleet.borrow().last_activity(&placement);
            let latest = other_data.map_or(last_data.get(), |at| at.max(last_data.get()));
            let remaining = (latest + limit).saturating_sub(shared.now());
            if !remaining.is_zero() {
                tokio::time::sleep(remaining).await;
                continue;
            }
            let now = shared.now();
            let can_move = shared
                .fleet
                .borrow_mut()
                .can_move(&request, &placement, now);
            if can_move {
                return;
            }
            tokio::time::sleep(MOVE_CHECK_INTERVAL).await;
        }
    }
}
