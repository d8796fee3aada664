//! The servers that a gateway knows of, and when it stops using one.
//!
//! Changes of the platform's list are applied one by one. A server that is marked as leaving gets
//! no requests from the moment the mark is known; the mark holds for that incarnation of the
//! server, even if older entries without it arrive later. An entry that disappeared during an
//! outage of the platform may only have expired, so its server stays usable for the time that a
//! live server needs to register again. The list may also go back to an older copy; a server that was
//! removed is not used again for an entry that it had written before.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::ServerId;
use serde::Deserialize;
use serde::Serialize;

use crate::cost::ServerCost;
use crate::entry::short_id;
use crate::entry::short_start_id;
use crate::entry::BuildId;
use crate::entry::ServerEntry;
use crate::entry::ShortId;
use crate::health::Health;
use crate::prefill::Slowness;

/// Time after an outage of the platform during which a missing entry may only have expired: live
/// servers are listed again within about two seconds.
const RELIST_TIME: Duration = Duration::from_millis(2_000);
/// Time for which a leaving or removed server is published to the other gateways; by its end the
/// platform's list shows the change.
const MARK_PUBLISH_TIME: Duration = Duration::from_secs(10);
/// Time for which the removal of a server is remembered. It is longer than [`MARK_PUBLISH_TIME`],
/// so that a repeated report does not remove a server that was listed again.
const REMOVED_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum number of leaving servers, and of removed servers, in a digest.
const MAX_PUBLISHED_MARKS: usize = 16;

/// Capacity of a server that requests use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Prompt tokens still to be processed before first events.
    pub reading: u64,
    /// Memory that running requests need, in tokens.
    pub memory: u64,
    /// Requests that run or are queued there.
    pub running: u32,
    /// Engine steps that these requests are expected to take yet; zero for pools that are not
    /// cost-aware.
    pub steps: u64,
}

impl Load {
    /// Adds the load of a request or of another gateway.
    pub fn add(&mut self, part: Self) {
        self.reading += part.reading;
        self.memory += part.memory;
        self.running += part.running;
        self.steps = self.steps.saturating_add(part.steps);
    }

    /// Subtracts a load that was added before.
    pub fn remove(&mut self, part: Self) {
        self.reading = self.reading.saturating_sub(part.reading);
        self.memory = self.memory.saturating_sub(part.memory);
        self.running = self.running.saturating_sub(part.running);
        self.steps = self.steps.saturating_sub(part.steps);
    }
}

/// A server and what this gateway knows of it.
#[derive(Debug)]
pub struct Server {
    /// The platform's entry.
    pub entry: ServerEntry,
    /// Short id of this incarnation.
    pub short_id: ShortId,
    /// Build that it runs.
    pub build: BuildId,
    /// Short id of its availability zone.
    pub zone: ShortId,
    /// Load of this gateway's requests.
    pub local_load: Load,
    /// Outcomes of this gateway's requests.
    pub health: Health,
    /// Ratio of its times to first event to the pool's.
    pub slowness: Slowness,
    /// What the placement by cost uses; boxed, since most decisions pass over it.
    pub cost: Box<ServerCost>,
    /// Time at which data was last received from it.
    pub last_activity: Option<Mono>,
    /// Whether its entry has disappeared from the platform's list.
    missing: bool,
}

impl Server {
    fn new(entry: ServerEntry) -> Self {
        Self {
            short_id: short_start_id(&entry),
            build: entry.build(),
            zone: short_id(&entry.zone),
            entry,
            local_load: Load::default(),
            health: Health::default(),
            slowness: Slowness::default(),
            cost: Box::default(),
            last_activity: None,
            missing: false,
        }
    }

    /// Whether new requests may be sent to it.
    pub fn accepts_requests(&self) -> bool {
        !self.entry.leaving
    }
}

/// A change of the servers that a gateway uses, for its log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// A server, or a new incarnation of one, is usable.
    Joined(ServerId),
    /// A server accepts no new requests.
    Leaving(ServerId),
    /// An entry disappeared, possibly only for a short time.
    Missing(ServerId),
    /// A server is no longer used.
    Removed(ServerId),
}

