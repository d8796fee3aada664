//! What the deciding thread shows to the other threads: snapshots that are swapped whole.

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
use primrose_front::broker::Standing;
use primrose_order::Target;
use primrose_table::accounts::Accounts;

use crate::message::DocumentKind;

/// A fingerprint that requests must not pass unseen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Restriction {
    /// Runs only apart from others.
    Suspect,
    /// Refused until this time.
    RefusedUntil(Mono),
}

/// A server whose load is to be asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LoadTarget {
    pub(crate) pool: PoolId,
    pub(crate) server: ServerId,
    pub(crate) addr: SocketAddr,
}

/// Snapshots for the other threads.
#[derive(Debug, Default)]
pub(crate) struct Snapshots {
    table: RwLock<Arc<Table>>,
    accounts: RwLock<Arc<Accounts>>,
    restrictions: RwLock<Arc<BTreeMap<Fingerprint, Restriction>>>,
    targets: RwLock<Arc<Vec<LoadTarget>>>,
    orders: RwLock<Arc<Vec<Target>>>,
    generations: RwLock<BTreeMap<DocumentKind, Generation>>,
    ready: AtomicBool,
    watching: AtomicBool,
    sweeping: AtomicBool,
    orphaned_slots: AtomicBool,
}

/// Swaps one snapshot.
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

    pub(crate) fn standing(&self, fingerprint: Fingerprint, now: Mono) -> Standing {
        match read(&self.restrictions).get(&fingerprint) {
            None => Standing::Clear,
            Some(Restriction::Suspect) => Standing::Suspect,
            Some(Restriction::RefusedUntil(end)) if *end > now => Standing::Refused(*end - now),
            Some(Restriction::RefusedUntil(_)) => Standing::Clear,
        }
    }

    pub(crate) fn set_restrictions(&self, restrictions: BTreeMap<Fingerprint, Restriction>) {
        swap(&self.restrictions, restrictions);
    }

    pub(crate) fn targets(&self) -> Arc<Vec<LoadTarget>> {
        read(&self.targets)
    }

    pub(crate) fn set_targets(&self, targets: Vec<LoadTarget>) {
        swap(&self.targets, targets);
    }

    /// Servers that this router orders.
    pub(crate) fn orders(&self) -> Arc<Vec<Target>> {
        read(&self.orders)
    }

    pub(crate) fn set_orders(&self, targets: Vec<Target>) {
        swap(&self.orders, targets);
    }

    /// Generation of a document in force; 0 for none.
    pub(crate) fn generation(&self, kind: DocumentKind) -> Generation {
        let generations = self.generations.read().expect("snapshot lock poisoned");
        generations.get(&kind).copied().unwrap_or(0)
    }

    pub(crate) fn set_generation(&self, kind: DocumentKind, generation: Generation) {
        let mut generations = self.generations.write().expect("snapshot lock poisoned");
        generations.insert(kind, generation);
    }

    /// Whether both documents are in force and the router is not shutting down.
    pub(crate) fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Whether this router is one of its zone's watchers of the documents.
    pub(crate) fn watching(&self) -> bool {
        self.watching.load(Ordering::Relaxed)
    }

    /// Whether this router is the one that removes old claims.
    pub(crate) fn sweeping(&self) -> bool {
        self.sweeping.load(Ordering::Relaxed)
    }

    pub(crate) fn set_sweeping(&self, sweeping: bool) {
        self.sweeping.store(sweeping, Ordering::Relaxed);
    }

    /// Whether a router of the zone was lost lately, whose slots may still be counted.
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
