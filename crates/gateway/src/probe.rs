//! Probes of servers whose connections broke.
//!
//! A broken connection may be due to the server, to one request, or to a link. If nothing listens at
//! the server's address any more, the server has crashed.

use std::rc::Rc;
use std::time::Duration;

use primrose_conn::ProbeResult;
use primrose_conn::END_PROBE_DELAY;
use primrose_fleet::poison::Probe;
use tokio::task::spawn_local;

use crate::quarantine::report_changes;
use crate::shared::Shared;

/// Time from the break to each probe. A crashing process may close its connections before its
/// listener.
const PROBE_DELAYS: [Duration; 2] = [END_PROBE_DELAY, Duration::from_millis(250)];

/// Starts to probe servers.
pub(crate) fn spawn(shared: &Rc<Shared>, probes: Vec<Probe>) {
    for probe in probes {
        spawn_local(run(Rc::clone(shared), probe));
    }
}

async fn run(shared: Rc<Shared>, probe: Probe) {
    let mut result = ProbeResult::Unknown;
    for delay in PROBE_DELAYS {
        tokio::time::sleep(delay).await;
        result = shared.server_connections.probe(probe.addr).await;
        if result == ProbeResult::Refused {
            let now = shared.now();
            shared.fleet.borrow_mut().record_death(probe.server, now);
            report_changes(&shared);
            return;
        }
    }
    if result == ProbeResult::Accepted {
        shared.fleet.borrow_mut().record_alive(probe.server);
    }
}