/// Removal of a server from the list.
#[derive(Debug, Clone, Copy)]
struct Removal {
    since: Mono,
    /// Number of its last known entry. The list may go back to an older copy, with entries up to
    /// this one.
    last_seq: u64,
}

/// All servers that a gateway knows.
#[derive(Debug, Default)]
pub struct Servers {
    /// Sorted, so that ties are broken alike on all gateways and in every run of a test.
    by_id: BTreeMap<ServerId, Server>,
    /// Short ids of incarnations that were marked as leaving; the marks never expire.
    leaving_ids: HashMap<ShortId, Mono>,
    /// Short ids of incarnations that were removed from the list; one that writes an entry again is
    /// used again.
    removed_ids: HashMap<ShortId, Removal>,
    outage_end: Option<Mono>,
}

impl Servers {
    /// Adds or updates an entry of the list.
    pub fn upsert(&mut self, mut entry: ServerEntry, now: Mono) -> Vec<ServerChange> {
        let (short_id, zone) = (short_start_id(&entry), short_id(&entry.zone));
        let removal = self.removed_ids.get(&short_id);
        if removal.is_some_and(|removal| (1..=removal.last_seq).contains(&entry.seq)) {
            return Vec::new();
        }
        entry.leaving |= self.leaving_ids.contains_key(&short_id);
        let mut changes = self.remove_replaced(&entry);
        if entry.leaving {
            self.leaving_ids.entry(short_id).or_insert(now);
        }
        let known = self.by_id.get_mut(&entry.id);
        let change = match known {
            Some(server) if server.entry.born_ms == entry.born_ms => {
                let newly_leaving = entry.leaving && !server.entry.leaving;
                server.missing = false;
                server.build = entry.build();
                server.zone = zone;
                server.entry = entry;
                newly_leaving.then(|| ServerChange::Leaving(server.entry.id.clone()))
            }
            _ => {
                let id = entry.id.clone();
                let leaving = entry.leaving;
                self.by_id.insert(id.clone(), Server::new(entry));
                Some(if leaving {
                    ServerChange::Leaving(id)
                } else {
                    ServerChange::Joined(id)
                })
            }
        };
        changes.extend(change);
        changes
    }

    /// Removes a server whose entry was removed from the list, or marks it as missing shortly after
    /// an outage of the platform.
    pub fn remove(&mut self, id: &str, now: Mono) -> Vec<ServerChange> {
        let may_return = self.may_return(now);
        let Some(server) = self.by_id.get_mut(id) else {
            return Vec::new();
        };
        if may_return && server.accepts_requests() {
            let newly_missing = !std::mem::replace(&mut server.missing, true);
            let change = newly_missing.then(|| ServerChange::Missing(id.to_owned()));
            return change.into_iter().collect();
        }
        // Published, since the other gateways may read the list less often.
        let removal = Removal {
            since: now,
            last_seq: server.entry.seq,
        };
        self.removed_ids.insert(server.short_id, removal);
        self.by_id.remove(id);
        vec![ServerChange::Removed(id.to_owned())]
    }

    /// Replaces the known entries by the whole list.
    pub fn replace(&mut self, entries: Vec<ServerEntry>, now: Mono) -> Vec<ServerChange> {
        let unlisted: Vec<ServerId> = self
            .by_id
            .keys()
            .filter(|id| !entries.iter().any(|entry| entry.id == **id))
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for id in unlisted {
            changes.extend(self.remove(&id, now));
        }
        for entry in entries {
            changes.extend(self.upsert(entry, now));
        }
        changes
    }

    /// Records that the platform is available again after an outage.
    pub fn record_outage_end(&mut self, now: Mono) {
        self.outage_end = Some(now);
    }

    /// Merges the servers that another gateway published as leaving.
    pub fn merge_leaving(&mut self, leaving: &[ShortId], now: Mono) -> Vec<ServerChange> {
        let mut changes = Vec::new();
        for short_id in leaving {
            if self.leaving_ids.contains_key(short_id) {
                continue;
            }
            self.leaving_ids.insert(*short_id, now);
            let mut servers = self.by_id.values_mut();
            let known =
                servers.find(|server| server.short_id == *short_id && server.accepts_requests());
            if let Some(server) = known {
                server.entry.leaving = true;
                changes.push(ServerChange::Leaving(server.entry.id.clone()));
            }
        }
        changes
    }

