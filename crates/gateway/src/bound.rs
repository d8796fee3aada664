//! Applies the limits on callers regularly, and reports what they refused.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::memory::MemoryKind;

use crate::callers::BoundReason;
use crate::callers::CallerTimes;
use crate::event::Event;
use crate::shared::Shared;

/// How often connections are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Limits before tables are known.
const DEFAULT_TIMES: CallerTimes = CallerTimes {
    head: Duration::from_secs(3),
    answer: Duration::from_secs(15),
};
/// Minimum time for a head, whatever the tables say.
const MIN_HEAD_TIME: Duration = Duration::from_secs(1);
/// Time without progress of an answer that is allowed when memory is short, and the minimum otherwise.
const SHORT_ANSWER_TIME: Duration = Duration::from_secs(2);
/// Fraction of the budget from which memory counts as short.
const SHORT_FRACTION: f64 = 0.75;

/// Counts what the limits refused since the last log line.
#[derive(Debug, Default)]
pub(crate) struct BoundedCounts {
    bodies: Cell<u64>,
    too_long: Cell<u64>,
    heads: Cell<u64>,
    answers: Cell<u64>,
    connections: Cell<u64>,
}

impl BoundedCounts {
    /// Counts a refusal or a closed connection.
    pub(crate) fn record(&self, reason: BoundReason) {
        let count = match reason {
            BoundReason::Body => &self.bodies,
            BoundReason::TooLong => &self.too_long,
            BoundReason::Head => &self.heads,
            BoundReason::Answer => &self.answers,
            BoundReason::Connections => &self.connections,
        };
        count.set(count.get() + 1);
        metrics::counter!("callers_bounded", "reason" => reason.to_string()).increment(1);
    }

    /// Returns the log event of what was counted, and counts anew; none if nothing was.
    fn take(&self, shared: &Shared) -> Option<Event> {
        let counts = [
            &self.bodies,
            &self.too_long,
            &self.heads,
            &self.answers,
            &self.connections,
        ];
        let [bodies, too_long, heads, answers, connections] = counts.map(Cell::take);
        let any = bodies + too_long + heads + answers + connections > 0;
        any.then(|| Event::CallersBounded {
            bodies,
            too_long,
            heads,
            answers,
            connections,
            callers: shared.caller_connections.get(),
            used_bytes: shared.memory.used(),
            limit_bytes: shared.memory.bounds().lower,
        })
    }
}

/// Closes connections that take too long, until the process ends.
pub(crate) async fn check_callers(shared: Rc<Shared>) {
    let mut logged_at: Option<Mono> = None;
    loop {
        let started = shared.now();
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = shared.now();
        // After a pause of the whole process, what callers sent meanwhile has yet to be read.
        if now.saturating_sub(started) < CHECK_INTERVAL * 2 {
            for reason in shared.callers.close_overdue(times(&shared), now) {
                shared.bounded.record(reason);
            }
        }
        if logged_at.is_some_and(|at| now.saturating_sub(at) < LOG_INTERVAL) {
            continue;
        }
        if let Some(event) = shared.bounded.take(&shared) {
            shared.log.event(&event);
            logged_at = Some(now);
        }
    }
}

fn times(shared: &Shared) -> CallerTimes {
    let catalog = shared.fleet.borrow().catalog();
    let mut times = catalog.map_or(DEFAULT_TIMES, |catalog| CallerTimes {
        head: catalog.tables().limits.head_time.max(MIN_HEAD_TIME),
        answer: catalog.tables().limits.idle_time.max(SHORT_ANSWER_TIME),
    });
    let limit = shared.memory.bounds().lower as f64;
    let is_short = shared.memory.used() as f64 > limit * SHORT_FRACTION;
    if is_short || shared.answer_memory.is_short() {
        times.answer = times.answer.min(SHORT_ANSWER_TIME);
    }
    times
}

/// Updates the gauges of the memory kept for callers.
pub(crate) fn update_gauges(shared: &Shared) {
    for kind in MemoryKind::ALL {
        let bytes = shared.memory.used_by(kind);
        metrics::gauge!("memory_kept_bytes", "kind" => kind.name()).set(bytes as f64);
    }
    metrics::gauge!("memory_limit_bytes").set(shared.memory.bounds().lower as f64);
}
