//! Cold servers: what a gateway learns of them, and the rates that it may use.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::ServerId;

use super::Fleet;
use super::Placement;
use crate::cold::ColdSource;
use crate::cold::MAX_COLD_TIME;
use crate::digest::ColdDigest;
use crate::entry::short_id;
use crate::entry::short_start_id;
use crate::entry::ServerEntry;
use crate::entry::ShortId;
use crate::limit::lower;
use crate::limit::MIN_RATE;
use crate::poison::Probe;

/// A server that became cold, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdServer {
    /// Name of the server.
    pub server: ServerId,
    /// Expected time until it is warm.
    pub left: Duration,
    /// How this gateway learned of it.
    pub source: ColdSource,
}

/// What an entry of the platform's list says of a cold server.
pub(super) struct ListedCold {
    server: ShortId,
    left: Duration,
    /// Earlier incarnation under the same name.
    earlier: Option<ShortId>,
}

impl Fleet {
    /// Records that a server answered, and what its answer says: for how much longer it is cold.
    pub fn record_cold(&mut self, placement: &Placement, left: Option<Duration>, now: Mono) {
        let Some(server) = self.server_of(placement).map(|server| server.short_id) else {
            return;
        };
        if self.limits.cold.is_down(server) {
            let start_time = self.start_time(&placement.pool);
            self.limits.cold.record_answer(server, start_time, now);
        }
        if let Some(left) = left {
            self.record_cold_time(server, left, ColdSource::Answer, now);
        }
    }

    /// Returns the servers that became cold since the last call.
    pub fn take_cold_changes(&mut self) -> Vec<ColdServer> {
        let changes = self.limits.cold.take_changes().into_iter();
        let named = changes.filter_map(|change| {
            let server = self.servers.by_short_id_mut(change.server)?;
            Some(ColdServer {
                server: server.entry.id.clone(),
                left: change.left,
                source: change.source,
            })
        });
        named.collect()
    }

    /// Returns the number of cold servers.
    pub fn cold_count(&self, now: Mono) -> usize {
        let left = |id: ShortId| self.limits.cold.left(id, now);
        let servers = self.servers.iter();
        servers
            .filter(|server| !left(server.short_id).is_zero())
            .count()
    }

    /// Records that a server crashed. One that needs no time after a start never counts as crashed.
    pub(super) fn record_crashed(&mut self, server: ShortId, now: Mono) {
        if self.is_ever_cold(server)
            && !self.needs_no_start_time(server)
            && self
                .limits
                .cold
                .record_crash(server, MAX_COLD_TIME, ColdSource::Crash, now)
        {
            self.divide_cold_rates(now);
        }
    }

    /// Records that a connection to a server broke: it may have crashed.
    pub(super) fn record_cold_break(&mut self, placement: &Placement, now: Mono) {
        let server = placement.short_id;
        if self.is_ever_cold(server) && self.limits.cold.needs_probe(server, now) {
            self.cold_probes.push(Probe {
                server,
                addr: placement.addr,
            });
        }
    }

    /// Reads what an entry says of a cold server, before the entry is applied.
    pub(super) fn listed_cold(&self, entry: &ServerEntry) -> Option<ListedCold> {
        self.config.cold_bound?;
        let known = self.servers.get(&entry.id);
        let same = known.filter(|known| known.entry.born_ms == entry.born_ms);
        // A list that is read again may hold the known entry, whose time has gone on, or an older one.
        if same.is_some_and(|known| entry.seq != 0 && entry.seq <= known.entry.seq) {
            return None;
        }
        let earlier = known.filter(|known| known.entry.born_ms != entry.born_ms);
        Some(ListedCold {
            server: short_start_id(entry),
            left: Duration::from_millis(entry.cold_ms.into()),
            earlier: earlier.map(|server| server.short_id),
        })
    }

    /// Records what an entry said of a cold server.
    pub(super) fn record_listed_cold(&mut self, listed: Option<ListedCold>, now: Mono) {
        let Some(mut listed) = listed else {
            return;
        };
        let mut source = ColdSource::Entry;
        if let Some(earlier) = listed.earlier {
            let is_back = self.limits.cold.is_down(earlier);
            self.limits.cold.remove(earlier);
            if is_back && listed.left.is_zero() {
                source = ColdSource::Crash;
                let server = self.servers.by_short_id_mut(listed.server);
                let pool = server.map(|server| server.entry.pool.clone());
                listed.left = pool.map_or(Duration::ZERO, |pool| self.start_time(&pool));
            }
        }
        self.record_cold_time(listed.server, listed.left, source, now);
    }

    /// Merges what another gateway published of cold servers.
    pub(super) fn merge_cold(&mut self, cold: &ColdDigest, now: Mono) {
        if self.config.cold_bound.is_none() || cold.servers.is_empty() {
            return;
        }
        let before = self.limits.cold.len(now);
        self.limits.cold.merge(&cold.servers, now);
        if self.limits.cold.len(now) != before {
            self.divide_cold_rates(now);
        }
    }

