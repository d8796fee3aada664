//! Counters of one router process for one day.
//!
//! A [`Record`] has one writer, only grows, and carries a sequence number. Of two copies, the one
//! with the higher number includes everything in the other, so copies may arrive late, twice or
//! out of order.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use primrose_core::cost::Service;
use primrose_core::id::AccountId;
use primrose_core::id::Generation;
use primrose_core::id::Member;
use primrose_core::id::PoolId;
use primrose_core::id::ZoneId;
use primrose_core::outcome::ErrorCode;
use serde::Deserialize;
use serde::Serialize;

use crate::calendar::DayId;
use crate::histogram::DurationHistogram;
use crate::observation::Observation;
use crate::observation::Outage;
use crate::pool::PoolRecord;
use crate::pool::WorstGap;
use crate::series::Series;
use crate::wire::WireSums;

/// Sequence number of a record; increases with every change.
pub type Seq = u64;

/// Intervals per value of an account's series: two hours.
pub const ACCOUNT_STEP: usize = 8;
/// Maximum number of outages that one record lists separately.
pub const MAX_OUTAGES: usize = 64;

/// Service that one account received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AccountRecord {
    /// Service by pool.
    pub pools: BTreeMap<PoolId, Service>,
    /// Service in all pools, in steps of [`ACCOUNT_STEP`] intervals.
    pub series: Series,
}

/// Time span of an outage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageSpan {
    /// Unreachable component.
    pub outage: Outage,
    /// When it began, in seconds since the Unix epoch.
    pub began: u64,
    /// How long it has lasted, in seconds.
    pub length: u64,
}

impl OutageSpan {
    /// Extends the span to cover `other` as well.
    fn extend_to_cover(&mut self, other: &Self) {
        let end = self.end().max(other.end());
        self.began = self.began.min(other.began);
        self.length = end - self.began;
    }

    /// Returns when it ended, in seconds since the Unix epoch.
    pub fn end(&self) -> u64 {
        self.began.saturating_add(self.length)
    }
}

/// Fleet-wide sums, which belong to no pool.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// Seconds of each interval during which the router was counting.
    pub covered: Series,
    /// Refused requests by error code.
    pub refused: BTreeMap<String, u64>,
    /// Requests cut off by a shutdown.
    pub cut: u64,
    /// Lowest generation of the tables that came into force.
    pub first_generation: Option<Generation>,
    /// Highest generation of the tables that came into force.
    pub last_generation: Option<Generation>,
    /// Time from the acceptance of a generation until it was in force.
    pub in_force: DurationHistogram,
    /// Control traffic sent and received, in bytes.
    pub control_bytes: u64,
    /// Control messages sent and received.
    pub control_messages: u64,
    /// Highest control traffic of any one router, in bytes per second.
    pub control_rate: u64,
    /// Outages of the key-value service and of other zones.
    pub outages: Vec<OutageSpan>,
    /// Observations dropped because a queue was full; they are in no other sum.
    #[serde(default)]
    pub lost: u64,
}

/// Counters of one router process for one day.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Router process that wrote the record.
    pub member: Member,
    /// Availability zone of the process.
    pub zone: ZoneId,
    /// Local day that the record covers.
    pub day: DayId,
    /// Sequence number; increases with every change.
    pub seq: Seq,
    /// Counters.
    pub sums: Sums,
}

/// Counters of one or several routers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(into = "WireSums", from = "WireSums")]
pub struct Sums {
    /// Sums by pool.
    pub pools: BTreeMap<PoolId, PoolRecord>,
    /// Service by account.
    pub accounts: BTreeMap<AccountId, AccountRecord>,
    /// Sums that belong to no pool.
    pub fleet: FleetRecord,
}

impl Record {
    /// Creates an empty record.
    pub fn new(member: Member, zone: &str, day: &str) -> Self {
        Self {
            member,
            zone: zone.to_owned(),
            day: day.to_owned(),
            seq: 0,
            sums: Sums::default(),
        }
    }

    /// Returns the encoded size of the record, in bytes.
    pub fn encoded_len(&self) -> usize {
        let mut bytes = Vec::new();
        // Encoding into memory fails only for types that the codec does not support.
        match ciborium::into_writer(self, &mut bytes) {
            Ok(()) => bytes.len(),
            Err(_) => 0,
        }
    }

    /// Counts an observation in an interval of the day.
    pub fn observe(&mut self, interval: usize, observation: &Observation) {
        self.seq += 1;
        self.sums.observe(interval, observation);
    }
}

impl Sums {
    fn pool(&mut self, pool: &str) -> &mut PoolRecord {
        self.pools.entry(pool.to_owned()).or_default()
    }

    fn observe(&mut self, interval: usize, observation: &Observation) {
        match observation {
            Observation::Served {
                pool,
                account,
                service,
            } => self.add_service(interval, pool, account, *service),
            Observation::FirstToken { pool, time } => self.pool(pool).first_token.record(*time),
            Observation::InterToken { pool, time } => self.pool(pool).inter_token.record(*time),
            Observation::InterTokens { pool, gaps } => {
                let times = &mut self.pool(pool).inter_token;
                gaps.iter()
                    .for_each(|gap| times.record_n(gap.time, gap.count));
            }
            Observation::Answer { pool, ending } => self.pool(pool).count_answer(*ending),
            Observation::Order { pool, outcome } => self.pool(pool).count_order(*outcome),
            Observation::DuplicateRun { pool } => self.pool(pool).orders.doubled += 1,
            Observation::LostToPoison { pool } => self.pool(pool).lost += 1,
            Observation::Poison { pool } => self.pool(pool).poison += 1,
            Observation::AfterLeaving { pool } => self.pool(pool).after_leaving += 1,
            Observation::Slots { pool, .. } => self.pool(pool).add_slots(interval, observation),
            Observation::Gap {
                pool,
                ahead,
                behind,
                gap,
            } => self.pool(pool).merge_gap(WorstGap {
                ahead: ahead.clone(),
                behind: behind.clone(),
                gap: *gap,
                interval,
            }),
            Observation::Alive { .. }
            | Observation::Refused { .. }
            | Observation::Cut { .. }
            | Observation::InForce { .. }
            | Observation::Control { .. }
            | Observation::Lost { .. }
            | Observation::Outage { .. } => self.fleet.observe(interval, observation),
        }
    }

