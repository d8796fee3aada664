//! Tests of the suspect register.

mod cases;
mod fleet;
mod merging;

use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::AttemptId;
use primrose_core::id::RequestId;
use primrose_suspect::Death;
use primrose_suspect::InFlightAttempt;
use primrose_suspect::Limits;
use primrose_suspect::Register;

/// Wall-clock time at the start of a test, in milliseconds.
const NOW: u64 = 1_700_000_000_000;

fn register() -> Register {
    Register::new(Limits::default())
}

fn in_flight(fingerprint: Fingerprint, request: RequestId) -> InFlightAttempt {
    InFlightAttempt {
        attempt: AttemptId { request, number: 1 },
        fingerprint,
        account: "parish-3".to_owned(),
        route: "drafts".to_owned(),
        since: 0,
    }
}

fn death(server: &str, in_flight: Vec<InFlightAttempt>) -> Death {
    Death {
        server: server.to_owned(),
        run: 1,
        pool: "drafting".to_owned(),
        in_flight,
    }
}
