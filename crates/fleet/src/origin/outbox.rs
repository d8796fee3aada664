//! Records that are still to be published.
//!
//! The newest go first: callers take up streams that were running when they broke off.

use std::collections::VecDeque;

use primrose_core::clock::Mono;

use super::OriginReport;
use super::StreamId;
use crate::entry::BuildId;

/// A record to be published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Record {
    pub(super) stream: StreamId,
    pub(super) build: BuildId,
    pub(super) began: Mono,
}

/// Records that are to be published twice, since one digest may be lost.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    /// Not published yet, oldest first.
    fresh: VecDeque<Record>,
    /// Published once, in the order of their publication.
    published: VecDeque<Record>,
}

impl Outbox {
    /// Adds a record, which is the newest.
    pub(super) fn push(&mut self, record: Record) {
        self.fresh.push_back(record);
    }

    /// Publishes these records anew, oldest first, in place of all others.
    pub(super) fn refill(&mut self, records: impl IntoIterator<Item = Record>) {
        self.published.clear();
        self.fresh = records.into_iter().collect();
    }

    /// Takes up to `limit` records for the next digest.
    pub(super) fn take(&mut self, limit: usize) -> OriginReport {
        let first = self.fresh.len().saturating_sub(limit);
        let mut fresh = self.fresh.split_off(first);
        let second = self.published.len().saturating_sub(limit - fresh.len());
        let published = self.published.split_off(second);
        let mut report = OriginReport::new();
        for record in fresh.iter().chain(&published) {
            report.entry(record.build).or_default().push(record.stream);
        }
        self.published.append(&mut fresh);
        report
    }

    /// Drops the records of streams that began before a time.
    pub(super) fn expire(&mut self, oldest: Mono) {
        self.fresh.retain(|record| record.began >= oldest);
        self.published.retain(|record| record.began >= oldest);
    }
}