    fn add_service(&mut self, interval: usize, pool: &str, account: &str, service: Service) {
        if service == 0 {
            return;
        }
        self.pool(pool).served.add(interval, service);
        let record = self.accounts.entry(account.to_owned()).or_default();
        let sum = record.pools.entry(pool.to_owned()).or_default();
        *sum = sum.saturating_add(service);
        record.series.add(interval / ACCOUNT_STEP, service);
    }

    /// Adds the counters of other routers.
    pub fn add_all(&mut self, other: &Self) {
        for (pool, record) in &other.pools {
            self.pool(pool).add_all(record);
        }
        for (account, record) in &other.accounts {
            let sums = self.accounts.entry(account.clone()).or_default();
            sums.series.add_all(&record.series);
            for (pool, service) in &record.pools {
                let sum = sums.pools.entry(pool.clone()).or_default();
                *sum = sum.saturating_add(*service);
            }
        }
        self.fleet.add_all(&other.fleet);
    }
}

impl PoolRecord {
    fn add_slots(&mut self, interval: usize, observation: &Observation) {
        let Observation::Slots {
            span,
            slots,
            busy,
            waiting,
            ..
        } = observation
        else {
            return;
        };
        let span = millis(*span);
        let free = slots.saturating_sub(*busy);
        let times = &mut self.slot_time;
        times.slots.add(interval, slots.saturating_mul(span));
        times.busy.add(interval, busy.saturating_mul(span));
        // A free slot counts as idle only if a waiting request could have used it.
        let idle = free.min(*waiting);
        times.idle.add(interval, idle.saturating_mul(span));
        times.queue.add(interval, waiting.saturating_mul(span));
        times.span.add(interval, span);
    }
}

impl FleetRecord {
    fn observe(&mut self, interval: usize, observation: &Observation) {
        match observation {
            // Whole seconds suffice: the daemon reports this about once a second.
            Observation::Alive { span } => self.covered.add(interval, span.as_secs()),
            Observation::Refused { code } => self.count_refused(*code),
            Observation::Cut { requests } => self.cut += requests,
            Observation::InForce { generation, lag } => self.count_in_force(*generation, *lag),
            Observation::Control { bytes, messages } => {
                self.control_bytes += bytes;
                self.control_messages += messages;
            }
            Observation::Lost { observations } => self.lost += observations,
            Observation::Outage {
                outage,
                began,
                span,
            } => self.count_outage(outage, *began, *span),
            _ => {}
        }
        let seconds = self.covered.total();
        // A rate over the first seconds of a process is not representative.
        if seconds >= MIN_RATE_SECS {
            self.control_rate = self.control_bytes / seconds;
        }
    }

    fn count_refused(&mut self, code: ErrorCode) {
        *self.refused.entry(code.to_string()).or_default() += 1;
    }

    fn count_in_force(&mut self, generation: Generation, lag: Option<Duration>) {
        let first = self.first_generation.unwrap_or(generation);
        let last = self.last_generation.unwrap_or(generation);
        self.first_generation = Some(first.min(generation));
        self.last_generation = Some(last.max(generation));
        if let Some(lag) = lag {
            self.in_force.record(lag);
        }
    }

    fn count_outage(&mut self, outage: &Outage, began: SystemTime, span: Duration) {
        let began = began.duration_since(UNIX_EPOCH).unwrap_or_default();
        let span = OutageSpan {
            outage: outage.clone(),
            began: began.as_secs(),
            length: span.as_secs(),
        };
        self.add_outage(&span);
    }

    fn add_outage(&mut self, span: &OutageSpan) {
        let same = |known: &OutageSpan| known.outage == span.outage && known.began == span.began;
        let known = self.outages.iter().position(same);
        // Once the list is full, the last span is extended to cover further outages, so that
        // none is lost.
        let full = self.outages.len() >= MAX_OUTAGES;
        let index = known.or(full.then_some(MAX_OUTAGES - 1));
        match index.and_then(|index| self.outages.get_mut(index)) {
            Some(known) => known.extend_to_cover(span),
            None => self.outages.push(span.clone()),
        }
    }

    fn add_all(&mut self, other: &Self) {
        self.covered.raise_all(&other.covered);
        for (code, count) in &other.refused {
            *self.refused.entry(code.clone()).or_default() += count;
        }
        self.cut += other.cut;
        self.lost += other.lost;
        self.first_generation = lowest(self.first_generation, other.first_generation);
        self.last_generation = self.last_generation.max(other.last_generation);
        self.in_force.add_all(&other.in_force);
        self.control_bytes += other.control_bytes;
        self.control_messages += other.control_messages;
        self.control_rate = self.control_rate.max(other.control_rate);
        for span in &other.outages {
            self.add_outage(span);
        }
    }
}

/// Seconds that a router must have run before its control traffic rate counts.
pub(crate) const MIN_RATE_SECS: u64 = 60;

fn lowest(one: Option<Generation>, other: Option<Generation>) -> Option<Generation> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        _ => one.or(other),
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
