//! Which build began each stream, so that a caller may take it up at any gateway.
//!
//! A caller whose stream broke off names the attempt that brought its first event. Any gateway may
//! get the request, and the one that began the stream may be gone. So each gateway records the
//! build of every stream that it begins, and publishes the record at once, whether or not the build
//! is the only one: by the time a second one joins, the gateway may be gone. Where a relay receives
//! the records of many gateways, it passes them on only while routes have several builds that may
//! have begun a stream; see [`StreamOrigins::is_ambiguous`].
//!
//! If nobody knows a stream, but all servers that can have begun it are of one build, it goes on at
//! that build. That one build is known does not mean that there is no other: one may have joined of
//! which this gateway has not heard. See [`StreamOrigin::OnlyKnown`].
//!
//! A gateway that starts does not know what there was before. The others publish their records anew
//! when they hear of it, and it reads the platform's store; see [`StreamOrigins::history`].

mod outbox;
mod targets;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::PoolId;
use xxhash_rust::xxh3::xxh3_64;

use self::outbox::Outbox;
use self::outbox::Record;
use self::targets::Targets;
use crate::catalog::Route;
use crate::entry::BuildId;

/// Hash of the id of the caller's attempt that brought a stream's first event.
pub type StreamId = u64;

/// Shortest and longest time after its beginning within which a caller may take a stream up.
const LIFETIME_RANGE: (Duration, Duration) = (Duration::from_secs(30), Duration::from_secs(600));
/// That time as a multiple of the longest time limit of a route.
const LIFETIME_LIMITS: u32 = 2;
/// Time for which a gateway also stores the records of others: one of many is about to write at any
/// time, so that the records reach the store sooner.
const FOREIGN_STORE_TIME: Duration = Duration::from_secs(2);
/// Interval at which old records are dropped.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of streams that are remembered.
const MAX_STREAMS: usize = 200_000;

/// Returns the id of the stream that a caller's attempt began.
pub fn stream_id(attempt: &str) -> StreamId {
    xxh3_64(attempt.as_bytes())
}

/// Streams by the build that began them.
pub type OriginReport = BTreeMap<BuildId, Vec<StreamId>>;

/// Where a stream goes on that a caller takes up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamOrigin {
    /// At the build that is recorded to have begun it.
    Recorded(PoolId, BuildId),
    /// At the only build that this gateway knows, unless servers of another build have joined. Whatever
    /// was heard before the caller came does not rule that out; the platform's list, read after that, does.
    OnlyKnown(PoolId, BuildId),
    /// Nowhere: several builds may have begun it.
    Unknown,
}

/// What a gateway must know after a restart.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginHistory {
    /// Builds that may have begun streams lately, with their pools.
    pub builds: BTreeMap<BuildId, PoolId>,
    /// Recent streams; empty if no route has several builds.
    pub streams: OriginReport,
}

/// Who publishes the record of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Publisher {
    /// This gateway, which began the stream.
    Own,
    /// This gateway, for a gateway of its zone.
    Relay,
    /// Another gateway.
    Other,
}

#[derive(Debug, Clone, Copy)]
struct Origin {
    build: BuildId,
    began: Mono,
    publisher: Publisher,
}

#[derive(Debug)]
struct Build {
    pool: PoolId,
    last_listed: Mono,
}

/// Builds that began streams.
#[derive(Debug)]
pub struct StreamOrigins {
    /// Time after its beginning within which a caller may take a stream up.
    lifetime: Duration,
    last_expired: Mono,
    streams: HashMap<StreamId, Origin>,
    /// Records of streams that this gateway began.
    own: Outbox,
    /// Records that a relay passes on to the gateways of its zone, its own included.
    passed_on: Outbox,
    targets: Targets,
    is_ambiguous: bool,
    builds: BTreeMap<BuildId, Build>,
    /// Time of the first list of servers.
    first_listed: Option<Mono>,
    /// Whether the builds of the time before are known.
    knows_past: bool,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self {
            lifetime: LIFETIME_RANGE.0,
            last_expired: Mono::ZERO,
            streams: HashMap::new(),
            own: Outbox::default(),
            passed_on: Outbox::default(),
            targets: Targets::default(),
            is_ambiguous: false,
            builds: BTreeMap::new(),
            first_listed: None,
            knows_past: false,
        }
    }
}

