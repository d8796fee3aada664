//! The state of a key-value service: entries, versions and leases.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::clock::Mono;

use crate::store::CommitResult;
use crate::store::Conflict;
use crate::store::Entry;
use crate::store::Key;
use crate::store::LeaseId;
use crate::store::Op;
use crate::store::Version;
use crate::store::Written;

/// Index of an empty service; no write gets it, because a watch on an absent key passes this index.
const FIRST_INDEX: Version = 1;

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    end: Mono,
}

/// State of a key before an operation, to roll the operation back.
struct Undo {
    key: Key,
    entry: Option<Entry>,
    deleted: Option<Version>,
}

/// Entries, versions and leases of a key-value service.
///
/// A clone is a snapshot to restore from.
#[derive(Debug, Clone)]
pub struct StoreState {
    index: Version,
    next_lease: u64,
    entries: BTreeMap<Key, Entry>,
    deleted: BTreeMap<Key, Version>,
    leases: BTreeMap<LeaseId, Lease>,
}

impl Default for StoreState {
    fn default() -> Self {
        Self {
            index: FIRST_INDEX,
            next_lease: 0,
            entries: BTreeMap::new(),
            deleted: BTreeMap::new(),
            leases: BTreeMap::new(),
        }
    }
}

impl StoreState {
    /// Returns the version of the last change of any key.
    pub fn index(&self) -> Version {
        self.index
    }

    /// Returns one entry.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns the version of the last change of a key, deletions included; 0 if it never existed.
    pub fn last_change(&self, key: &str) -> Version {
        match self.entries.get(key) {
            Some(entry) => entry.version,
            None => self.deleted.get(key).copied().unwrap_or(0),
        }
    }

    /// Returns the entries whose keys begin with the prefix, sorted by key.
    pub fn list(&self, prefix: &str) -> Vec<Entry> {
        self.entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Applies all operations atomically.
    pub fn commit(&mut self, ops: &[Op]) -> CommitResult {
        self.index += 1;
        let mut undo_log: Vec<Undo> = Vec::with_capacity(ops.len());
        for (op, operation) in ops.iter().enumerate() {
            undo_log.push(self.undo_record(operation.key()));
            if let Err(detail) = self.apply(operation) {
                self.index -= 1;
                for undo in undo_log.into_iter().rev() {
                    self.roll_back(undo);
                }
                return CommitResult::Conflict(Conflict { op, detail });
            }
        }
        CommitResult::Applied(self.written(ops))
    }

    /// Creates a lease.
    pub fn lease(&mut self, ttl: Duration, now: Mono) -> LeaseId {
        self.next_lease += 1;
        let lease = format!("00000000-0000-4000-8000-{:012x}", self.next_lease);
        let end = now + ttl;
        self.leases.insert(lease.clone(), Lease { ttl, end });
        lease
    }

    /// Returns the ids of all leases that have not ended.
    pub fn leases(&self) -> Vec<LeaseId> {
        self.leases.keys().cloned().collect()
    }

    /// Renews a lease; returns false if it has ended.
    pub fn renew(&mut self, lease: &str, now: Mono) -> bool {
        let Some(renewed) = self.leases.get_mut(lease) else {
            return false;
        };
        renewed.end = now + renewed.ttl;
        true
    }

    /// Returns the time to live of a lease.
    pub fn lease_ttl(&self, lease: &str) -> Option<Duration> {
        self.leases.get(lease).map(|found| found.ttl)
    }

    /// Ends a lease and releases the keys held under it.
    pub fn revoke(&mut self, lease: &str) {
        if self.leases.remove(lease).is_none() {
            return;
        }
        self.index += 1;
        let held_under_lease = |entry: &&mut Entry| entry.lease.as_deref() == Some(lease);
        for entry in self.entries.values_mut().filter(held_under_lease) {
            entry.lease = None;
            entry.version = self.index;
        }
    }

    /// Ends all expired leases; returns whether there were any.
    pub fn expire(&mut self, now: Mono) -> bool {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.end <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for lease in &expired {
            self.revoke(lease);
        }
        !expired.is_empty()
    }

    fn written(&self, ops: &[Op]) -> Vec<Written> {
        ops.iter()
            .filter(|op| !matches!(op, Op::Check { .. }))
            .filter_map(|op| self.entries.get(op.key()))
            .map(|entry| Written {
                key: entry.key.clone(),
                version: entry.version,
                fence: entry.fence,
            })
            .collect()
    }

    fn undo_record(&self, key: &str) -> Undo {
        Undo {
            key: key.to_owned(),
            entry: self.entries.get(key).cloned(),
            deleted: self.deleted.get(key).copied(),
        }
    }

    fn roll_back(&mut self, undo: Undo) {
        match undo.entry {
            Some(entry) => self.entries.insert(undo.key.clone(), entry),
            None => self.entries.remove(&undo.key),
        };
        match undo.deleted {
            Some(version) => self.deleted.insert(undo.key, version),
            None => self.deleted.remove(&undo.key),
        };
    }

    fn apply(&mut self, op: &Op) -> Result<(), String> {
        match op {
            Op::Create { key, value } => {
                self.check_version(key, 0)?;
                self.write(key, value);
            }
            Op::Swap {
                key,
                value,
                version,
            } => {
                self.check_version(key, *version)?;
                self.write(key, value);
            }
            Op::Put { key, value } => {
                self.write(key, value);
            }
            Op::Delete { key, version } => {
                self.check_version(key, *version)?;
                self.entries.remove(key);
                self.deleted.insert(key.clone(), self.index);
            }
            Op::Hold { key, value, lease } => self.hold(key, value, lease)?,
            Op::Release { key, value, lease } => {
                let holder = self.get(key).and_then(|entry| entry.lease.as_ref());
                if holder != Some(lease) {
                    return Err(format!("key {key:?} is not held under lease {lease}"));
                }
                self.write(key, value).lease = None;
            }
            Op::Check { key, version } => self.check_version(key, *version)?,
        }
        Ok(())
    }

    fn check_version(&self, key: &str, version: Version) -> Result<(), String> {
        let found = self.get(key).map_or(0, |entry| entry.version);
        if found == version {
            return Ok(());
        }
        Err(format!(
            "key {key:?} is at version {found}, not at {version}"
        ))
    }

    fn hold(&mut self, key: &str, value: &[u8], lease: &LeaseId) -> Result<(), String> {
        if !self.leases.contains_key(lease) {
            return Err(format!("lease {lease} has ended"));
        }
        let holder = self.get(key).and_then(|entry| entry.lease.clone());
        let already_held = match holder {
            Some(other) if other != *lease => {
                return Err(format!("key {key:?} is held under lease {other}"));
            }
            Some(_) => true,
            None => false,
        };
        let entry = self.write(key, value);
        entry.lease = Some(lease.clone());
        if !already_held {
            entry.fence += 1;
        }
        Ok(())
    }

    fn write(&mut self, key: &str, value: &[u8]) -> &mut Entry {
        let version = self.index;
        self.deleted.remove(key);
        let entry = self.entries.entry(key.to_owned()).or_insert_with(|| Entry {
            key: key.to_owned(),
            value: Vec::new(),
            version,
            lease: None,
            fence: 0,
        });
        entry.value = value.to_vec();
        entry.version = version;
        entry
    }
}
