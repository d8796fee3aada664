//! Samples the state of the deciding thread for the day's report, about once a second.

use std::collections::BTreeMap;
use std::time::Duration;

use crossbeam_channel::Sender;
use primrose_core::clock::Mono;
use primrose_core::host::HostState;
use primrose_core::id::Generation;
use primrose_core::id::Member;
use primrose_core::id::PoolId;
use primrose_core::id::ServerId;
use primrose_core::id::ZoneId;
use primrose_dispatch::status::AccountStatus;
use primrose_dispatch::status::Status;
use primrose_front::broker::Report;
use primrose_report::observation::Observation;
use primrose_report::record::Record;
use primrose_share::weighted_service;
use primrose_suspect::FingerprintStatus;

use crate::decide::Decider;
use crate::message::PeerMessage;
use crate::message::RecordId;
use crate::reporter::FleetSnapshot;
use crate::reporter::PoolSize;
use crate::reporter::ReportInput;
use crate::reporter::Reporter;

/// Duty of gathering the day records of the zone.
const GATHER_DUTY: &str = "gather day";
/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time that one sample may stand for; a longer gap means that the process was paused.
const MAX_SAMPLE_SPAN: Duration = Duration::from_secs(5);
/// Time after which a leaving server must not get any grants.
const LEAVING_GRACE: Duration = Duration::from_secs(5);
/// Time after which a silent router that is not in the host list counts as departed.
const DEPARTED_AFTER: Duration = Duration::from_secs(60);

/// A generation of the tables that is active at a peer but not yet at this router.
#[derive(Debug, Clone, Copy)]
struct HeardGeneration {
    generation: Generation,
    at: Mono,
}

/// State kept between samples.
pub(super) struct Observer {
    pub(super) reporter: Reporter,
    next_sample: Mono,
    last_sample: Mono,
    /// Leaving servers, with the time since when.
    leaving: BTreeMap<ServerId, Mono>,
    /// Silent routers, with the time since when.
    silent: BTreeMap<Member, Mono>,
    heard: Option<HeardGeneration>,
    /// Active generation of the tables; 0 if there is none.
    active_generation: Generation,
}

impl Observer {
    pub(super) fn new(reporter: Reporter, now: Mono) -> Self {
        Self {
            reporter,
            next_sample: now,
            last_sample: now,
            leaving: BTreeMap::new(),
            silent: BTreeMap::new(),
            heard: None,
            active_generation: 0,
        }
    }

    /// Records that a router of the zone went silent.
    pub(super) fn router_silent(&mut self, member: &Member, now: Mono) {
        self.silent.insert(member.clone(), now);
    }

    /// Records the generation of the tables that is active at a peer.
    pub(super) fn peer_generation(&mut self, generation: Generation, now: Mono) {
        let known = self
            .heard
            .map_or(self.active_generation, |heard| heard.generation);
        if generation > known.max(self.active_generation) {
            let at = now;
            self.heard = Some(HeardGeneration { generation, at });
        }
    }

    /// Records that a generation of the tables became active here.
    pub(super) fn tables_activated(&mut self, generation: Generation, now: Mono) {
        let heard = self.heard.filter(|heard| heard.generation <= generation);
        let lag = heard.map_or(Duration::ZERO, |heard| now.saturating_sub(heard.at));
        // The first generation after the start is not a change.
        let lag = (self.active_generation > 0).then_some(lag);
        self.active_generation = generation;
        self.heard = None;
        self.reporter
            .observe(Observation::InForce { generation, lag });
    }
}

impl Decider {
    /// Records a sample if one is due.
    pub(super) fn sample(&mut self, now: Mono) {
        if now < self.observer.next_sample {
            return;
        }
        self.observer.next_sample = now + SAMPLE_INTERVAL;
        let span = now.saturating_sub(self.observer.last_sample);
        self.observer.last_sample = now;
        self.update_leaving(now);
        self.report_departed(now);
        if span <= MAX_SAMPLE_SPAN {
            self.sample_pools(span, now);
        }
        // If the channel is full, the next sample follows in a second.
        let fleet = ReportInput::Fleet(self.fleet_snapshot());
        self.observer.reporter.try_send(fleet);
    }

    /// Passes a record of another router to the report thread, and acknowledges it.
    pub(super) fn peer_record(&mut self, from: &Member, record: Box<Record>) {
        let id = RecordId::new(&record);
        // If the channel is full, the record is dropped and superseded by a later one.
        if self.observer.reporter.try_send(ReportInput::Record(record)) {
            self.peer_links
                .send(&from.host, &PeerMessage::RecordAck(id));
        }
    }

    /// Has the report thread send the day's records to the current gatherer before the router ends.
    pub(super) fn finish_day(&mut self, reply: Sender<()>) {
        let reporter = &self.observer.reporter;
        // If the channel is full, the last seconds of the day are lost.
        reporter.try_send(ReportInput::Fleet(self.fleet_snapshot()));
        reporter.try_send(ReportInput::Finish(reply));
    }

    fn sample_pools(&self, span: Duration, now: Mono) {
        let mut observations = Vec::new();
        for (pool, dispatcher) in &self.dispatchers {
            let status = dispatcher.status(now);
            observations.push(slot_observation(pool, &status, span));
            observations.extend(gap_observation(pool, &status));
        }
        self.observer.reporter.observe_all(observations);
    }