impl StreamOrigins {
    /// Replaces the routes in force. Streams are remembered by the longest time limit of a route.
    pub fn replace_routes(&mut self, routes: &[Route]) {
        let limits = routes.iter().map(|route| route.time_limit);
        let longest = limits.max().unwrap_or_default();
        let lifetime = longest.saturating_mul(LIFETIME_LIMITS);
        self.lifetime = lifetime.clamp(LIFETIME_RANGE.0, LIFETIME_RANGE.1);
        self.targets.replace(routes);
        self.update_ambiguity();
    }

    /// Records a stream that this gateway began or continued.
    pub fn record(&mut self, stream: StreamId, build: BuildId, now: Mono) {
        self.add(stream, build, Publisher::Own, now);
    }

    /// Records the builds of the listed servers.
    pub fn record_builds<'a>(
        &mut self,
        listed: impl Iterator<Item = (BuildId, &'a PoolId)>,
        now: Mono,
    ) {
        let count = self.builds.len();
        for (build, pool) in listed {
            self.first_listed.get_or_insert(now);
            let known = self.builds.entry(build).or_insert_with(|| Build {
                pool: pool.clone(),
                last_listed: now,
            });
            known.last_listed = now;
        }
        if self.builds.len() != count {
            self.update_ambiguity();
        }
    }

    /// Adds records that another gateway published; with `pass_on`, those that are new are published
    /// and stored as if they were this gateway's own.
    pub fn merge(&mut self, report: &OriginReport, pass_on: bool, now: Mono) {
        let publisher = if pass_on {
            Publisher::Relay
        } else {
            Publisher::Other
        };
        for (build, streams) in report {
            for stream in streams {
                self.add(*stream, *build, publisher, now);
            }
        }
    }

    /// Adds what was stored before this gateway started.
    pub fn restore(&mut self, history: &OriginHistory, now: Mono) {
        for (build, pool) in &history.builds {
            self.builds.entry(*build).or_insert_with(|| Build {
                pool: pool.clone(),
                last_listed: now,
            });
        }
        self.update_ambiguity();
        self.merge(&history.streams, false, now);
    }

    /// Records that all that was stored before this gateway started is known.
    pub fn complete_past(&mut self) {
        self.knows_past = true;
    }

    /// Returns the number of streams that are remembered.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Returns where a stream of a route goes on; `stream` is none if the caller does not name it.
    pub fn find(&self, stream: Option<StreamId>, route: &Route, now: Mono) -> StreamOrigin {
        let known = stream.and_then(|stream| self.streams.get(&stream));
        if let Some(origin) = known.filter(|origin| self.is_recent(origin.began, now)) {
            let build = self.builds.get(&origin.build);
            return build.map_or(StreamOrigin::Unknown, |build| {
                StreamOrigin::Recorded(build.pool.clone(), origin.build)
            });
        }
        let began_before_start = self.first_listed.is_none_or(|at| self.is_recent(at, now));
        if began_before_start && !self.knows_past {
            return StreamOrigin::Unknown;
        }
        let mut pools = self.targets.pools(route);
        pools.extend(route.targets.iter().map(|target| &target.pool));
        let builds = self.recent_builds(now);
        let mut possible = builds.filter(|(_, pool)| pools.contains(pool));
        match (possible.next(), possible.next()) {
            (Some((build, pool)), None) => StreamOrigin::OnlyKnown(pool.clone(), build),
            _ => StreamOrigin::Unknown,
        }
    }

    /// Whether several builds may have begun the streams of some route, so that a stream without a
    /// record cannot go on.
    pub fn is_ambiguous(&self) -> bool {
        self.is_ambiguous
    }

    /// Returns the records of this gateway's own streams to publish in the next digest, `limit` at
    /// most.
    pub fn report(&mut self, limit: usize) -> OriginReport {
        self.own.take(limit)
    }

