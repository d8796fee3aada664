//! Weighted service counters of client accounts, kept in agreement with other ledgers.
//!
//! A [`Ledger`] counts what its own dispatcher charges, refunds and settles, publishes the totals
//! in digests, and merges the digests of other ledgers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::cost::Service;
use primrose_core::id::AccountId;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;
use primrose_core::table::Weight;
use serde::Deserialize;
use serde::Serialize;

use crate::writer::Row;
use crate::writer::Totals;
use crate::writer::WriterState;
use crate::writer::Writers;

/// Service divided by the account's weight, in 1/1024 of a unit, so that small costs of accounts
/// with a large weight still count.
pub type WeightedService = i64;

/// Number of [`WeightedService`] parts in one unit of service.
const PARTS_PER_UNIT: WeightedService = 1024;
/// Maximum lead of an account over the least served backlogged account after a partition, in units.
pub const MAX_CATCH_UP_UNITS: Service = 20_000;
/// Unchanged rows added to each digest in rotation, so that the rows of a lost digest are repeated.
const REFRESH_ROWS: usize = 4;

/// Converts service of an account into weighted service.
pub fn weighted_service(units: Service, weight: Weight) -> WeightedService {
    let parts = i64::try_from(units)
        .unwrap_or(WeightedService::MAX)
        .saturating_mul(PARTS_PER_UNIT);
    parts / WeightedService::from(weight.max(1))
}

/// Weighted service of an account relative to the floor of the ledger that reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Client account.
    #[serde(rename = "a")]
    pub account: AccountId,
    /// Weighted service above the floor.
    #[serde(rename = "v")]
    pub above: WeightedService,
}

#[derive(Debug, Default)]
struct Account {
    /// Service counter; the backlogged account with the lowest one is served first.
    service: WeightedService,
    /// Part of `service` that was charged for requests that have not ended.
    unsettled: WeightedService,
    /// Configured weight; the default weight applies if there is none.
    weight: Option<Weight>,
    /// Zones in which requests of the account wait.
    waiting_zones: BTreeSet<ZoneId>,
    /// Totals that this ledger itself charged, refunded and settled, as published in digests.
    own: Totals,
}

impl Account {
    /// Returns the service counter without the charges for requests that have not ended.
    fn settled(&self) -> WeightedService {
        // `unsettled` is negative after a settlement whose charge, made by another writer, has not
        // arrived yet.
        self.service.saturating_sub(self.unsettled.max(0))
    }
}

/// Weighted service of every client account in one pool, as one dispatcher knows it.
#[derive(Debug)]
pub struct Ledger {
    me: Member,
    created_at: Mono,
    default_weight: Weight,
    accounts: BTreeMap<AccountId, Account>,
    writers: Writers,
    /// Lowest settled counter among the backlogged accounts, as of the last update that found a
    /// backlogged account.
    floor: WeightedService,
    /// Accounts whose row has changed since the last digest.
    changed: BTreeSet<AccountId>,
    /// Account that was last repeated in rotation.
    last_refreshed: AccountId,
    /// Whether the standings of another ledger have been adopted.
    adopted: bool,
}

impl Ledger {
    /// Creates an empty ledger that writes under the given member id.
    pub fn new(me: Member, now: Mono) -> Self {
        Self {
            me,
            created_at: now,
            default_weight: 1,
            accounts: BTreeMap::new(),
            writers: Writers::default(),
            floor: 0,
            changed: BTreeSet::new(),
            last_refreshed: AccountId::new(),
            adopted: false,
        }
    }

    /// Returns how long this ledger has been counting.
    pub fn age(&self, now: Mono) -> Duration {
        now.saturating_sub(self.created_at)
    }

    /// Replaces all weights; the counters keep their values, and later operations use the new
    /// weights.
    pub fn set_weights(&mut self, weights: &BTreeMap<AccountId, Weight>, default: Weight) {
        self.default_weight = default.max(1);
        for account in self.accounts.values_mut() {
            account.weight = None;
        }
        for (account, weight) in weights {
            self.set_weight(account, *weight);
        }
    }

    /// Sets the weight of one account; its counter keeps its value, and later operations use the
    /// new weight.
    pub fn set_weight(&mut self, account: &str, weight: Weight) {
        self.entry(account).weight = Some(weight.max(1));
    }

