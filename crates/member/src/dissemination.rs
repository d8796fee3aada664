//! Dissemination of records, reports and leaving marks between peers.
//!
//! Changes are queued for the peers that lack them and sent with the next heartbeat. Digests, which
//! are sent every few heartbeats, reveal what was lost; the missing parts are then sent again.

use std::collections::BTreeMap;

use primrose_core::clock::Mono;
use primrose_core::id::HostId;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;

use crate::event::Action;
use crate::heartbeat::Heartbeat;
use crate::heartbeat::Summary;
use crate::heartbeat::Versions;
use crate::peers::Outbox;
use crate::settings::HEARTBEATS_PER_SUMMARY;
use crate::view::View;

impl View {
    /// Queues the whole state for a peer whose link has come up.
    pub(crate) fn queue_full_state(&mut self, member: &Member) {
        let own_zone = self.settings.zone.clone();
        let records: Vec<HostId> = self.zone.live().map(|r| r.member.host.clone()).collect();
        let reports: Vec<ZoneId> = self.fleet.known().cloned().collect();
        let leaving: Vec<HostId> = self.leaving_marks.hosts().cloned().collect();
        let Some(peer) = self.peers.linked(member) else {
            return;
        };
        if peer.zone == own_zone {
            peer.outbox.records.extend(records);
        }
        peer.outbox.reports.extend(reports);
        peer.outbox.leaving.extend(leaving);
        peer.outbox.due = true;
    }

    /// Processes a heartbeat; returns true if live routers or paths to zones may have changed.
    pub(crate) fn receive_heartbeat(
        &mut self,
        from: &Member,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
        now: Mono,
    ) -> bool {
        let Some(peer) = self.peers.linked(from) else {
            return false;
        };
        let same_zone = peer.zone == self.settings.zone;
        let silent = now.saturating_sub(peer.last_heard) >= self.settings.timing.peer_timeout();
        let mut changed = peer.last_count.is_none() || silent;
        if peer.last_count.is_none_or(|count| heartbeat.count > count) {
            peer.last_count = Some(heartbeat.count);
            peer.last_heard = now;
            peer.table = heartbeat.table;
        }
        for record in heartbeat.records.iter().filter(|_| same_zone) {
            if self.zone.merge(record, now) {
                self.announce_record(&record.member.host, Some(&from.host));
                changed = true;
            }
        }
        for report in &heartbeat.reports {
            if self.fleet.merge(report) {
                self.announce_report(&report.zone, Some(&from.host));
                if report.zone == self.settings.zone {
                    self.dialer.learn_reported(&report.members, now);
                }
                changed = true;
            }
        }
        for mark in &heartbeat.leaving {
            if self
                .leaving_marks
                .merge(mark, self.settings.timing.retention, now)
            {
                self.announce_mark(&mark.host, Some(&from.host), actions);
            }
        }
        if let Some(theirs) = heartbeat.summary {
            self.compare_summary(from, theirs);
        }
        if let Some(theirs) = heartbeat.versions {
            self.compare_versions(from, &theirs);
        }
        changed
    }

    /// Queues the versions of the local state for a peer whose digests differ.
    ///
    /// The peer compares them and sends what is missing here.
    fn compare_summary(&mut self, from: &Member, theirs: Summary) {
        let ours = self.summary(true);
        let own_zone = self.settings.zone.clone();
        let Some(peer) = self.peers.linked(from) else {
            return;
        };
        let records = peer.zone == own_zone && theirs.records != ours.records;
        let differs = theirs.reports != ours.reports || theirs.leaving != ours.leaving;
        if records || differs {
            peer.outbox.versions = true;
        }
    }

    /// Queues what a peer lacks according to its versions.
    fn compare_versions(&mut self, from: &Member, theirs: &Versions) {
        let records = missing(self.zone.versions(), &theirs.records, |v| {
            v.member.host.clone()
        });
        let reports = missing(self.fleet.versions(), &theirs.reports, |v| v.zone.clone());
        let differs = theirs.leaving != self.leaving_marks.digest();
        let leaving: Vec<HostId> = self
            .leaving_marks
            .hosts()
            .filter(|_| differs)
            .cloned()
            .collect();
        let own_zone = self.settings.zone.clone();
        let Some(peer) = self.peers.linked(from) else {
            return;
        };
        if peer.zone == own_zone {
            peer.outbox.records.extend(records);
        }
        peer.outbox.reports.extend(reports);
        peer.outbox.leaving.extend(leaving);
    }

    /// Queues a record for the peers of the zone that do not get it from another router.
    pub(crate) fn announce_record(&mut self, host: &HostId, from: Option<&HostId>) {
        for peer in self.peers.iter_mut() {
            let has_link = |other| self.zone.has_link(&peer.member.host, other);
            let informed = from.is_some_and(|from| has_link(host) || has_link(from));
            if peer.zone == self.settings.zone && !informed {
                peer.outbox.records.insert(host.clone());
            }
        }
    }

