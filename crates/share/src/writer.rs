//! What other ledgers charged: grow-only counters per writer, merged by maximum.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::cost::Service;
use primrose_core::id::AccountId;
use primrose_core::id::HostId;
use primrose_core::id::Incarnation;
use primrose_core::id::Member;
use serde::Deserialize;
use serde::Serialize;

/// A writer that is silent this long was cut off; what it then brings is clamped.
const SILENT_AFTER: Duration = Duration::from_secs(5);
/// Counters of a writer that is silent this long are dropped.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Grow-only counters of one writer for one client account, in units of service.
///
/// On the wire it is a list without field names, because digests are most of the traffic between
/// zones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Row {
    /// Client account.
    pub account: AccountId,
    /// All that was ever charged.
    pub charged: Service,
    /// All that was ever refunded.
    pub refunded: Service,
    /// All that was delivered by requests that have ended.
    pub settled: Service,
}

#[derive(Serialize, Deserialize)]
struct Wire(AccountId, Service, Service, Service);

impl From<Wire> for Row {
    fn from(Wire(account, charged, refunded, settled): Wire) -> Self {
        Self {
            account,
            charged,
            refunded,
            settled,
        }
    }
}

impl From<Row> for Wire {
    fn from(row: Row) -> Self {
        Self(row.account, row.charged, row.refunded, row.settled)
    }
}

/// Totals that only grow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Counter {
    pub(crate) charged: Service,
    pub(crate) refunded: Service,
    pub(crate) settled: Service,
}

/// How a digest's increments count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Contact {
    /// The writer was heard lately.
    Current,
    /// The writer is new or was silent: what it brings at once is clamped.
    Late,
    /// The writer has been replaced by a later incarnation.
    Stale,
}

#[derive(Debug)]
struct Writer {
    incarnation: Incarnation,
    heard: Mono,
    /// The writer charged before this ledger listened: an account's first row is only a base.
    older: bool,
    counters: BTreeMap<AccountId, Counter>,
}

/// The latest known counters of every other writer.
#[derive(Debug, Default)]
pub(crate) struct Writers {
    hosts: BTreeMap<HostId, Writer>,
}

impl Writers {
    /// Decides how a digest counts, and notes that its writer was heard.
    pub(crate) fn contact(&mut self, writer: &Member, older: bool, now: Mono) -> Contact {
        if let Some(known) = self.hosts.get_mut(&writer.host) {
            if known.incarnation > writer.incarnation {
                return Contact::Stale;
            }
            if known.incarnation == writer.incarnation {
                let silent = now.saturating_sub(known.heard) > SILENT_AFTER;
                known.heard = now;
                return if silent {
                    Contact::Late
                } else {
                    Contact::Current
                };
            }
        }
        let new = Writer {
            incarnation: writer.incarnation,
            heard: now,
            older,
            counters: BTreeMap::new(),
        };
        self.hosts.insert(writer.host.clone(), new);
        Contact::Late
    }

    /// Merges a row by maximum; returns what it adds to charged and refunded.
    pub(crate) fn merge(&mut self, writer: &Member, row: &Row) -> Counter {
        let Some(known) = self.hosts.get_mut(&writer.host) else {
            return Counter::default();
        };
        let total = Counter {
            charged: row.charged,
            refunded: row.refunded,
            settled: row.settled,
        };
        let Some(counter) = known.counters.get_mut(&row.account) else {
            known.counters.insert(row.account.clone(), total);
            return if known.older {
                Counter::default()
            } else {
                total
            };
        };
        let added = Counter {
            charged: total.charged.saturating_sub(counter.charged),
            refunded: total.refunded.saturating_sub(counter.refunded),
            settled: total.settled.saturating_sub(counter.settled),
        };
        counter.charged = counter.charged.max(total.charged);
        counter.refunded = counter.refunded.max(total.refunded);
        counter.settled = counter.settled.max(total.settled);
        added
    }

    /// Drops the counters of writers that are long silent; they come back as a base.
    pub(crate) fn forget(&mut self, now: Mono) {
        for writer in self.hosts.values_mut() {
            if now.saturating_sub(writer.heard) > FORGET_AFTER {
                writer.counters.clear();
                writer.older = true;
            }
        }
    }
}
