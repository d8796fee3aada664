//! Forwards a stream to the caller event by event, and resumes it on another server if it breaks
//! off.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use primrose_conn::has_certain_end;
use primrose_conn::RequestBody;
use primrose_core::clock::Mono;
use primrose_fleet::AttemptOutcome;
use primrose_fleet::Placement;
use tokio::time::Sleep;

use crate::answer;
use crate::attempt;
use crate::attempt::Failure;
use crate::attempt::StreamSource;
use crate::attempt::StreamStart;
use crate::body::ChunkSender;
use crate::body::Interrupted;
use crate::guard::PlacementGuard;
use crate::job::Job;
use crate::split::Splitter;
use crate::wait;

/// Outcome of a stream that no server resumed.
const INTERRUPTED: &str = "broken_off";

/// Result of reading from a stream once.
enum Step {
    Events(Bytes),
    /// Data that completes no event.
    Partial,
    End,
    DeadlineExceeded,
    Failed(Failure),
}

/// A response that is being streamed; its end is logged once, as `caller_left` if it is dropped
/// before.
pub(crate) struct StreamedJob {
    job: Job,
    status: StatusCode,
    /// The server that runs the request; none if the response did not come from a server.
    placement: Option<Placement>,
    logged: bool,
}

impl StreamedJob {
    pub(crate) fn new(mut job: Job, status: StatusCode, placement: &Placement) -> Self {
        if !job.request.route.kind.is_repeatable() {
            // It is not sent again, so its body is not needed for as long as the stream lasts.
            job.body = RequestBody::default();
        }
        Self {
            job,
            status,
            placement: Some(placement.clone()),
            logged: false,
        }
    }

    fn log_end(&mut self, outcome: &'static str) {
        self.logged = true;
        self.job
            .log_answered(self.placement.as_ref(), self.status, outcome);
    }
}

impl Drop for StreamedJob {
    fn drop(&mut self) {
        if !self.logged {
            self.log_end("caller_left");
        }
    }
}

/// Forwards a stream to its end.
pub(crate) async fn forward(
    mut streamed: StreamedJob,
    guard: PlacementGuard,
    start: Box<StreamStart>,
    chunks: ChunkSender,
) {
    let StreamStart {
        first_events,
        source,
        ..
    } = *start;
    let memory = &streamed.job.shared.answer_memory;
    chunks.send(Ok(memory.hold(first_events))).await;
    let mut current = Some((guard, source));
    let mut outcome = "whole";
    while let Some((mut guard, mut source)) = current {
        match forward_events(&streamed.job, &mut guard, &mut source, &chunks).await {
            Step::End => {
                streamed.log_end(outcome);
                let StreamSource { sender, idle, .. } = source;
                let servers = &streamed.job.shared.server_connections;
                servers.release(guard.placement.addr, sender, Some(idle));
                guard.finish(AttemptOutcome::Good);
                return;
            }
            Step::DeadlineExceeded => {
                streamed.log_end("time_over");
                chunks.send(Err(Interrupted)).await;
                return;
            }
            Step::Failed(failure) => {
                outcome = "resumed";
                let splitter = source.splitter.continued();
                // Closing the connection first keeps two servers from running one request at once.
                drop(source);
                streamed.placement = None;
                current = resume(&mut streamed.job, guard, failure, &splitter).await;
                let guard = current.as_ref().map(|(guard, _)| guard);
                streamed.placement = guard.map(|guard| guard.placement.clone());
            }
            Step::Events(_) | Step::Partial => unreachable!("handled by forward_events"),
        }
    }
    streamed.log_end(INTERRUPTED);
    // The caller sees that the response is incomplete.
    chunks.send(Err(Interrupted)).await;
}

/// Timers of a stream. They live as long as the stream is read from one server, since creating them
/// anew for each event costs more than forwarding it.
struct Timers {
    deadline: Pin<Box<Sleep>>,
    /// When data last arrived; read by `silence`.
    last_data: Rc<Cell<Mono>>,
    silence: Pin<Box<dyn Future<Output = ()>>>,
}

