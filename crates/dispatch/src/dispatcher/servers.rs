//! Servers of one pool in one zone, and the choice between them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use primrose_core::clock::Mono;
use primrose_core::host::HostState;
use primrose_core::id::ServerId;
use primrose_core::table::SlotBounds;

use crate::dispatcher::server::Server;
use crate::dispatcher::server::SlotId;
use crate::dispatcher::ServerEntry;
use crate::message::PrefixHash;

/// Fixed-point scale of relative loads.
const LOAD_SCALE: u64 = 1 << 16;

/// Servers whose slots a dispatcher holds.
#[derive(Debug)]
pub(crate) struct Servers {
    bounds: SlotBounds,
    by_id: BTreeMap<ServerId, Server>,
    /// Isolation server: the one server on which suspect requests run, one at a time.
    isolation_server: Option<ServerId>,
}

impl Servers {
    pub(crate) fn new(bounds: SlotBounds) -> Self {
        Self {
            bounds,
            by_id: BTreeMap::new(),
            isolation_server: None,
        }
    }

    pub(crate) fn set_bounds(&mut self, bounds: SlotBounds) {
        self.bounds = bounds;
        for server in self.by_id.values_mut() {
            server.limit.set_bounds(bounds);
        }
    }

    /// Replaces the list. A server that is no longer listed is kept as leaving while any of its
    /// slots is taken.
    pub(crate) fn update(&mut self, entries: &[ServerEntry], now: Mono) {
        for server in self.by_id.values_mut() {
            server.state = HostState::Leaving;
        }
        for entry in entries {
            self.entry(&entry.id).update(entry, now);
        }
        self.prune();
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Server> {
        self.by_id.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Server> {
        self.by_id.get_mut(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ServerId, &Server)> {
        self.by_id.iter()
    }

    /// Takes a slot that is already in use, even above the limit or on an unlisted server.
    pub(crate) fn take(&mut self, id: &str, slot: SlotId, now: Mono) {
        if !self.by_id.contains_key(id) {
            self.entry(id).state = HostState::Leaving;
        }
        self.entry(id).take(slot, now);
    }

    pub(crate) fn release(&mut self, id: &str, slot: SlotId, now: Mono) {
        if let Some(server) = self.by_id.get_mut(id) {
            server.release(slot, now);
        }
        self.prune();
    }

    pub(crate) fn set_orphaned(&mut self, id: &str, slot: SlotId, orphaned: bool, now: Mono) {
        if let Some(server) = self.by_id.get_mut(id) {
            server.set_orphaned(slot, orphaned, now);
        }
    }

    /// Returns whether any server has a free slot for requests that are not suspect.
    pub(crate) fn has_free(&self, now: Mono) -> bool {
        self.unreserved().any(|(_, server)| server.free(now) > 0)
    }

    pub(crate) fn has_live_server(&self) -> bool {
        self.live_count() > 0
    }

    /// Returns the number of servers that accept new requests.
    pub(crate) fn live_count(&self) -> usize {
        let servers = self.by_id.values();
        servers.filter(|s| s.state == HostState::Live).count()
    }

    /// Picks a server with a free slot: longest cached prefix first, then least loaded relative to
    /// its limit, then highest limit.
    pub(crate) fn pick(&self, prefixes: &[PrefixHash], now: Mono) -> Option<ServerId> {
        let free = self.unreserved().filter(|(_, server)| server.free(now) > 0);
        let best = free.min_by_key(|(_, server)| {
            let depth = server.affinity.cached_depth(prefixes);
            let limit = u64::from(server.limit(now).max(1));
            let load = u64::from(server.busy()) * LOAD_SCALE / limit;
            (Reverse(depth), load, Reverse(limit))
        });
        best.map(|(id, _)| id.clone())
    }

    /// Reserves an isolation server while suspects wait; it stays reserved while one runs on it.
    pub(crate) fn update_isolation_server(&mut self, waiting: bool, running: bool, now: Mono) {
        let is_usable = |s: &Server| s.state == HostState::Live && s.limit(now) > 0;
        let current = self
            .isolation_server
            .as_ref()
            .and_then(|id| self.by_id.get(id));
        if current.is_some_and(|s| running || (waiting && is_usable(s) && !s.is_held_off(now))) {
            return;
        }
        self.isolation_server = None;
        if waiting {
            let servers = self.by_id.iter().filter(|(_, s)| is_usable(s));
            // A server that has just failed may not come back, and the suspects would wait for it
            // forever.
            let best = servers.min_by_key(|(_, s)| (s.is_held_off(now), s.failures(), s.busy()));
            self.isolation_server = best.map(|(id, _)| id.clone());
        }
    }

    /// Returns the isolation server if nothing runs on it.
    pub(crate) fn idle_isolation_server(&self, now: Mono) -> Option<ServerId> {
        let id = self.isolation_server.as_ref()?;
        let server = self.by_id.get(id)?;
        let ready = server.is_idle(now) && server.free(now) > 0;
        ready.then(|| id.clone())
    }

    /// Returns the isolation server.
    pub(crate) fn isolation_server(&self) -> Option<&ServerId> {
        self.isolation_server.as_ref()
    }

    /// Makes a server the isolation server, because a suspect already runs on it.
    pub(crate) fn set_isolation_server(&mut self, id: &str) {
        self.isolation_server = Some(id.to_owned());
    }

    fn unreserved(&self) -> impl Iterator<Item = (&ServerId, &Server)> {
        let isolation_server = self.isolation_server.as_ref();
        self.by_id
            .iter()
            .filter(move |(id, _)| Some(*id) != isolation_server)
    }

    fn entry(&mut self, id: &str) -> &mut Server {
        let bounds = self.bounds;
        self.by_id
            .entry(id.to_owned())
            .or_insert_with(|| Server::new(bounds))
    }

    fn prune(&mut self) {
        let keep = |s: &Server| s.state == HostState::Live || s.busy() > 0;
        self.by_id.retain(|_, server| keep(server));
    }
}
