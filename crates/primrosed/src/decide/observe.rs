//! What the deciding thread tells the sums of the day, about once a second.

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
use crate::message::RecordName;
use crate::reporter::FleetSight;
use crate::reporter::PoolSize;
use crate::reporter::ReportInput;
use crate::reporter::Reporter;

/// Duty of gathering the records of the zone.
const GATHER_DUTY: &str = "gather day";
/// Time between two samples.
const SAMPLE_EVERY: Duration = Duration::from_secs(1);
/// Longest span that one sample stands for; a paused process saw nothing.
const LONGEST_SAMPLE: Duration = Duration::from_secs(5);
/// Time after which a leaving server gets no new work.
const LEAVING_TIME: Duration = Duration::from_secs(5);
/// Time after which a router that is off the host list and silent cannot speak again.
const GONE_AFTER: Duration = Duration::from_secs(60);

/// A generation of the tables that a peer has in force and this router not yet.
#[derive(Debug, Clone, Copy)]
struct Heard {
    generation: Generation,
    at: Mono,
}

/// What samples need to remember.
pub(super) struct Observer {
    pub(super) reporter: Reporter,
    next: Mono,
    last: Mono,
    /// Servers that are leaving, and since when.
    leaving: BTreeMap<ServerId, Mono>,
    /// Routers that went silent, and when.
    silent: BTreeMap<Member, Mono>,
    heard: Option<Heard>,
    /// Last generation of the tables that came into force.
    used: Generation,
}

impl Observer {
    pub(super) fn new(reporter: Reporter, now: Mono) -> Self {
        Self {
            reporter,
            next: now,
            last: now,
            leaving: BTreeMap::new(),
            silent: BTreeMap::new(),
            heard: None,
            used: 0,
        }
    }

    /// A router of the zone went silent.
    pub(super) fn went_silent(&mut self, member: &Member, now: Mono) {
        self.silent.insert(member.clone(), now);
    }

    /// A peer has a generation of the tables in force.
    pub(super) fn heard_of(&mut self, generation: Generation, now: Mono) {
        let known = self.heard.map_or(self.used, |heard| heard.generation);
        if generation > known.max(self.used) {
            let at = now;
            self.heard = Some(Heard { generation, at });
        }
    }

    /// A generation of the tables came into force here.
    pub(super) fn in_force(&mut self, generation: Generation, now: Mono) {
        let heard = self.heard.filter(|heard| heard.generation <= generation);
        let lag = heard.map_or(Duration::ZERO, |heard| now.saturating_sub(heard.at));
        // What a router starts with is no change.
        let lag = (self.used > 0).then_some(lag);
        self.used = generation;
        self.heard = None;
        self.reporter.see(Observation::InForce { generation, lag });
    }
}

impl Decider {
    /// Takes a sample if one is due.
    pub(super) fn sample(&mut self, now: Mono) {
        if now < self.observer.next {
            return;
        }
        self.observer.next = now + SAMPLE_EVERY;
        let span = now.saturating_sub(self.observer.last);
        self.observer.last = now;
        self.note_leaving(now);
        self.tell_gone(now);
        if span <= LONGEST_SAMPLE {
            self.sample_pools(span, now);
        }
        // A ring without room is told again in a second.
        let fleet = ReportInput::Fleet(self.fleet_sight());
        self.observer.reporter.tell(fleet);
    }

    /// Takes a record of another router, and says that it is held here.
    pub(super) fn peer_record(&mut self, from: &Member, record: Box<Record>) {
        let name = RecordName::new(&record);
        // One that finds no room is followed by the next.
        if self.observer.reporter.tell(ReportInput::Record(record)) {
            self.wires.send(&from.host, &PeerMessage::Held(name));
        }
    }

    /// Has the day handed on for the last time, to whoever gathers now.
    pub(super) fn finish_day(&mut self, reply: Sender<()>) {
        let reporter = &self.observer.reporter;
        // Without room the router ends without the last seconds of its day.
        reporter.tell(ReportInput::Fleet(self.fleet_sight()));
        reporter.tell(ReportInput::Finish(reply));
    }

