//! Prompt parts that crash servers: what the tracker learns from requests, servers and digests.

use primrose_core::clock::Mono;

use super::Fleet;
use super::Placement;
use super::PlacementRequest;
use crate::entry::ShortId;
use crate::place::PartId;
use crate::poison::Probe;
use crate::poison::QuarantineChange;
use crate::poison::QuarantineReport;
use crate::poison::SURVIVAL_TIME;

impl Fleet {
    /// Returns the servers to probe, since a connection to them broke.
    pub fn take_probes(&mut self) -> Vec<Probe> {
        let mut probes = self.poison.take_probes();
        for probe in std::mem::take(&mut self.cold_probes) {
            if !probes.iter().any(|other| other.server == probe.server) {
                probes.push(probe);
            }
        }
        probes
    }

    /// Records that a probed server is gone.
    pub fn record_death(&mut self, server: ShortId, now: Mono) {
        self.record_crashed(server, now);
        self.poison.confirm_death(server, now);
        self.review_deaths(now);
    }

    /// Records that a probed server is alive.
    pub fn record_alive(&mut self, server: ShortId) {
        self.poison.dismiss_break(server);
    }

    /// Returns the changes of quarantines since the last call, decided here or at another gateway.
    pub fn take_quarantine_changes(&mut self) -> Vec<QuarantineChange> {
        self.poison.take_changes()
    }

    /// Adopts a quarantine that the platform's store holds.
    pub fn adopt_quarantine(&mut self, quarantine: QuarantineReport, now: Mono) {
        self.poison.adopt_quarantine(quarantine, now);
    }

    /// Whether requests with a part are refused.
    pub fn is_quarantined(&self, part: PartId, now: Mono) -> bool {
        self.poison.refused_for(&[part], now).is_some()
    }

    /// Returns the quarantines in force, and the parts that were released lately.
    pub fn quarantine_states(&self, now: Mono) -> (Vec<QuarantineReport>, Vec<PartId>) {
        self.poison.states(now)
    }

    /// Returns the number of prompt parts in quarantine.
    pub fn quarantined_count(&self, now: Mono) -> usize {
        self.poison.quarantined_count(now)
    }

    /// Records that a run goes on; `began` is the time of its first event.
    pub(super) fn record_survival(
        &mut self,
        request: &PlacementRequest,
        placement: &mut Placement,
        began: Mono,
        now: Mono,
    ) {
        if !placement.survived && now.saturating_sub(began) >= SURVIVAL_TIME {
            placement.survived = true;
            self.record_survival_of(request, began);
        }
    }

    /// Records that a run survived which began at `began`.
    pub(super) fn record_survival_of(&mut self, request: &PlacementRequest, began: Mono) {
        self.poison.record_survival(&request.parts, began);
        // Most requests come once, so that only those that are suspects are worth remembering.
        if self.poison.is_suspect(request.fingerprint) {
            self.poison.record_survival(&[request.fingerprint], began);
        }
    }

    /// Records that the connection to a server broke during a request.
    pub(super) fn record_break(
        &mut self,
        request: &PlacementRequest,
        placement: &Placement,
        now: Mono,
    ) {
        let server = self.server_of(placement);
        let Some(server) = server.filter(|server| server.accepts_requests()) else {
            return;
        };
        let probe = Probe {
            server: server.short_id,
            addr: placement.addr,
        };
        if !placement.survived {
            self.poison.record_break(probe, &suspects(request), now);
        }
    }

    /// Confirms the deaths of servers that were removed from the list after a connection broke, and
    /// quarantines the parts with enough evidence.
    pub(super) fn review_deaths(&mut self, now: Mono) {
        let listed = |id: ShortId| self.servers.iter().find(|server| server.short_id == id);
        let unconfirmed: Vec<ShortId> = self.poison.unconfirmed().collect();
        let removed: Vec<ShortId> = unconfirmed
            .into_iter()
            .filter(|id| listed(*id).is_none())
            .collect();
        for server in removed {
            self.poison.confirm_death(server, now);
        }
        self.poison.review(
            |server| listed(server).and_then(|server| server.last_activity),
            now,
        );
    }
}

/// Returns what may be the cause if a request crashes a server: its parts, or all of it. The whole
/// request comes last, since it explains the deaths of one repeated request better than its parts.
pub(super) fn suspects(request: &PlacementRequest) -> Vec<PartId> {
    let mut suspects = request.parts.to_vec();
    if !suspects.is_empty() {
        suspects.push(request.fingerprint);
    }
    suspects
}