    fn fleet_snapshot(&self) -> FleetSnapshot {
        let table = self.snapshots.table();
        let zones: Vec<ZoneId> = self.directory.router_zones().map(str::to_owned).collect();
        let reachable: Vec<&ZoneId> = self.view.reachable_zones().collect();
        let is_unreachable = |zone: &&ZoneId| **zone != self.zone && !reachable.contains(zone);
        let pool_sizes = table.pools.values().map(|pool| PoolSize {
            pool: pool.name.clone(),
            servers: self.directory.servers(pool).len(),
        });
        FleetSnapshot {
            gatherer: self.view.holder(GATHER_DUTY).cloned(),
            unreachable: zones.iter().filter(is_unreachable).cloned().collect(),
            servers: pool_sizes.collect(),
            zones,
        }
    }

    /// Updates since when each server has been leaving.
    fn update_leaving(&mut self, now: Mono) {
        let table = self.snapshots.table();
        let pools = table.pools.values();
        let servers = pools.flat_map(|pool| self.directory.servers(pool));
        let leaving = servers.filter(|server| server.state == HostState::Leaving);
        let known = &self.observer.leaving;
        let since = |id: &ServerId| known.get(id).copied().unwrap_or(now);
        self.observer.leaving = leaving
            .map(|one| (one.id.clone(), since(&one.id)))
            .collect();
    }

    /// Records a grant on a server that should no longer get any.
    pub(super) fn observe_grant(&self, pool: &PoolId, server: &ServerId, now: Mono) {
        let since = self.observer.leaving.get(server);
        if since.is_some_and(|since| now.saturating_sub(*since) > LEAVING_GRACE) {
            let pool = pool.clone();
            let late = Observation::AfterLeaving { pool };
            self.observer.reporter.observe(late);
        }
    }

    /// Records the death of a server under a request whose fingerprint is now refused as poison.
    pub(super) fn observe_death(&self, report: &Report, before: FingerprintStatus) {
        let is_refused = |status| matches!(status, FingerprintStatus::Refused { .. });
        if !is_refused(self.suspect_status(report.fingerprint)) {
            return;
        }
        let pool = || report.pool.clone();
        if is_refused(before) {
            let lost = Observation::LostToPoison { pool: pool() };
            self.observer.reporter.observe(lost);
            return;
        }
        let listed = self.suspects.list(self.unix_millis()).into_iter();
        let known = listed.filter(|one| one.fingerprint == report.fingerprint);
        let servers: usize = known.map(|one| one.servers.len()).sum();
        let mut observations = vec![Observation::Poison { pool: pool() }];
        observations.extend((0..servers).map(|_| Observation::LostToPoison { pool: pool() }));
        self.observer.reporter.observe_all(observations);
    }

    /// Reports silent routers that are not in the host list to the report thread.
    fn report_departed(&mut self, now: Mono) {
        let (view, links) = (&self.view, &self.links);
        let is_back = |member: &Member| {
            let linked = links.get(&member.host);
            view.members().any(|live| live == member)
                || linked.is_some_and(|link| link.member == *member)
        };
        self.observer.silent.retain(|member, _| !is_back(member));
        let directory = &self.directory;
        let reporter = &self.observer.reporter;
        self.observer.silent.retain(|member, since| {
            let is_overdue = now.saturating_sub(*since) >= DEPARTED_AFTER;
            let is_departed = is_overdue && directory.lacks_router(&member.host);
            !(is_departed && reporter.try_send(ReportInput::Departed(member.clone())))
        });
    }
}

/// Returns the slots and the queue length of a pool in this zone.
fn slot_observation(pool: &PoolId, status: &Status, span: Duration) -> Observation {
    let live = status.servers.iter();
    let live = live.filter(|server| server.state == HostState::Live);
    let (slots, busy) = live.fold((0, 0), |(slots, busy), server| {
        let limit = u64::from(server.limit);
        (slots + limit, busy + limit.min(server.busy.into()))
    });
    let accounts = status.accounts.iter();
    let waiting: usize = accounts.map(|account| account.waiting).sum();
    Observation::Slots {
        pool: pool.clone(),
        span,
        slots,
        busy,
        waiting: waiting as u64,
    }
}

/// Returns the largest difference of service between two backlogged accounts of a pool.
fn gap_observation(pool: &PoolId, status: &Status) -> Option<Observation> {
    let backlogged = || {
        let accounts = status.accounts.iter();
        accounts.filter(|account| account.waiting > 0)
    };
    let ahead: &AccountStatus = backlogged().max_by_key(|account| account.above)?;
    let behind: &AccountStatus = backlogged().min_by_key(|account| account.above)?;
    if ahead.account == behind.account {
        return None;
    }
    let difference = ahead.above.saturating_sub(behind.above) / weighted_service(1, 1);
    Some(Observation::Gap {
        pool: pool.clone(),
        ahead: ahead.account.clone(),
        behind: behind.account.clone(),
        gap: u64::try_from(difference).unwrap_or(0),
    })
}