    fn sample_pools(&self, span: Duration, now: Mono) {
        let mut seen = Vec::new();
        for (pool, dispatcher) in &self.dispatchers {
            let status = dispatcher.status(now);
            seen.push(slots(pool, &status, span));
            seen.extend(gap(pool, &status));
        }
        self.observer.reporter.see_all(seen);
    }

    fn fleet_sight(&self) -> FleetSight {
        let table = self.published.table();
        let zones: Vec<ZoneId> = self.directory.router_zones().map(str::to_owned).collect();
        let reachable: Vec<&ZoneId> = self.view.reachable_zones().collect();
        let is_away = |zone: &&ZoneId| **zone != self.zone && !reachable.contains(zone);
        let sizes = table.pools.values().map(|pool| PoolSize {
            pool: pool.name.clone(),
            servers: self.directory.servers(pool).len(),
        });
        FleetSight {
            gatherer: self.view.holder(GATHER_DUTY).cloned(),
            unreachable: zones.iter().filter(is_away).cloned().collect(),
            servers: sizes.collect(),
            zones,
        }
    }

    /// Notes since when each server has been leaving.
    fn note_leaving(&mut self, now: Mono) {
        let table = self.published.table();
        let pools = table.pools.values();
        let servers = pools.flat_map(|pool| self.directory.servers(pool));
        let leaving = servers.filter(|server| server.state == HostState::Leaving);
        let known = &self.observer.leaving;
        let since = |id: &ServerId| known.get(id).copied().unwrap_or(now);
        self.observer.leaving = leaving
            .map(|one| (one.id.clone(), since(&one.id)))
            .collect();
    }

    /// Notes a grant on a server that should get none any more.
    pub(super) fn observe_grant(&self, pool: &PoolId, server: &ServerId, now: Mono) {
        let since = self.observer.leaving.get(server);
        if since.is_some_and(|since| now.saturating_sub(*since) > LEAVING_TIME) {
            let pool = pool.clone();
            let late = Observation::AfterLeaving { pool };
            self.observer.reporter.see(late);
        }
    }

    /// Notes a server that died under a request which is refused as poison now.
    pub(super) fn observe_death(&self, report: &Report, before: FingerprintStatus) {
        let is_refused = |standing| matches!(standing, FingerprintStatus::Refused { .. });
        if !is_refused(self.suspect_standing(report.fingerprint)) {
            return;
        }
        let pool = || report.pool.clone();
        if is_refused(before) {
            let lost = Observation::LostToPoison { pool: pool() };
            self.observer.reporter.see(lost);
            return;
        }
        let listed = self.suspects.list(self.unix_millis()).into_iter();
        let known = listed.filter(|one| one.fingerprint == report.fingerprint);
        let servers: usize = known.map(|one| one.servers.len()).sum();
        let mut seen = vec![Observation::Poison { pool: pool() }];
        seen.extend((0..servers).map(|_| Observation::LostToPoison { pool: pool() }));
        self.observer.reporter.see_all(seen);
    }

    /// Tells which silent routers cannot speak again.
    fn tell_gone(&mut self, now: Mono) {
        let (view, links) = (&self.view, &self.links);
        let back = |member: &Member| {
            let linked = links.get(&member.host);
            view.members().any(|live| live == member)
                || linked.is_some_and(|link| link.member == *member)
        };
        self.observer.silent.retain(|member, _| !back(member));
        let directory = &self.directory;
        let reporter = &self.observer.reporter;
        self.observer.silent.retain(|member, since| {
            let long = now.saturating_sub(*since) >= GONE_AFTER;
            let gone = long && directory.lacks_router(&member.host);
            !(gone && reporter.tell(ReportInput::Gone(member.clone())))
        });
    }
}

/// The slots and the queue of one pool in this zone.
fn slots(pool: &PoolId, status: &Status, span: Duration) -> Observation {
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

/// The widest difference of service between two accounts that both wait.
fn gap(pool: &PoolId, status: &Status) -> Option<Observation> {
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
