//! The plain state of a key-value service: entries, versions and leases.

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

/// Index of an empty service; a query that waits on an absent key names it, so no write has it.
const FIRST_INDEX: Version = 1;

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    end: Mono,
}

/// What a key was before an operation.
struct Undo {
    key: Key,
    entry: Option<Entry>,
    deleted: Option<Version>,
}

/// Entries, versions and leases; a clone is a copy to restore from.
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
    /// Returns the version of the last change.
    pub fn index(&self) -> Version {
        self.index
    }

    /// Returns one entry.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns the version of the last change of a key, its deletion included.
    pub fn last_change(&self, key: &str) -> Version {
        match self.entries.get(key) {
            Some(entry) => entry.version,
            None => self.deleted.get(key).copied().unwrap_or(0),
        }
    }

    /// Returns the entries whose keys begin with the prefix.
    pub fn list(&self, prefix: &str) -> Vec<Entry> {
        self.entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Applies all operations or none.
    pub fn commit(&mut self, ops: &[Op]) -> CommitResult {
        self.index += 1;
        let mut undo: Vec<Undo> = Vec::with_capacity(ops.len());
        for (op, operation) in ops.iter().enumerate() {
            undo.push(self.undo(operation.key()));
            if let Err(detail) = self.apply(operation) {
                self.index -= 1;
                for step in undo.into_iter().rev() {
                    self.revert(step);
                }
                return CommitResult::Conflict(Conflict { op, detail });
            }
        }
        CommitResult::Applied(self.written(ops))
    }

    /// Begins a lease.
    pub fn lease(&mut self, ttl: Duration, now: Mono) -> LeaseId {
        self.next_lease += 1;
        let lease = format!("00000000-0000-4000-8000-{:012x}", self.next_lease);
        let end = now + ttl;
        self.leases.insert(lease.clone(), Lease { ttl, end });
        lease
    }

    /// Returns the leases that have not ended.
    pub fn leases(&self) -> Vec<LeaseId> {
        self.leases.keys().cloned().collect()
    }

    /// Prolongs a lease; false if it has ended.
    pub fn renew(&mut self, lease: &str, now: Mono) -> bool {
        let Some(found) = self.leases.get_mut(lease) else {
            return false;
        };
        found.end = now + found.ttl;
        true
    }

    /// Returns the time for which a lease lasts after a renewal.
    pub fn lease_ttl(&self, lease: &str) -> Option<Duration> {
        self.leases.get(lease).map(|found| found.ttl)
    }

    /// Ends a lease and frees the keys held under it.
    pub fn revoke(&mut self, lease: &str) {
        if self.leases.remove(lease).is_none() {
            return;
        }
        self.index += 1;
        let held = |entry: &&mut Entry| entry.lease.as_deref() == Some(lease);
        for entry in self.entries.values_mut().filter(held) {
            entry.lease = None;
            entry.version = self.index;
        }
    }

    /// Ends the leases whose time has passed; true if there was one.
    pub fn expire(&mut self, now: Mono) -> bool {
        let ended: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.end <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for lease in &ended {
            self.revoke(lease);
        }
        !ended.is_empty()
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

    fn undo(&self, key: &str) -> Undo {
        Undo {
            key: key.to_owned(),
            entry: self.entries.get(key).cloned(),
            deleted: self.deleted.get(key).copied(),
        }
    }

    fn revert(&mut self, undo: Undo) {
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
                self.expect(key, 0)?;
                self.write(key, value);
            }
            Op::Swap {
                key,
                value,
                version,
            } => {
                self.expect(key, *version)?;
                self.write(key, value);
            }
            Op::Put { key, value } => {
                self.write(key, value);
            }
            Op::Delete { key, version } => {
                self.expect(key, *version)?;
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
            Op::Check { key, version } => self.expect(key, *version)?,
        }
        Ok(())
    }

    fn expect(&self, key: &str, version: Version) -> Result<(), String> {
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
        let again = match holder {
            Some(other) if other != *lease => {
                return Err(format!("key {key:?} is held under lease {other}"));
            }
            Some(_) => true,
            None => false,
        };
        let entry = self.write(key, value);
        entry.lease = Some(lease.clone());
        if !again {
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