    /// Returns what to publish of cold servers.
    pub(super) fn cold_digest(&self, most: usize, now: Mono) -> ColdDigest {
        if self.config.cold_bound.is_none() {
            return ColdDigest::default();
        }
        ColdDigest {
            quorum: self.quorum.state(now),
            servers: self.limits.cold.report(most, self.seq, now),
        }
    }

    /// Determines whether this gateway may send to cold servers, and at which rates.
    pub(super) fn divide_cold(&mut self, now: Mono) {
        if self.config.cold_bound.is_none() {
            return;
        }
        self.update_quorum(now);
        self.divide_cold_rates(now);
        // A snapshot for another gateway says for how long servers are still cold. It cannot say that
        // one is down, whose time is that until the crash is forgotten.
        let cold = &self.limits.cold;
        for server in self.servers.iter_mut() {
            if server.entry.cold_ms != 0 || !cold.is_empty() {
                let left = match cold.is_down(server.short_id) {
                    true => 0,
                    false => cold.left(server.short_id, now).as_millis(),
                };
                server.entry.cold_ms = u32::try_from(left).unwrap_or(u32::MAX);
            }
        }
    }

    fn record_cold_time(&mut self, server: ShortId, left: Duration, source: ColdSource, now: Mono) {
        if left.is_zero() || !self.is_ever_cold(server) {
            return;
        }
        if self.limits.cold.record(server, left, source, now) {
            self.divide_cold_rates(now);
        }
    }

    /// Sets the rates of all cold servers and this gateway's shares.
    fn divide_cold_rates(&mut self, now: Mono) {
        if self.limits.cold.is_empty() {
            return;
        }
        let sharers = self.sharers_by_key(now);
        let cold = |id: ShortId| !self.limits.cold.limit_left(id, now).is_zero();
        let servers = self.servers.iter();
        let cold: Vec<_> = servers
            .filter(|server| cold(server.short_id))
            .map(|server| {
                let rate = self.cold_rate(&server.entry.pool);
                let is_near = short_id(&server.entry.zone) == self.own_zone();
                (server.short_id, short_id(&server.entry.id), rate, is_near)
            })
            .collect();
        // Of other servers, the entry may still arrive.
        for (server, name, rate, is_near) in cold {
            if self.limits.cold.is_down(server) && self.needs_no_start_time(server) {
                self.limits.cold.remove(server);
                continue;
            }
            let Some((rate, most)) = rate else {
                // Without tables, the server gets nothing until its rate is known.
                if self.catalog.is_some() {
                    self.limits.cold.remove(server);
                }
                continue;
            };
            let named = self.limits.rate(server).map(|rate| rate.max(MIN_RATE));
            let rate = lower(Some(rate), named).unwrap_or(rate);
            let share = match &sharers {
                Some(sharers) if is_near => sharers.share(name, most),
                _ => 0.0,
            };
            self.limits.cold.set_rate(server, rate, rate * share, now);
        }
    }

    /// Forgets the cold times of servers that are never cold by the tables in force. Times are kept
    /// while there are no tables, which may arrive after entries and digests.
    pub(super) fn drop_never_cold(&mut self) {
        if self.config.cold_bound.is_none() || self.limits.cold.is_empty() {
            return;
        }
        let servers = self.servers.iter();
        let never: Vec<ShortId> = servers
            .filter(|server| self.cold_rate(&server.entry.pool).is_none())
            .map(|server| server.short_id)
            .collect();
        for server in never {
            self.limits.cold.remove(server);
        }
    }

    /// Returns the rate of the cold servers of a pool, and the number of gateways that share it; none
    /// if they are never cold, or there are no tables.
    fn cold_rate(&self, pool: &str) -> Option<(f64, usize)> {
        let bound = self.config.cold_bound?;
        let pool = self.catalog.as_ref()?.tables().pools.get(pool)?;
        let rate = pool.slow_start?.rate_milli;
        (rate > 0).then(|| bound.divide(rate as f64 / 1e3))
    }

    /// Whether a server may be cold, which is assumed while there are no tables.
    fn is_ever_cold(&mut self, server: ShortId) -> bool {
        if self.config.cold_bound.is_none() {
            return false;
        }
        let server = self.servers.by_short_id_mut(server);
        let pool = server.map(|server| server.entry.pool.clone());
        pool.is_some_and(|pool| self.catalog.is_none() || self.cold_rate(&pool).is_some())
    }

    /// Whether the tables in force say that a server is not cold after a start.
    fn needs_no_start_time(&mut self, server: ShortId) -> bool {
        let server = self.servers.by_short_id_mut(server);
        let pool = server.map(|server| server.entry.pool.clone());
        self.catalog.is_some() && pool.is_some_and(|pool| self.start_time(&pool).is_zero())
    }

    fn start_time(&self, pool: &str) -> Duration {
        let catalog = self.catalog.as_ref();
        let pool = catalog.and_then(|catalog| catalog.tables().pools.get(pool));
        let slow_start = pool.and_then(|pool| pool.slow_start);
        slow_start.map_or(Duration::ZERO, |slow_start| slow_start.time)
    }
}
