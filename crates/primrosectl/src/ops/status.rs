//! Gathers the state of the routers, and waits until a generation is in force on all of them.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use primrose_core::id::Generation;
use primrose_report::status::RouterStatus;

use super::fleet::Fleet;
use super::fleet::FleetError;
use super::sleep::Sleeper;

/// Pause between two looks at the routers.
const LOOK: Duration = Duration::from_millis(250);
/// Routers that are asked at the same time.
const AT_ONCE: usize = 16;

/// What one router answered.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Address of its operator listener.
    pub router: SocketAddr,
    /// Its state, or why it gave none.
    pub status: Result<RouterStatus, FleetError>,
}

/// Asks all routers; answers come in the order of the addresses.
pub fn query_all(fleet: &dyn Fleet, routers: &[SocketAddr]) -> Vec<Answer> {
    let mut answers = Vec::with_capacity(routers.len());
    for group in routers.chunks(AT_ONCE) {
        thread::scope(|scope| {
            let asked: Vec<_> = group
                .iter()
                .map(|router| scope.spawn(|| query_one(fleet, *router)))
                .collect();
            // A thread that panicked leaves its router out; the panic is on standard error.
            answers.extend(asked.into_iter().filter_map(|thread| thread.join().ok()));
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
    let has = |answer: &&Answer| {
        let header = answer
            .status
            .as_ref()
            .ok()
            .and_then(|one| one.tables.header);
        header.is_some_and(|header| header.generation >= generation)
    };
    let lag = answers.iter().filter(|answer| !has(answer));
    lag.map(|answer| answer.router).collect()
}

/// Waits until the generation is in force on all routers; returns those that still lack it.
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
        sleeper.sleep(LOOK);
        waited += LOOK;
    }
}
