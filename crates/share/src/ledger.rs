//! The ledger: one counter of weighted service per client account.

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

use crate::writer::Contact;
use crate::writer::Counter;
use crate::writer::Row;
use crate::writer::Writers;

/// Service divided by weight, in 1/1024 unit, so that small costs of heavy accounts still count.
pub type WeightedService = i64;

/// Parts of one unit of service that a [`WeightedService`] counts.
const PARTS_PER_UNIT: WeightedService = 1024;
/// Most that an account may lie above the least backlogged one after a partition, in units.
pub const MAX_CATCH_UP_UNITS: Service = 20_000;
/// Unchanged rows that go along with each digest, so that a lost digest is made good.
const REFRESH_ROWS: usize = 4;

/// Converts service of an account into weighted service.
pub fn weighted_service(units: Service, weight: Weight) -> WeightedService {
    let parts = i64::try_from(units)
        .unwrap_or(WeightedService::MAX)
        .saturating_mul(PARTS_PER_UNIT);
    parts / WeightedService::from(weight.max(1))
}

/// Where an account stands, relative to the least backlogged account.
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
    service: WeightedService,
    /// Charged for requests that have not ended.
    unsettled: WeightedService,
    weight: Option<Weight>,
    /// Zones in which requests of the account wait.
    waiting: BTreeSet<ZoneId>,
    /// What this ledger itself charged and refunded.
    own: Counter,
}

impl Account {
    /// Counter without what was charged for requests that have not ended.
    fn settled(&self) -> WeightedService {
        // Settling what another writer charged may run ahead of its digest.
        self.service.saturating_sub(self.unsettled.max(0))
    }
}

/// Weighted service of every client account in one pool, as one dispatcher knows it.
#[derive(Debug)]
pub struct Ledger {
    me: Member,
    born: Mono,
    default_weight: Weight,
    accounts: BTreeMap<AccountId, Account>,
    writers: Writers,
    /// The least counter among the backlogged accounts when there last was one, without what is
    /// unsettled.
    floor: WeightedService,
    changed: BTreeSet<AccountId>,
    refreshed: AccountId,
    adopted: bool,
}

impl Ledger {
    /// Makes an empty ledger of the given writer.
    pub fn new(me: Member, now: Mono) -> Self {
        Self {
            me,
            born: now,
            default_weight: 1,
            accounts: BTreeMap::new(),
            writers: Writers::default(),
            floor: 0,
            changed: BTreeSet::new(),
            refreshed: AccountId::new(),
            adopted: false,
        }
    }

    /// Returns how long this ledger has been counting.
    pub fn age(&self, now: Mono) -> Duration {
        now.saturating_sub(self.born)
    }

    /// Replaces all weights; they apply to what is charged from now on.
    pub fn set_weights(&mut self, weights: &BTreeMap<AccountId, Weight>, default: Weight) {
        self.default_weight = default.max(1);
        for account in self.accounts.values_mut() {
            account.weight = None;
        }
        for (account, weight) in weights {
            self.set_weight(account, *weight);
        }
    }

    /// Sets the weight of one account; it applies to what is charged from now on.
    pub fn set_weight(&mut self, account: &str, weight: Weight) {
        self.entry(account).weight = Some(weight.max(1));
    }

    /// Returns the weight of an account.
    pub fn weight(&self, account: &str) -> Weight {
        let own = self.accounts.get(account).and_then(|a| a.weight);
        own.unwrap_or(self.default_weight)
    }

    /// Returns the weighted service of an account; the lowest is served first.
    pub fn service(&self, account: &str) -> WeightedService {
        self.accounts.get(account).map_or(self.floor, |a| a.service)
    }

    /// Returns the least weighted service among the backlogged accounts, without what was charged
    /// for requests that have not ended.
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

    /// Gives back units that were charged too many.
    pub fn refund(&mut self, account: &str, units: Service) {
        let cost = weighted_service(units, self.weight(account));
        let entry = self.entry(account);
        entry.service = entry.service.saturating_sub(cost);
        entry.unsettled = entry.unsettled.saturating_sub(cost);
        entry.own.refunded = entry.own.refunded.saturating_add(units);
        self.changed.insert(account.to_owned());
    }

    /// Notes that a request which was charged these units in the end has ended.
    pub fn settle(&mut self, account: &str, units: Service) {
        let cost = weighted_service(units, self.weight(account));
        let entry = self.entry(account);
        entry.unsettled = entry.unsettled.saturating_sub(cost);
        entry.own.settled = entry.own.settled.saturating_add(units);
        self.changed.insert(account.to_owned());
    }

