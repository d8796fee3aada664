//! Removes claims that have been kept long enough.
//!
//! How old a record is must not rest on a wall clock: one that jumped ahead would remove fresh
//! claims, and a resend would run twice. Versions of the key-value service grow with every change,
//! so a [`Sweeper`] notes now and then which version the service had reached, by its own monotonic
//! clock. A record whose version is at or below a note is at least as old as the note. A sweeper
//! that has just started has no notes and removes nothing; the duty therefore belongs to the router
//! that has run the longest. Two sweepers do no harm, because each removal names a version.
//!
//! The records are read in slices, one account and one first digit of the key's digest at a time.

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

/// Slices of an account: one for each first digit of a digest in hexadecimal.
const SLICES: usize = 16;

/// Times of a sweeper.
#[derive(Debug, Clone)]
pub struct SweepLimits {
    /// How long claims are kept that are done, released or closed without a run.
    pub keep_closed: Duration,
    /// How long claims are kept that are open or whose outcome is unknown.
    pub keep_open: Duration,
    /// Time between two notes of the service's version.
    pub note_every: Duration,
    /// Time between two slices.
    pub slice_every: Duration,
}

impl Default for SweepLimits {
    fn default() -> Self {
        Self {
            keep_closed: Duration::from_secs(6 * 3600),
            keep_open: Duration::from_secs(48 * 3600),
            note_every: Duration::from_secs(600),
            slice_every: Duration::from_millis(500),
        }
    }
}

/// The version that the service had reached at some time.
#[derive(Debug, Clone, Copy)]
struct Note {
    at: Mono,
    version: Version,
}

/// Decides which claims are removed.
#[derive(Debug)]
pub struct Sweeper {
    prefix: String,
    limits: SweepLimits,
    /// Oldest first.
    notes: VecDeque<Note>,
    newest: Version,
    slice: usize,
    next_slice: Mono,
}

impl Sweeper {
    /// Makes a sweeper that knows nothing of the past.
    pub fn new(prefix: &str, limits: SweepLimits) -> Self {
        Self {
            prefix: prefix.to_owned(),
            limits,
            notes: VecDeque::new(),
            newest: 0,
            slice: 0,
            next_slice: Mono::ZERO,
        }
    }

    /// Notes a version that the service shows; versions of any entry will do.
    pub fn note(&mut self, version: Version, now: Mono) {
        if version < self.newest {
            // An entry that was not changed lately shows an old version, and that says nothing.
            return;
        }
        self.newest = version;
        let last = self.notes.back().map(|note| note.at);
        if last.is_some_and(|at| now < at + self.limits.note_every) {
            return;
        }
        self.notes.push_back(Note { at: now, version });
        let oldest = now.saturating_sub(self.limits.keep_open + self.limits.note_every * 2);
        while self.notes.front().is_some_and(|note| note.at < oldest) {
            self.notes.pop_front();
        }
    }

    /// Forgets all notes: the service was restored from an old copy and counts anew.
    pub fn reset(&mut self) {
        self.notes.clear();
        self.newest = 0;
    }

    /// Names the prefix of the keys to read next, if it is time for one.
    pub fn plan(&mut self, accounts: &[AccountId], now: Mono) -> Option<String> {
        if accounts.is_empty() || now < self.next_slice {
            return None;
        }
        self.horizon(self.limits.keep_closed, now)?;
        self.next_slice = now + self.limits.slice_every;
        let slice = self.slice % (accounts.len() * SLICES);
        self.slice = slice + 1;
        let account = account_prefix(&self.prefix, &accounts[slice / SLICES]);
        Some(format!("{account}{:x}", slice % SLICES))
    }

    /// Removals of what has been kept long enough, in commits that the service takes.
    pub fn sweep(&self, entries: &[Entry], now: Mono) -> Vec<Vec<Op>> {
        let old = entries.iter().filter(|entry| self.is_old(entry, now));
        let ops: Vec<Op> = old
            .map(|entry| Op::Delete {
                key: entry.key.clone(),
                version: entry.version,
            })
            .collect();
        ops.chunks(MAX_OPS).map(<[Op]>::to_vec).collect()
    }

    fn is_old(&self, entry: &Entry, now: Mono) -> bool {
        let Ok(record) = Record::decode(&entry.value) else {
            log::error!(key = entry.key.as_str(); "claim record is unreadable");
            return false;
        };
        let keep = match record.state {
            State::Claimed | State::Unknown => self.limits.keep_open,
            State::Released | State::Done { .. } | State::NotRun => self.limits.keep_closed,
        };
        let horizon = self.horizon(keep, now);
        horizon.is_some_and(|version| entry.version <= version)
    }

    /// The newest version that is known to be at least this old.
    fn horizon(&self, age: Duration, now: Mono) -> Option<Version> {
        let latest = now.checked_sub(age)?;
        let notes = self.notes.iter().rev();
        let mut old = notes.filter(|note| note.at <= latest);
        old.next().map(|note| note.version)
    }
}
