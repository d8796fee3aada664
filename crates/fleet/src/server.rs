//! The servers that a gateway knows of, and when it stops using one.
//!
//! The platform's list is followed change by change. A server that leaves is not used from the
//! moment it is known, and the mark holds for that start of the server, whatever older news comes
//! after it. An entry that disappears while the platform was out of reach may only have lapsed, so
//! it stays usable for the time that a living server takes to come back.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::ServerId;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::short_start_id;
use crate::entry::ServerEntry;
use crate::entry::ShortId;
use crate::health::Health;
use crate::prefill::Slowness;

/// How long after an outage of the platform a missing entry may be one that lapsed: living
/// servers are back in the list within about two seconds of its return.
const RETURN_TIME: Duration = Duration::from_millis(2_000);
/// How long a leaving mark is told to other gateways; the platform's list has it by then.
const MARK_TOLD: Duration = Duration::from_secs(10);
/// How long it is remembered that a server left the list: longer than it is told, so that an echo
/// does not remove one that came back.
const GONE_KEPT: Duration = Duration::from_secs(30);
/// Marks that a digest names.
const MARKS_TOLD: usize = 16;

/// What requests take of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Prompt tokens that are still to be read before first events.
    pub reading: u64,
    /// Tokens that running requests need in memory.
    pub memory: u64,
    /// Requests that run or wait there.
    pub running: u32,
}

impl Load {
    /// Adds a part.
    pub fn add(&mut self, part: Self) {
        self.reading += part.reading;
        self.memory += part.memory;
        self.running += part.running;
    }

    /// Takes a part away again.
    pub fn remove(&mut self, part: Self) {
        self.reading = self.reading.saturating_sub(part.reading);
        self.memory = self.memory.saturating_sub(part.memory);
        self.running = self.running.saturating_sub(part.running);
    }
}

/// A server and what this gateway knows of it.
#[derive(Debug)]
pub struct Server {
    /// The platform's entry.
    pub entry: ServerEntry,
    /// Short name.
    pub short_id: ShortId,
    /// What this gateway's requests take.
    pub own: Load,
    /// What this gateway's requests experienced.
    pub health: Health,
    /// How much slower it is than its pool.
    pub slowness: Slowness,
    /// When anything was last read from it.
    pub heard: Option<Mono>,
    /// Whether the platform's list lacks it.
    missing: bool,
}

impl Server {
    fn new(entry: ServerEntry) -> Self {
        Self {
            short_id: short_start_id(&entry),
            entry,
            own: Load::default(),
            health: Health::default(),
            slowness: Slowness::default(),
            heard: None,
            missing: false,
        }
    }

    /// Whether new requests may be sent to it.
    pub fn takes_new(&self) -> bool {
        !self.entry.leaving
    }
}

/// A change of a gateway's belief, for its log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// A server or a new start of one is usable.
    Joined(ServerId),
    /// A server takes no new requests.
    Leaving(ServerId),
    /// An entry disappeared, perhaps only for a while.
    Missing(ServerId),
    /// A server is not used any more.
    Removed(ServerId),
}

/// All servers.
#[derive(Debug, Default)]
pub struct Servers {
    /// In order, so that equal choices fall alike on all gateways and in each play of a test.
    by_id: BTreeMap<ServerId, Server>,
    /// Starts of servers that were seen leaving; such a mark holds for good.
    marks: HashMap<ShortId, Mono>,
    /// Starts of servers that left the list; one that is listed again is used again.
    gone: HashMap<ShortId, Mono>,
    outage_end: Option<Mono>,
}