    /// Queues a report for the peers that do not get it from another router.
    pub(crate) fn announce_report(&mut self, zone: &ZoneId, from: Option<&HostId>) {
        for peer in self.peers.iter_mut() {
            let informed = from.is_some_and(|from| self.zone.has_link(&peer.member.host, from));
            if !informed {
                peer.outbox.reports.insert(zone.clone());
            }
        }
    }

    /// Queues a leaving mark for the peers and reports it to the caller.
    pub(crate) fn announce_mark(
        &mut self,
        host: &HostId,
        from: Option<&HostId>,
        actions: &mut Vec<Action>,
    ) {
        self.forward_mark(host, from);
        if let Some(incarnation) = self.leaving_marks.incarnation(host) {
            let host = host.clone();
            actions.push(Action::ServerLeaving { host, incarnation });
        }
    }

    /// Queues a leaving mark for the peers other than `from`.
    fn forward_mark(&mut self, host: &HostId, from: Option<&HostId>) {
        for peer in self.peers.iter_mut() {
            if Some(&peer.member.host) != from {
                peer.outbox.leaving.insert(host.clone());
            }
        }
    }

    /// If a heartbeat interval starts, makes a heartbeat due for every peer and expires old state.
    pub(crate) fn start_interval(&mut self, now: Mono) {
        if now < self.next_interval {
            return;
        }
        let retention = self.settings.timing.retention;
        self.leaving_marks.expire(retention, now);
        self.zone.expire(retention, now);
        for host in self.leaving_marks.confirmations(retention) {
            self.forward_mark(&host, None);
        }
        let interval = self.settings.timing.heartbeat_interval;
        self.next_interval = (self.next_interval + interval).max(now);
        self.intervals += 1;
        let send_summary = self.intervals % HEARTBEATS_PER_SUMMARY == 0;
        for peer in self.peers.iter_mut() {
            peer.outbox.due = true;
            peer.outbox.summary |= send_summary;
        }
    }

    /// Sends a heartbeat to each peer for which one is due or changes are queued.
    pub(crate) fn flush(&mut self, actions: &mut Vec<Action>, now: Mono) {
        let mut outboxes = BTreeMap::new();
        for peer in self.peers.iter_mut() {
            if !peer.outbox.is_empty() {
                let same_zone = peer.zone == self.settings.zone;
                let outbox = std::mem::take(&mut peer.outbox);
                outboxes.insert(peer.member.host.clone(), (same_zone, outbox));
            }
        }
        for (to, (same_zone, outbox)) in outboxes {
            let heartbeat = self.build_heartbeat(same_zone, &outbox, now);
            actions.push(Action::SendHeartbeat { to, heartbeat });
        }
    }

    /// Builds a heartbeat with the queued changes of one peer.
    fn build_heartbeat(&mut self, same_zone: bool, outbox: &Outbox, now: Mono) -> Heartbeat {
        self.heartbeats_sent += 1;
        let record = |host: &HostId| self.zone.record(host).cloned();
        let report = |zone: &ZoneId| self.fleet.report(zone).cloned();
        let mark = |host: &HostId| self.leaving_marks.mark(host, now);
        Heartbeat {
            count: self.heartbeats_sent,
            table: self.table.clone(),
            records: outbox.records.iter().filter_map(record).collect(),
            reports: outbox.reports.iter().filter_map(report).collect(),
            leaving: outbox.leaving.iter().filter_map(mark).collect(),
            summary: outbox.summary.then(|| self.summary(same_zone)),
            versions: outbox.versions.then(|| self.versions(same_zone)),
        }
    }

    /// Returns the digests of the local state.
    fn summary(&self, same_zone: bool) -> Summary {
        Summary {
            records: if same_zone { self.zone.digest() } else { 0 },
            reports: self.fleet.digest(),
            leaving: self.leaving_marks.digest(),
        }
    }

    /// Returns the versions of the local state.
    fn versions(&self, same_zone: bool) -> Versions {
        let records = if same_zone {
            self.zone.versions()
        } else {
            Vec::new()
        };
        Versions {
            records,
            reports: self.fleet.versions(),
            leaving: self.leaving_marks.digest(),
        }
    }
}

/// Returns the keys of which the peer has no version or an older one.
///
/// Relies on the derived order of the versions: of two with the same key, the greater is newer.
fn missing<V, K, F>(ours: Vec<V>, theirs: &[V], key: F) -> Vec<K>
where
    V: Ord,
    K: Ord,
    F: Fn(&V) -> K,
{
    let theirs: BTreeMap<K, &V> = theirs.iter().map(|v| (key(v), v)).collect();
    let is_missing = |v: &V| theirs.get(&key(v)).is_none_or(|theirs| *theirs < v);
    let missing_versions = ours.into_iter().filter(is_missing);
    missing_versions.map(|v| key(&v)).collect()
}
