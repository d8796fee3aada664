//! Removes claims whose retention time has passed.
//!
//! The age of a record must not depend on a wall clock: after a clock jump, fresh claims would be
//! removed, and a request that is sent again would run twice. Instead, a [`Sweeper`] relies on the
//! versions of the key-value service, which grow with every change. From time to time it records
//! the version that the service has reached as a checkpoint, with the time of its own monotonic
//! clock. A record whose version is at or below that of a checkpoint is at least as old as the
//! checkpoint. A sweeper that has just started has no checkpoints and removes nothing, so the
//! router with the longest uptime should sweep. Two sweepers at once do no harm, because each
//! removal is conditional on a version.
//!
//! A service that was restored from an old copy gives out versions again, so that a fresh record
//! may have an old version. A sweeper writes to the service before it removes records: if the
//! version of its write is lower than one before, it starts anew.
//!
//! The records are read in key ranges: those of one account whose digests share the first
//! hexadecimal digit.

use std::collections::VecDeque;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::AccountId;
use primrose_store::store::Entry;
use primrose_store::store::Op;
use primrose_store::store::Version;
use primrose_store::store::MAX_OPS;

use crate::key::account_prefix;
use crate::record::Record;
use crate::record::State;

/// Key ranges of an account: one for each first hexadecimal digit of a digest.
const RANGES_PER_ACCOUNT: usize = 16;

/// Retention times and intervals of a sweeper.
#[derive(Debug, Clone)]
pub struct SweepLimits {
    /// Retention of claims that are done, released or closed without a run.
    pub closed_retention: Duration,
    /// Retention of claims that are open or whose outcome is unknown.
    pub open_retention: Duration,
    /// Minimum time between two checkpoints.
    pub checkpoint_interval: Duration,
    /// Minimum time between the reads of two key ranges.
    pub scan_interval: Duration,
}

impl Default for SweepLimits {
    fn default() -> Self {
        Self {
            closed_retention: Duration::from_secs(6 * 3600),
            open_retention: Duration::from_secs(48 * 3600),
            checkpoint_interval: Duration::from_secs(600),
            scan_interval: Duration::from_millis(500),
        }
    }
}

/// A version that the service had reached at a time.
#[derive(Debug, Clone, Copy)]
struct Checkpoint {
    at: Mono,
    version: Version,
}

/// Decides which claims are removed.
#[derive(Debug)]
pub struct Sweeper {
    prefix: String,
    limits: SweepLimits,
    /// Oldest first.
    checkpoints: VecDeque<Checkpoint>,
    newest: Version,
    range: usize,
    next_scan: Mono,
}

impl Sweeper {
    /// Creates a sweeper without checkpoints.
    pub fn new(prefix: &str, limits: SweepLimits) -> Self {
        Self {
            prefix: prefix.to_owned(),
            limits,
            checkpoints: VecDeque::new(),
            newest: 0,
            range: 0,
            next_scan: Mono::ZERO,
        }
    }

    /// Records a version that the service returned; the version of any entry will do.
    pub fn record_version(&mut self, version: Version, now: Mono) {
        if version < self.newest {
            // The entry has not changed lately; the service has already reached a newer version.
            return;
        }
        self.newest = version;
        let last = self.checkpoints.back().map(|checkpoint| checkpoint.at);
        if last.is_some_and(|at| now < at + self.limits.checkpoint_interval) {
            return;
        }
        self.checkpoints.push_back(Checkpoint { at: now, version });
        let oldest =
            now.saturating_sub(self.limits.open_retention + self.limits.checkpoint_interval * 2);
        while self
            .checkpoints
            .front()
            .is_some_and(|checkpoint| checkpoint.at < oldest)
        {
            self.checkpoints.pop_front();
        }
    }

    /// Records the version of a write that this process just made. If it is lower than one before,
    /// the service was restored from an old copy, and the checkpoints no longer tell ages.
    pub fn record_write(&mut self, version: Version, now: Mono) {
        if version < self.newest {
            self.reset();
        }
        self.record_version(version, now);
    }

    /// Discards all checkpoints.
    ///
    /// To be called when the service was restored from an old copy, since its versions start again
    /// from that copy.
    pub fn reset(&mut self) {
        self.checkpoints.clear();
        self.newest = 0;
    }

    /// Returns the prefix of the next key range to read, if one is due.
    pub fn next_prefix(&mut self, accounts: &[AccountId], now: Mono) -> Option<String> {
        if accounts.is_empty() || now < self.next_scan {
            return None;
        }
        self.cutoff_version(self.limits.closed_retention, now)?;
        self.next_scan = now + self.limits.scan_interval;
        let range = self.range % (accounts.len() * RANGES_PER_ACCOUNT);
        self.range = range + 1;
        let account = account_prefix(&self.prefix, &accounts[range / RANGES_PER_ACCOUNT]);
        Some(format!("{account}{:x}", range % RANGES_PER_ACCOUNT))
    }

    /// Returns the removals of expired claims, in commits of at most [`MAX_OPS`] operations.
    pub fn sweep(&self, entries: &[Entry], now: Mono) -> Vec<Vec<Op>> {
        let expired = entries.iter().filter(|entry| self.is_expired(entry, now));
        let ops: Vec<Op> = expired
            .map(|entry| Op::Delete {
                key: entry.key.clone(),
                version: entry.version,
            })
            .collect();
        ops.chunks(MAX_OPS).map(<[Op]>::to_vec).collect()
    }

    fn is_expired(&self, entry: &Entry, now: Mono) -> bool {
        let Ok(record) = Record::decode(&entry.value) else {
            log::error!(key = entry.key.as_str(); "claim record is unreadable");
            return false;
        };
        let retention = match record.state {
            State::Claimed | State::Unknown => self.limits.open_retention,
            State::Released | State::Done { .. } | State::NotRun => self.limits.closed_retention,
        };
        let cutoff = self.cutoff_version(retention, now);
        cutoff.is_some_and(|version| entry.version <= version)
    }

    /// Returns the newest checkpointed version that is at least this old.
    fn cutoff_version(&self, age: Duration, now: Mono) -> Option<Version> {
        let latest = now.checked_sub(age)?;
        let checkpoints = self.checkpoints.iter().rev();
        let mut old_enough = checkpoints.filter(|checkpoint| checkpoint.at <= latest);
        old_enough.next().map(|checkpoint| checkpoint.version)
    }
}
