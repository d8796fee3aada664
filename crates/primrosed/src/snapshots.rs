//! State that the deciding thread publishes to the other threads.
//!
//! Each value is an immutable snapshot that is replaced as a whole, so readers hold a lock only
//! while they clone an [`Arc`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::RwLock;

use primrose_core::clock::Mono;
use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::Generation;
use primrose_core::id::PoolId;
use primrose_core::id::ServerId;
use primrose_core::table::Table;
use primrose_front::broker::FingerprintStatus;
use primrose_order::Target;
use primrose_table::accounts::Accounts;

use crate::message::DocumentKind;

/// Restriction on requests with a suspect fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Restriction {
    /// Runs only apart from other requests.
    Suspect,
    /// Refused until this time.
    RefusedUntil(Mono),
}

/// A backend server that the load thread polls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LoadTarget {
    pub(crate) pool: PoolId,
    pub(crate) server: ServerId,
    pub(crate) addr: SocketAddr,
}

/// Snapshots that the deciding thread writes and the other threads read.
#[derive(Debug, Default)]
pub(crate) struct Snapshots {
    table: RwLock<Arc<Table>>,
    accounts: RwLock<Arc<Accounts>>,
    restrictions: RwLock<Arc<BTreeMap<Fingerprint, Restriction>>>,
    load_targets: RwLock<Arc<Vec<LoadTarget>>>,
    order_targets: RwLock<Arc<Vec<Target>>>,
    generations: RwLock<BTreeMap<DocumentKind, Generation>>,
    ready: AtomicBool,
    watching: AtomicBool,
    sweeping: AtomicBool,
    orphaned_slots: AtomicBool,
}

/// Replaces one snapshot.
fn swap<T>(slot: &RwLock<Arc<T>>, value: T) {
    *slot.write().expect("snapshot lock poisoned") = Arc::new(value);
}

fn read<T>(slot: &RwLock<Arc<T>>) -> Arc<T> {
    Arc::clone(&slot.read().expect("snapshot lock poisoned"))
}

impl Snapshots {
    pub(crate) fn table(&self) -> Arc<Table> {
        read(&self.table)
    }

    pub(crate) fn set_table(&self, table: Arc<Table>) {
        *self.table.write().expect("snapshot lock poisoned") = table;
    }

    pub(crate) fn accounts(&self) -> Arc<Accounts> {
        read(&self.accounts)
    }

    pub(crate) fn set_accounts(&self, accounts: Arc<Accounts>) {
        *self.accounts.write().expect("snapshot lock poisoned") = accounts;
    }

    pub(crate) fn standing(&self, fingerprint: Fingerprint, now: Mono) -> FingerprintStatus {
        match read(&self.restrictions).get(&fingerprint) {
            None => FingerprintStatus::Clear,
            Some(Restriction::Suspect) => FingerprintStatus::Suspect,
            Some(Restriction::RefusedUntil(end)) if *end > now => {
                FingerprintStatus::Refused(*end - now)
            }
            Some(Restriction::RefusedUntil(_)) => FingerprintStatus::Clear,
        }
    }

    pub(crate) fn set_restrictions(&self, restrictions: BTreeMap<Fingerprint, Restriction>) {
        swap(&self.restrictions, restrictions);
    }

    pub(crate) fn load_targets(&self) -> Arc<Vec<LoadTarget>> {
        read(&self.load_targets)
    }

    pub(crate) fn set_load_targets(&self, load_targets: Vec<LoadTarget>) {
        swap(&self.load_targets, load_targets);
    }

    /// Returns the servers to which this router sends orders.
    pub(crate) fn order_targets(&self) -> Arc<Vec<Target>> {
        read(&self.order_targets)
    }

    pub(crate) fn set_order_targets(&self, order_targets: Vec<Target>) {
        swap(&self.order_targets, order_targets);
    }

    /// Returns the generation of the active document; 0 if there is none.
    pub(crate) fn generation(&self, kind: DocumentKind) -> Generation {
        let generations = self.generations.read().expect("snapshot lock poisoned");
        generations.get(&kind).copied().unwrap_or(0)
    }

    pub(crate) fn set_generation(&self, kind: DocumentKind, generation: Generation) {
        let mut generations = self.generations.write().expect("snapshot lock poisoned");
        generations.insert(kind, generation);
    }

    /// Whether both documents are active and the router is not shutting down.
    pub(crate) fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Whether this router is one of those in its zone that watch the documents.
    pub(crate) fn watching(&self) -> bool {
        self.watching.load(Ordering::Relaxed)
    }

    /// Whether this router has the duty of removing old claims.
    pub(crate) fn sweeping(&self) -> bool {
        self.sweeping.load(Ordering::Relaxed)
    }

    pub(crate) fn set_sweeping(&self, sweeping: bool) {
        self.sweeping.store(sweeping, Ordering::Relaxed);
    }

    /// Whether a router of the zone was lost recently, so that slots it held may still count as busy.
    pub(crate) fn orphaned_slots(&self) -> bool {
        self.orphaned_slots.load(Ordering::Relaxed)
    }

    pub(crate) fn set_orphaned_slots(&self, orphaned_slots: bool) {
        self.orphaned_slots.store(orphaned_slots, Ordering::Relaxed);
    }

    pub(crate) fn set_watching(&self, watching: bool) {
        self.watching.store(watching, Ordering::Relaxed);
    }
}