impl Servers {
    /// Takes in an entry of the list.
    pub fn seen(&mut self, mut entry: ServerEntry, now: Mono) -> Vec<ServerChange> {
        let mark = short_start_id(&entry);
        entry.leaving |= self.marks.contains_key(&mark);
        let mut changes = self.drop_reused(&entry);
        if entry.leaving {
            self.marks.entry(mark).or_insert(now);
        }
        let known = self.by_id.get_mut(&entry.id);
        let change = match known {
            Some(server) if server.entry.born_ms == entry.born_ms => {
                let began = entry.leaving && !server.entry.leaving;
                server.missing = false;
                server.entry = entry;
                began.then(|| ServerChange::Leaving(server.entry.id.clone()))
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

    /// Takes in that an entry was removed from the list.
    pub fn removed(&mut self, id: &str, now: Mono) -> Vec<ServerChange> {
        let may_return = self.may_return(now);
        let Some(server) = self.by_id.get_mut(id) else {
            return Vec::new();
        };
        if may_return && server.takes_new() {
            let began = !std::mem::replace(&mut server.missing, true);
            let change = began.then(|| ServerChange::Missing(id.to_owned()));
            return change.into_iter().collect();
        }
        // The other gateways may read the list less often.
        self.gone.insert(server.short_id, now);
        self.by_id.remove(id);
        vec![ServerChange::Removed(id.to_owned())]
    }

    /// Takes in the whole list.
    pub fn replace(&mut self, entries: Vec<ServerEntry>, now: Mono) -> Vec<ServerChange> {
        let gone: Vec<ServerId> = self
            .by_id
            .keys()
            .filter(|id| !entries.iter().any(|entry| entry.id == **id))
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for id in gone {
            changes.extend(self.removed(&id, now));
        }
        for entry in entries {
            changes.extend(self.seen(entry, now));
        }
        changes
    }

    /// Takes in that the platform answers again after an outage.
    pub fn record_outage_end(&mut self, now: Mono) {
        self.outage_end = Some(now);
    }

    /// Takes in leaving marks of another gateway.
    pub fn merge_marks(&mut self, marks: &[ShortId], now: Mono) -> Vec<ServerChange> {
        let mut changes = Vec::new();
        for mark in marks {
            if self.marks.contains_key(mark) {
                continue;
            }
            self.marks.insert(*mark, now);
            let mut servers = self.by_id.values_mut();
            let marked = servers.find(|server| server.short_id == *mark && server.takes_new());
            if let Some(server) = marked {
                server.entry.leaving = true;
                changes.push(ServerChange::Leaving(server.entry.id.clone()));
            }
        }
        changes
    }

    /// Takes in which servers another gateway saw leave the list.
    pub fn merge_gone(&mut self, gone: &[ShortId], now: Mono) -> Vec<ServerChange> {
        let mut changes = Vec::new();
        for short_id in gone {
            if self.gone.insert(*short_id, now).is_some() || self.may_return(now) {
                continue;
            }
            let mut servers = self.by_id.values();
            let id = servers.find(|server| server.short_id == *short_id);
            if let Some(id) = id.map(|server| server.entry.id.clone()) {
                self.by_id.remove(&id);
                changes.push(ServerChange::Removed(id));
            }
        }
        changes
    }

    /// Leaving marks to tell.
    pub fn marks(&self, now: Mono) -> Vec<ShortId> {
        fresh(&self.marks, now)
    }

    /// Servers to tell that left the list.
    pub fn gone(&self, now: Mono) -> Vec<ShortId> {
        fresh(&self.gone, now)
    }

    /// Drops servers that stayed missing.
    pub fn expire(&mut self, now: Mono) -> Vec<ServerChange> {
        self.gone
            .retain(|_, since| now.saturating_sub(*since) < GONE_KEPT);
        if self.may_return(now) {
            return Vec::new();
        }
        let gone = self.by_id.values().filter(|server| server.missing);
        let gone: Vec<ServerId> = gone.map(|server| server.entry.id.clone()).collect();
        for id in &gone {
            self.by_id.remove(id);
        }
        gone.into_iter().map(ServerChange::Removed).collect()
    }

    /// A server by its name.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Server> {
        self.by_id.get_mut(id)
    }

    /// A server by its short name.
    pub fn by_short_id_mut(&mut self, short_id: ShortId) -> Option<&mut Server> {
        self.by_id
            .values_mut()
            .find(|server| server.short_id == short_id)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.by_id.values()
    }

    /// All servers.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.by_id.values_mut()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Whether an entry that is missing now may have lapsed during an outage.
    fn may_return(&self, now: Mono) -> bool {
        let end = self.outage_end;
        end.is_some_and(|end| now.saturating_sub(end) < RETURN_TIME)
    }

    /// Drops a server whose address another one has taken over.
    fn drop_reused(&mut self, entry: &ServerEntry) -> Vec<ServerChange> {
        let same = |addr: SocketAddr| addr == entry.addr;
        let old = self
            .by_id
            .values()
            .find(|server| same(server.entry.addr) && server.entry.id != entry.id)
            // Between two living entries the later start holds the address.
            .filter(|server| server.entry.born_ms < entry.born_ms)
            .map(|server| server.entry.id.clone());
        let Some(id) = old else {
            return Vec::new();
        };
        self.by_id.remove(&id);
        vec![ServerChange::Removed(id)]
    }
}

/// What was noted lately.
fn fresh(noted: &HashMap<ShortId, Mono>, now: Mono) -> Vec<ShortId> {
    let lately = noted.iter();
    let lately = lately.filter(|(_, since)| now.saturating_sub(**since) < MARK_TOLD);
    lately
        .map(|(short_id, _)| *short_id)
        .take(MARKS_TOLD)
        .collect()
}