    /// Returns the records that a relay passes on to the gateways of its zone, `limit` at most.
    pub fn report_as_relay(&mut self, limit: usize) -> OriginReport {
        if !self.is_ambiguous {
            return OriginReport::new();
        }
        self.passed_on.take(limit)
    }

    /// Publishes anew the records of streams that may still run, for a gateway that has started. One
    /// that was a relay also publishes those that it passed on.
    pub fn publish_anew(&mut self, now: Mono) {
        let longest = self.lifetime / LIFETIME_LIMITS;
        let streams = self.streams.iter();
        let running = streams.filter(|(_, origin)| {
            origin.publisher != Publisher::Other && now.saturating_sub(origin.began) < longest
        });
        let mut records: Vec<Record> = running
            .map(|(stream, origin)| Record {
                stream: *stream,
                build: origin.build,
                began: origin.began,
            })
            .collect();
        records.sort_unstable_by_key(|record| record.began);
        self.own.refill(records);
    }

    /// Returns what this gateway has to store for the time after a restart of all gateways.
    pub fn history(&self, now: Mono) -> OriginHistory {
        let builds = self.recent_builds(now);
        let builds = builds.map(|(build, pool)| (build, pool.clone())).collect();
        let mut streams = OriginReport::new();
        if self.is_ambiguous {
            let is_stored = |origin: &Origin| {
                let is_other = origin.publisher == Publisher::Other;
                !is_other || now.saturating_sub(origin.began) < FOREIGN_STORE_TIME
            };
            for (stream, origin) in self.streams.iter().filter(|(_, origin)| is_stored(origin)) {
                streams.entry(origin.build).or_default().push(*stream);
            }
        }
        OriginHistory { builds, streams }
    }

    /// Drops streams that callers no longer take up, and builds that cannot have begun others.
    pub fn expire(&mut self, now: Mono) {
        let oldest = now.saturating_sub(self.lifetime);
        self.targets.expire(oldest, now);
        if now.saturating_sub(self.last_expired) < EXPIRE_INTERVAL {
            return;
        }
        self.last_expired = now;
        let is_recent = |at: Mono| now.saturating_sub(at) < self.lifetime;
        self.streams.retain(|_, origin| is_recent(origin.began));
        self.builds.retain(|_, build| is_recent(build.last_listed));
        self.own.expire(oldest);
        self.passed_on.expire(oldest);
        self.update_ambiguity();
    }

    fn update_ambiguity(&mut self) {
        let mut builds: BTreeMap<&PoolId, usize> = BTreeMap::new();
        for build in self.builds.values() {
            *builds.entry(&build.pool).or_default() += 1;
        }
        let count = |pool: &PoolId| builds.get(pool).copied().unwrap_or_default();
        let mut sets = self.targets.pool_sets();
        self.is_ambiguous = sets.any(|pools| pools.into_iter().map(count).sum::<usize>() > 1);
    }

    fn recent_builds(&self, now: Mono) -> impl Iterator<Item = (BuildId, &PoolId)> {
        let recent = self.builds.iter();
        let recent = recent.filter(move |(_, build)| self.is_recent(build.last_listed, now));
        recent.map(|(id, build)| (*id, &build.pool))
    }

    fn is_recent(&self, at: Mono, now: Mono) -> bool {
        now.saturating_sub(at) < self.lifetime
    }

    /// Adds a record unless it is known.
    fn add(&mut self, stream: StreamId, build: BuildId, publisher: Publisher, now: Mono) {
        let is_full = self.streams.len() >= MAX_STREAMS;
        if is_full || self.streams.contains_key(&stream) {
            return;
        }
        let origin = Origin {
            build,
            began: now,
            publisher,
        };
        self.streams.insert(stream, origin);
        let record = Record {
            stream,
            build,
            began: now,
        };
        if publisher == Publisher::Own {
            self.own.push(record);
        }
        if publisher != Publisher::Other {
            self.passed_on.push(record);
        }
    }
}
