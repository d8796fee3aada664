//! Queries the status of the routers, and waits until a generation is in force on all of them.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use primrose_core::id::Generation;
use primrose_report::status::RouterStatus;

use super::fleet::Fleet;
use super::fleet::FleetError;
use super::sleep::Sleeper;

/// Time between two polls of the routers.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Limit on the routers that are queried at the same time.
const MAX_PARALLEL_QUERIES: usize = 16;

/// Result of querying one router.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Address of its operator listener.
    pub router: SocketAddr,
    /// Status of the router, or why the query failed.
    pub status: Result<RouterStatus, FleetError>,
}

/// Queries all routers; answers are in the order of the addresses.
pub fn query_all(fleet: &dyn Fleet, routers: &[SocketAddr]) -> Vec<Answer> {
    let mut answers = Vec::with_capacity(routers.len());
    for group in routers.chunks(MAX_PARALLEL_QUERIES) {
        thread::scope(|scope| {
            let queries: Vec<_> = group
                .iter()
                .map(|router| scope.spawn(|| query_one(fleet, *router)))
                .collect();
            // A router whose thread panicked is left out; the panic message is on standard error.
            answers.extend(queries.into_iter().filter_map(|thread| thread.join().ok()));
        });
    }
    answers
}

fn query_one(fleet: &dyn Fleet, router: SocketAddr) -> Answer {
    let status = fleet.status(router);
    Answer { router, status }
}

/// Returns the newest generation in force at a router; 0 if none is known.
pub fn newest_generation(answers: &[Answer]) -> Generation {
    let headers = answers.iter().filter_map(|answer| {
        let status = answer.status.as_ref().ok()?;
        status.tables.header
    });
    headers.map(|header| header.generation).max().unwrap_or(0)
}

/// Returns the routers that do not have the generation in force yet.
fn lagging(answers: &[Answer], generation: Generation) -> Vec<SocketAddr> {
    let in_force = |answer: &&Answer| {
        let header = answer
            .status
            .as_ref()
            .ok()
            .and_then(|status| status.tables.header);
        header.is_some_and(|header| header.generation >= generation)
    };
    let late = answers.iter().filter(|answer| !in_force(answer));
    late.map(|answer| answer.router).collect()
}

/// Waits until the generation is in force on all routers or `limit` has passed; returns the routers
/// that still lack it.
pub fn wait_in_force(
    fleet: &dyn Fleet,
    sleeper: &dyn Sleeper,
    routers: &[SocketAddr],
    generation: Generation,
    limit: Duration,
) -> Vec<SocketAddr> {
    let mut waited = Duration::ZERO;
    loop {
        let late = lagging(&query_all(fleet, routers), generation);
        if late.is_empty() || waited >= limit {
            return late;
        }
        sleeper.sleep(POLL_INTERVAL);
        waited += POLL_INTERVAL;
    }
}