impl Timers {
    fn start(job: &Job, guard: &PlacementGuard) -> Self {
        let last_data = Rc::new(Cell::new(job.shared.now()));
        let silence = wait::wait_for_silence(job, guard, Rc::clone(&last_data));
        Self {
            deadline: Box::pin(tokio::time::sleep(job.remaining())),
            last_data,
            silence: Box::pin(silence),
        }
    }
}

async fn forward_events(
    job: &Job,
    guard: &mut PlacementGuard,
    source: &mut StreamSource,
    chunks: &ChunkSender,
) -> Step {
    let mut timers = Timers::start(job, guard);
    loop {
        match next_step(job, guard, source, &mut timers).await {
            Step::Events(events) => {
                guard.record_events();
                guard.record_progress(source.splitter.event_count());
                chunks.send(Ok(job.shared.answer_memory.hold(events))).await;
            }
            Step::Partial => {}
            Step::End => {
                return match attempt::check_end(job, guard).await {
                    Ok(()) => Step::End,
                    Err(failure) => Step::Failed(failure),
                };
            }
            other => return other,
        }
    }
}

async fn next_step(
    job: &Job,
    guard: &PlacementGuard,
    source: &mut StreamSource,
    timers: &mut Timers,
) -> Step {
    if let Some(fault) = source.fault() {
        return Step::Failed(Failure::maybe_run(
            AttemptOutcome::Failed,
            fault.to_string(),
        ));
    }
    let frame = tokio::select! {
        biased;
        frame = source.body.frame() => frame,
        () = timers.deadline.as_mut() => return Step::DeadlineExceeded,
        () = timers.silence.as_mut() => {
            return Step::Failed(Failure::maybe_run(
                AttemptOutcome::Unreachable,
                "the server is silent",
            ));
        }
    };
    let data = match frame {
        None if source.splitter.has_partial_event() => {
            return Step::Failed(Failure::maybe_run(
                AttemptOutcome::Broken,
                "the stream ended within an event",
            ));
        }
        None if !source.splitter.has_events() => {
            return Step::Failed(Failure::maybe_run(
                AttemptOutcome::Failed,
                "the server does not go on with the stream",
            ));
        }
        None => return Step::End,
        Some(Err(error)) => {
            return Step::Failed(Failure::maybe_run(
                AttemptOutcome::Broken,
                error.to_string(),
            ))
        }
        Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
    };
    timers.last_data.set(job.shared.now());
    guard.record_activity();
    match source.splitter.push(&data) {
        Some(events) => Step::Events(events),
        None => Step::Partial,
    }
}

/// Finds a server that resumes the stream after the last event that `splitter` knows; none if there is
/// none.
async fn resume(
    job: &mut Job,
    guard: PlacementGuard,
    failure: Failure,
    splitter: &Splitter,
) -> Option<(PlacementGuard, StreamSource)> {
    let last_event_id = splitter.last_event_id();
    let mut placement = guard.placement.clone();
    guard.finish(failure.outcome);
    let mut failure = failure;
    loop {
        if !job.record_failure(&placement, &failure) || last_event_id.is_none() {
            return None;
        }
        let new_placement = match job.decide() {
            Ok(new_placement) => new_placement,
            Err(refusal) => {
                job.log_not_resumed(&refusal);
                return None;
            }
        };
        let mut guard = PlacementGuard::new(&job.shared, &job.request, new_placement);
        match attempt::send(job, &guard, last_event_id).await {
            Ok(answer) if answer.response.status().is_success() => {
                let method = &job.http_head.method;
                guard.placement.end_certain = has_certain_end(method, &answer.response);
                let (head, body) = answer.response.into_parts();
                if answer::is_stream(&head) {
                    let source = StreamSource {
                        body,
                        splitter: splitter.continued(),
                        buffered: job.shared.answer_memory.begin(),
                        sender: answer.sender,
                        idle: answer::idle_time(&head),
                    };
                    return Some((guard, source));
                }
                failure = attempt::no_stream();
            }
            Ok(answer) => {
                let status = answer.response.status();
                failure = Failure::maybe_run(
                    AttemptOutcome::Failed,
                    format!("the server answered {status}"),
                );
            }
            Err(failed) => failure = failed,
        }
        placement = guard.placement.clone();
        guard.finish(failure.outcome);
    }
}