    /// Returns the weight of an account.
    pub fn weight(&self, account: &str) -> Weight {
        let own = self.accounts.get(account).and_then(|a| a.weight);
        own.unwrap_or(self.default_weight)
    }

    /// Returns the weighted service of an account; the backlogged account with the lowest one is
    /// served first.
    pub fn service(&self, account: &str) -> WeightedService {
        self.accounts.get(account).map_or(self.floor, |a| a.service)
    }

    /// Returns the lowest weighted service among the backlogged accounts, not counting charges for
    /// requests that have not ended.
    pub fn floor(&self) -> WeightedService {
        self.floor
    }

    /// Charges units to an account.
    pub fn charge(&mut self, account: &str, units: Service) {
        let cost = weighted_service(units, self.weight(account));
        let entry = self.entry(account);
        entry.service = entry.service.saturating_add(cost);
        entry.unsettled = entry.unsettled.saturating_add(cost);
        entry.own.charged = entry.own.charged.saturating_add(units);
        self.changed.insert(account.to_owned());
    }

    /// Refunds units that were charged in excess.
    pub fn refund(&mut self, account: &str, units: Service) {
        let cost = weighted_service(units, self.weight(account));
        let entry = self.entry(account);
        entry.service = entry.service.saturating_sub(cost);
        entry.unsettled = entry.unsettled.saturating_sub(cost);
        entry.own.refunded = entry.own.refunded.saturating_add(units);
        self.changed.insert(account.to_owned());
    }

    /// Records that a request has ended whose final charge was the given number of units.
    pub fn settle(&mut self, account: &str, units: Service) {
        let cost = weighted_service(units, self.weight(account));
        let entry = self.entry(account);
        entry.unsettled = entry.unsettled.saturating_sub(cost);
        entry.own.settled = entry.own.settled.saturating_add(units);
        self.changed.insert(account.to_owned());
    }

    /// Records whether requests of an account wait in a zone.
    ///
    /// The counter of an account that starts to wait is raised to the floor, so that idle time
    /// earns no credit. The floor leaves out unsettled charges, because they belong to requests in
    /// flight and the account has none in flight yet. If it counted them, the account would lose
    /// whatever part of them is later refunded to the others.
    pub fn set_waiting(&mut self, account: &str, zone: &str, waiting: bool) {
        if !waiting {
            if let Some(entry) = self.accounts.get_mut(account) {
                entry.waiting_zones.remove(zone);
            }
            return;
        }
        self.update_floor();
        let floor = self.floor;
        let entry = self.entry(account);
        if entry.waiting_zones.is_empty() {
            entry.service = entry.service.max(floor);
        }
        if !entry.waiting_zones.contains(zone) {
            entry.waiting_zones.insert(zone.to_owned());
        }
    }

