//! Exchanges the digests of the gateways, as the daemon does.

use primrose_core::clock::Mono;
use primrose_fleet::Outgoing;

use super::Simulation;
use crate::deployment::host_ip;
use crate::deployment::host_number;

impl Simulation {
    pub(super) fn publish_digests(&mut self, now: Mono) {
        for from in 0..self.gateways.len() {
            if now < self.next_digests[from] {
                continue;
            }
            let gateway = &mut self.gateways[from];
            gateway.expire(now);
            let outgoing = gateway.outgoing(now);
            self.next_digests[from] = now + gateway.send_interval(&outgoing);
            for Outgoing { receivers, digest } in outgoing {
                for receiver in receivers {
                    let to = host_number(receiver);
                    let separated = self.partitioned && self.zone_of(from) != self.zone_of(to);
                    if !separated {
                        self.gateways[to].merge(digest.clone(), host_ip(0, from), now);
                    }
                }
            }
        }
    }
}