    /// Notes whether requests of an account wait in a zone.
    ///
    /// An account that waited nowhere and now waits is lifted to the least counter among the
    /// backlogged, so that being idle earns no credit. What is unsettled does not count for the
    /// others: it is in flight, and the newcomer has nothing in flight yet. Lifted to the whole
    /// counter, it would lose what is later refunded to them.
    pub fn set_waiting(&mut self, account: &str, zone: &str, waiting: bool) {
        if !waiting {
            if let Some(entry) = self.accounts.get_mut(account) {
                entry.waiting.remove(zone);
            }
            return;
        }
        self.update_floor();
        let floor = self.floor;
        let entry = self.entry(account);
        if entry.waiting.is_empty() {
            entry.service = entry.service.max(floor);
        }
        if !entry.waiting.contains(zone) {
            entry.waiting.insert(zone.to_owned());
        }
    }

    /// Replaces the accounts that wait in a zone.
    pub fn set_waiting_accounts(&mut self, zone: &str, waiting: &BTreeSet<AccountId>) {
        let gone: Vec<_> = self
            .accounts
            .iter()
            .filter(|(id, a)| a.waiting.contains(zone) && !waiting.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for account in gone {
            self.set_waiting(&account, zone, false);
        }
        for account in waiting {
            self.set_waiting(account, zone, true);
        }
    }

    /// Returns the rows that changed since the last call, and a few others in turn.
    pub fn digest(&mut self) -> Vec<Row> {
        let mut send = std::mem::take(&mut self.changed);
        for _ in 0..REFRESH_ROWS {
            let Some(account) = self.next_refresh() else {
                break;
            };
            send.insert(account.clone());
            self.refreshed = account;
        }
        send.into_iter().filter_map(|a| self.row(a)).collect()
    }

    /// Makes the next digest carry every row, for a ledger that may have missed some.
    pub fn resend_all(&mut self) {
        let written = |(_, a): &(&AccountId, &Account)| a.own != Counter::default();
        let accounts = self.accounts.iter().filter(written);
        self.changed = accounts.map(|(account, _)| account.clone()).collect();
    }

    /// Takes in another ledger's rows. Harmless when late, doubled or out of order.
    ///
    /// `age` is how long the writer has been counting when it sent the rows.
    pub fn merge(&mut self, writer: &Member, age: Duration, rows: &[Row], now: Mono) {
        if *writer == self.me {
            return;
        }
        let older = age > self.age(now);
        let contact = self.writers.contact(writer, older, now);
        if contact == Contact::Stale {
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
        if contact == Contact::Late {
            self.clamp();
        }
    }

    /// Returns where every account stands, for a ledger that starts empty.
    pub fn snapshot(&mut self) -> Vec<Standing> {
        self.update_floor();
        let standing = |(account, entry): (&AccountId, &Account)| Standing {
            account: account.clone(),
            above: entry.service.saturating_sub(self.floor),
        };
        self.accounts.iter().map(standing).collect()
    }

    /// Starts from another ledger's standings; only the first call counts.
    pub fn adopt(&mut self, standings: &[Standing]) {
        if std::mem::replace(&mut self.adopted, true) {
            return;
        }
        for standing in standings {
            let entry = self.entry(&standing.account);
            entry.service = entry.service.saturating_add(standing.above);
        }
    }

    /// Drops what is known of writers that are long gone.
    pub fn forget_silent_writers(&mut self, now: Mono) {
        self.writers.forget(now);
    }

    /// Lists the accounts known here.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountId> {
        self.accounts.keys()
    }

    /// Limits how far any account lies above the least backlogged, so that none waits for long.
    fn clamp(&mut self) {
        if !self.update_floor() {
            return;
        }
        // By the greatest weight, because the least backlogged account may be the heaviest one.
        let weights = self.accounts.values().filter_map(|a| a.weight);
        let heaviest = weights.max().unwrap_or(1).max(self.default_weight);
        let most = self
            .floor
            .saturating_add(weighted_service(MAX_CATCH_UP_UNITS, heaviest));
        for entry in self.accounts.values_mut() {
            entry.service = entry.service.min(most);
        }
    }

    /// Finds the least counter among the backlogged accounts; tells whether there are any.
    fn update_floor(&mut self) -> bool {
        let backlogged = self.accounts.values().filter(|a| !a.waiting.is_empty());
        let Some(least) = backlogged.map(Account::settled).min() else {
            return false;
        };
        self.floor = least;
        true
    }

    fn next_refresh(&self) -> Option<AccountId> {
        let written = |(_, a): &(&AccountId, &Account)| a.own != Counter::default();
        let after = (
            std::ops::Bound::Excluded(&self.refreshed),
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