    /// Replaces the set of accounts that wait in a zone.
    pub fn set_waiting_accounts(&mut self, zone: &str, waiting: &BTreeSet<AccountId>) {
        let stopped: Vec<_> = self
            .accounts
            .iter()
            .filter(|(id, a)| a.waiting_zones.contains(zone) && !waiting.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for account in stopped {
            self.set_waiting(&account, zone, false);
        }
        for account in waiting {
            self.set_waiting(account, zone, true);
        }
    }

    /// Returns the rows that changed since the last call, and a few unchanged ones in rotation.
    pub fn digest(&mut self) -> Vec<Row> {
        let mut to_send = std::mem::take(&mut self.changed);
        for _ in 0..REFRESH_ROWS {
            let Some(account) = self.next_refresh() else {
                break;
            };
            to_send.insert(account.clone());
            self.last_refreshed = account;
        }
        to_send.into_iter().filter_map(|a| self.row(a)).collect()
    }

    /// Makes the next digest carry every row, for a peer that may have missed some.
    pub fn resend_all(&mut self) {
        let written = |(_, a): &(&AccountId, &Account)| a.own != Totals::default();
        let accounts = self.accounts.iter().filter(written);
        self.changed = accounts.map(|(account, _)| account.clone()).collect();
    }

    /// Merges the rows of another ledger; safe for late, duplicate and reordered rows.
    ///
    /// `age` is how long the writer had been counting when it sent the rows.
    pub fn merge(&mut self, writer: &Member, age: Duration, rows: &[Row], now: Mono) {
        if *writer == self.me {
            return;
        }
        let baseline = age > self.age(now);
        let state = self.writers.record_digest(writer, baseline, now);
        if state == WriterState::Superseded {
            return;
        }
        for row in rows {
            let added = self.writers.merge(writer, row);
            let weight = self.weight(&row.account);
            let charged = weighted_service(added.charged, weight);
            let refunded = weighted_service(added.refunded, weight);
            let settled = weighted_service(added.settled, weight);
            let entry = self.entry(&row.account);
            entry.unsettled = entry
                .unsettled
                .saturating_add(charged)
                .saturating_sub(refunded)
                .saturating_sub(settled);
            entry.service = entry
                .service
                .saturating_add(charged)
                .saturating_sub(refunded);
        }
        if state == WriterState::NewOrReturned {
            self.clamp_leads();
        }
    }

    /// Returns the standings of all accounts, for a ledger that starts empty.
    pub fn snapshot(&mut self) -> Vec<Standing> {
        self.update_floor();
        let standing = |(account, entry): (&AccountId, &Account)| Standing {
            account: account.clone(),
            above: entry.service.saturating_sub(self.floor),
        };
        self.accounts.iter().map(standing).collect()
    }

    /// Adds the standings of another ledger to the counters; calls after the first do nothing.
    pub fn adopt(&mut self, standings: &[Standing]) {
        if std::mem::replace(&mut self.adopted, true) {
            return;
        }
        for standing in standings {
            let entry = self.entry(&standing.account);
            entry.service = entry.service.saturating_add(standing.above);
        }
    }

    /// Drops the totals of other writers that have been silent for a long time. The counters of
    /// accounts keep what those writers charged.
    pub fn forget_silent_writers(&mut self, now: Mono) {
        self.writers.forget_silent(now);
    }

    /// Returns the ids of all known accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountId> {
        self.accounts.keys()
    }

    /// Limits the lead of each account over the least served backlogged account, so that no account
    /// waits for long.
    fn clamp_leads(&mut self) {
        if !self.update_floor() {
            return;
        }
        // Divides by the largest weight, because the least served account may have that weight.
        let weights = self.accounts.values().filter_map(|a| a.weight);
        let heaviest = weights.max().unwrap_or(1).max(self.default_weight);
        let max_service = self
            .floor
            .saturating_add(weighted_service(MAX_CATCH_UP_UNITS, heaviest));
        for entry in self.accounts.values_mut() {
            entry.service = entry.service.min(max_service);
        }
    }

    /// Sets the floor to the lowest settled counter among the backlogged accounts; returns false if
    /// no account is backlogged.
    fn update_floor(&mut self) -> bool {
        let backlogged = self
            .accounts
            .values()
            .filter(|a| !a.waiting_zones.is_empty());
        let Some(lowest) = backlogged.map(Account::settled).min() else {
            return false;
        };
        self.floor = lowest;
        true
    }

    /// Returns the next account to repeat in rotation, among those that this ledger has written.
    fn next_refresh(&self) -> Option<AccountId> {
        let written = |(_, a): &(&AccountId, &Account)| a.own != Totals::default();
        let after = (
            std::ops::Bound::Excluded(&self.last_refreshed),
            std::ops::Bound::Unbounded,
        );
        let next = self.accounts.range::<AccountId, _>(after).find(written);
        let next = next.or_else(|| self.accounts.iter().find(written));
        next.map(|(account, _)| account.clone())
    }

    fn row(&self, account: AccountId) -> Option<Row> {
        let own = self.accounts.get(&account)?.own;
        Some(Row {
            account,
            charged: own.charged,
            refunded: own.refunded,
            settled: own.settled,
        })
    }

    fn entry(&mut self, account: &str) -> &mut Account {
        if !self.accounts.contains_key(account) {
            let new = Account {
                service: self.floor,
                ..Account::default()
            };
            self.accounts.insert(account.to_owned(), new);
        }
        self.accounts.get_mut(account).expect("was inserted above")
    }
}
