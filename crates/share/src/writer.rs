//! Totals received from other ledgers: grow-only counters per writer, merged by maximum.
//!
//! [`Writers`] turns the totals in a digest into increments for the local counters.

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

/// Silence after which a writer counts as partitioned; the account counters are clamped after its
/// next digest.
const SILENT_AFTER: Duration = Duration::from_secs(5);
/// Silence after which the totals of a writer are dropped.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Grow-only counters of one writer for one client account, in units of service.
///
/// Serialized as a list without field names, because digests make up most of the traffic between
/// zones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Row {
    /// Client account.
    pub account: AccountId,
    /// All units ever charged.
    pub charged: Service,
    /// All units ever refunded.
    pub refunded: Service,
    /// Final charges of all requests that have ended.
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

/// Grow-only totals for one client account, in units of service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Totals {
    pub(crate) charged: Service,
    pub(crate) refunded: Service,
    pub(crate) settled: Service,
}

/// State of a writer when one of its digests arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriterState {
    /// A digest of the writer arrived recently.
    Current,
    /// The writer is new or was silent: the account counters are clamped after the merge.
    NewOrReturned,
    /// A later incarnation has replaced the writer: the digest is dropped.
    Superseded,
}

#[derive(Debug)]
struct Writer {
    incarnation: Incarnation,
    /// When its last digest arrived.
    last_heard: Mono,
    /// Whether the writer may have charged before this ledger received its digests. The first row
    /// of each account is then a baseline and adds nothing.
    first_row_is_baseline: bool,
    totals: BTreeMap<AccountId, Totals>,
}

/// Latest known totals of every other writer, by host.
#[derive(Debug, Default)]
pub(crate) struct Writers {
    by_host: BTreeMap<HostId, Writer>,
}

impl Writers {
    /// Records that a digest of a writer arrived, and returns the state of the writer before it.
    ///
    /// `baseline` is the [`Writer::first_row_is_baseline`] of a writer that is not yet known.
    pub(crate) fn record_digest(
        &mut self,
        writer: &Member,
        baseline: bool,
        now: Mono,
    ) -> WriterState {
        if let Some(known) = self.by_host.get_mut(&writer.host) {
            if known.incarnation > writer.incarnation {
                return WriterState::Superseded;
            }
            if known.incarnation == writer.incarnation {
                let silent = now.saturating_sub(known.last_heard) > SILENT_AFTER;
                known.last_heard = now;
                return if silent {
                    WriterState::NewOrReturned
                } else {
                    WriterState::Current
                };
            }
        }
        let new = Writer {
            incarnation: writer.incarnation,
            last_heard: now,
            first_row_is_baseline: baseline,
            totals: BTreeMap::new(),
        };
        self.by_host.insert(writer.host.clone(), new);
        WriterState::NewOrReturned
    }

    /// Merges a row by maximum; returns the increments over the totals known so far.
    pub(crate) fn merge(&mut self, writer: &Member, row: &Row) -> Totals {
        let Some(known) = self.by_host.get_mut(&writer.host) else {
            return Totals::default();
        };
        let total = Totals {
            charged: row.charged,
            refunded: row.refunded,
            settled: row.settled,
        };
        let Some(known_total) = known.totals.get_mut(&row.account) else {
            known.totals.insert(row.account.clone(), total);
            return if known.first_row_is_baseline {
                Totals::default()
            } else {
                total
            };
        };
        let added = Totals {
            charged: total.charged.saturating_sub(known_total.charged),
            refunded: total.refunded.saturating_sub(known_total.refunded),
            settled: total.settled.saturating_sub(known_total.settled),
        };
        known_total.charged = known_total.charged.max(total.charged);
        known_total.refunded = known_total.refunded.max(total.refunded);
        known_total.settled = known_total.settled.max(total.settled);
        added
    }

    /// Drops the totals of writers that have been silent for [`FORGET_AFTER`]. When such a writer
    /// returns, the first row of each account is a baseline.
    pub(crate) fn forget_silent(&mut self, now: Mono) {
        for writer in self.by_host.values_mut() {
            if now.saturating_sub(writer.last_heard) > FORGET_AFTER {
                writer.totals.clear();
                writer.first_row_is_baseline = true;
            }
        }
    }
}
