//! What faults do to the routers that order, to their service, and to the servers.

use std::time::Duration;

use primrose_store::memory::Fault as StoreFault;
use primrose_store::store::Result as StoreResult;
use primrose_store::store::Store;
use primrose_store::store::StoreError;

use crate::orders::World;
use crate::orders::END;
use crate::orders::LAPSE;
use crate::orders::LONG;
use crate::orders::MOVES;
use crate::sim::fault::Fault;

impl World {
    /// What a fault does to hosts, links and the service.
    pub(crate) fn disturb(&mut self, place: usize, server: Option<usize>, fault: Option<Fault>) {
        let now = self.now();
        let server = server.unwrap_or(0);
        match fault {
            Some(Fault::ServerCrash) => {
                let server = &mut self.servers[server];
                server.state.version = "1".to_owned();
                server.state.loading.clear();
                server.state.fence = 0;
                server.down_until = now + LONG;
            }
            Some(Fault::ServerHang) => self.servers[server].hung_until = now + LONG,
            Some(Fault::ServerLeave) => {
                self.targets[server] = false;
                self.assign(place);
            }
            Some(Fault::RouterCrash) => {
                self.processes[place].asleep_until = END * 2;
                self.moves_at = Some((now + MOVES, 1 - place));
            }
            Some(Fault::RouterEmpty) => {
                self.processes[place] = self.start();
                self.assign(place);
            }
            Some(Fault::RouterPause) => self.processes[place].asleep_until = now + LONG,
            Some(Fault::LeaseLapse) => {
                self.processes[place].asleep_until = now + LAPSE;
                self.moves_at = Some((now + MOVES, 1 - place));
            }
            Some(Fault::CutRouters) => self.moves_at = Some((now, 1 - place)),
            Some(Fault::CutPlatform) => self.processes[place].cut_until = now + LONG,
            Some(Fault::CutZone) => {
                self.processes[place].cut_until = now + LONG;
                self.moves_at = Some((now, 1 - place));
            }
            Some(Fault::StoreDown) => {
                self.store.set_down(true);
                self.store_up_at = now + LONG;
            }
            Some(Fault::StoreSlow) => self.slow_until = now + LONG,
            Some(Fault::StoreReplyLost) => self.store.fault_in(1, StoreFault::LostAfter),
            _ => {}
        }
    }

    /// Begins a lease under a fault of the call.
    pub(crate) fn grant(&self, ttl: Duration, fault: Option<Fault>) -> StoreResult<String> {
        match fault {
            Some(Fault::Lost) => {
                let detail = "fault at this step".to_owned();
                return Err(StoreError::Lost { detail });
            }
            Some(Fault::ReplyLost) => self.store.fault_in(1, StoreFault::LostAfter),
            Some(Fault::Late) => self.store.fault_in(1, StoreFault::Late(2)),
            Some(Fault::Crossed) => self.store.fault_in(1, StoreFault::Late(1)),
            Some(Fault::Doubled) => {
                let _ = self.store.lease(ttl);
            }
            _ => {}
        }
        self.store.lease(ttl)
    }
}