    /// Merges the servers that another gateway published as removed from the list.
    pub fn merge_removed(&mut self, removed: &[ShortId], now: Mono) -> Vec<ServerChange> {
        let mut changes = Vec::new();
        for short_id in removed {
            // A known mark keeps its time; otherwise gateways would renew it for one another.
            if self.removed_ids.contains_key(short_id) {
                continue;
            }
            let mut servers = self.by_id.values();
            let known = servers.find(|server| server.short_id == *short_id);
            let removal = Removal {
                since: now,
                last_seq: known.map_or(0, |server| server.entry.seq),
            };
            self.removed_ids.insert(*short_id, removal);
            if self.may_return(now) {
                continue;
            }
            if let Some(id) = known.map(|server| server.entry.id.clone()) {
                self.by_id.remove(&id);
                changes.push(ServerChange::Removed(id));
            }
        }
        changes
    }

    /// Returns the leaving servers to publish.
    pub fn recent_leaving(&self, now: Mono) -> Vec<ShortId> {
        let marks = self.leaving_ids.iter();
        recent(marks.map(|(id, since)| (*since, *id)), now)
    }

    /// Returns the removed servers to publish.
    pub fn recent_removed(&self, now: Mono) -> Vec<ShortId> {
        let marks = self.removed_ids.iter();
        recent(marks.map(|(id, removal)| (removal.since, *id)), now)
    }

    /// Removes the servers that are still missing some time after an outage.
    pub fn expire(&mut self, now: Mono) -> Vec<ServerChange> {
        self.removed_ids
            .retain(|_, removal| now.saturating_sub(removal.since) < REMOVED_LIFETIME);
        if self.may_return(now) {
            return Vec::new();
        }
        let expired = self.by_id.values().filter(|server| server.missing);
        let expired: Vec<ServerId> = expired.map(|server| server.entry.id.clone()).collect();
        for id in &expired {
            self.by_id.remove(id);
        }
        expired.into_iter().map(ServerChange::Removed).collect()
    }

    /// Returns a server by its name.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.by_id.get(id)
    }

    /// Returns a server by its name, for update.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Server> {
        self.by_id.get_mut(id)
    }

    /// Returns a server by the short id of its incarnation.
    pub fn by_short_id_mut(&mut self, short_id: ShortId) -> Option<&mut Server> {
        self.by_id
            .values_mut()
            .find(|server| server.short_id == short_id)
    }

    /// Returns an iterator over all servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.by_id.values()
    }

    /// Returns a mutable iterator over all servers.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.by_id.values_mut()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Whether an entry that is missing now may only have expired during an outage.
    fn may_return(&self, now: Mono) -> bool {
        let end = self.outage_end;
        end.is_some_and(|end| now.saturating_sub(end) < RELIST_TIME)
    }

    /// Removes a server whose address is now used by another one.
    fn remove_replaced(&mut self, entry: &ServerEntry) -> Vec<ServerChange> {
        let is_same = |addr: SocketAddr| addr == entry.addr;
        let replaced = self
            .by_id
            .values()
            .find(|server| is_same(server.entry.addr) && server.entry.id != entry.id)
            // Of two entries with one address, the one that started later is in use.
            .filter(|server| server.entry.born_ms < entry.born_ms)
            .map(|server| server.entry.id.clone());
        let Some(id) = replaced else {
            return Vec::new();
        };
        self.by_id.remove(&id);
        vec![ServerChange::Removed(id)]
    }
}

/// Returns the newest ids, as far as they were recorded recently enough to be published.
fn recent(recorded: impl Iterator<Item = (Mono, ShortId)>, now: Mono) -> Vec<ShortId> {
    let recent = recorded.filter(|(since, _)| now.saturating_sub(*since) < MARK_PUBLISH_TIME);
    let mut recent: Vec<(Mono, ShortId)> = recent.collect();
    recent.sort_unstable_by_key(|(since, id)| (std::cmp::Reverse(*since), *id));
    recent.truncate(MAX_PUBLISHED_MARKS);
    recent.into_iter().map(|(_, id)| id).collect()
}
