//! Digests of a gateway's state, sent to the other gateways several times a second as single
//! datagrams.
//!
//! A digest holds absolute sums instead of increments, so that loss, duplication and reordering are
//! harmless; a receiver drops digests with an old sequence number. Names are sent as short ids, so
//! that a digest fits into one datagram. Digests are neither acknowledged nor sent again.
//!
//! In large fleets, relays combine the digests of many gateways; see
//! [`DigestScope`]. Such a digest may need several packets.

mod cold;
mod cost;

use std::collections::HashMap;
use std::net::IpAddr;

use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::Generation;
use primrose_core::id::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

pub use self::cold::ColdDigest;
pub use self::cold::QuorumState;
use self::cold::WireCold;
use self::cost::WireCost;
pub(crate) use self::cost::STEPS_UNIT;
use crate::cost::WorkReport;
use crate::demand::FlowRates;
use crate::demand::TokenSums;
use crate::demand::RATE_UNIT;
use crate::entry::ShortId;
use crate::evacuation::EvacuationReport;
use crate::evacuation::Version;
use crate::health::AnswerCounts;
use crate::limit::DemandLevel;
use crate::limit::LimitReport;
use crate::origin::OriginReport;
use crate::place::PartId;
use crate::poison::DeathReport;
use crate::poison::PoisonReport;
use crate::poison::QuarantineReport;
use crate::server::Load;
use crate::speed::SpeedSums;

/// Maximum size of a digest, in bytes; common links carry such datagrams without fragmentation.
pub const MAX_BYTES: usize = 1_400;
/// Maximum size of a combined digest, in bytes: the largest datagram.
pub const MAX_COMBINED_BYTES: usize = 65_000;
/// Maximum number of servers in a digest; the most loaded are preferred.
const MAX_SERVERS: usize = 40;
/// Evacuated zones that take as many bytes as a server.
const ZONES_PER_SERVER: usize = 4;
/// Maximum number of accounts in a digest; those with the most demand are preferred.
const MAX_ACCOUNTS: usize = 30;
/// Accounts whose rates take as many bytes as a server.
const ACCOUNTS_PER_SERVER: usize = 2;
/// Maximum number of servers in a combined digest: with the other rows, it stays well below the
/// largest datagram.
const MAX_COMBINED_SERVERS: usize = 800;
/// Maximum number of accounts in a combined digest.
const MAX_COMBINED_ACCOUNTS: usize = 500;
/// Maximum number of gateway addresses in a digest.
const MAX_PEERS: usize = 20;

/// Load and answers of one server, counted by one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerRow {
    /// Short id of the server's incarnation.
    pub server: ShortId,
    /// Load of the writer's requests there.
    pub load: Load,
    /// Answers to the writer's requests over the last seconds.
    pub counts: AnswerCounts,
    /// Times to first events of the writer's requests over the last seconds. Older builds neither
    /// send nor read it.
    pub speed: SpeedSums,
    /// The latest report of the server on how long work takes there. Older builds neither send nor
    /// read it.
    pub report: Option<WorkReport>,
}

/// Whose sums a digest holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DigestScope {
    /// Those of the gateway that wrote it.
    #[default]
    Gateway,
    /// Those of all gateways of the writer's availability zone.
    Zone,
    /// Those of the whole fleet, without the receiver's own.
    Fleet,
}

/// A gateway of the fleet, as relays announce it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Contact {
    /// Address of the gateway.
    pub ip: IpAddr,
    /// Short id of its availability zone.
    pub zone: ShortId,
    /// Processor time that its host has, in thousandths of a core.
    pub capacity: u32,
    /// Its demand. Older builds neither send nor read it.
    pub demand: DemandLevel,
    /// Time since it was last heard of, in milliseconds. With it, gateways that name a dead one to
    /// each other do not keep it alive.
    pub age_ms: u32,
}

/// What a digest says beyond the sums of its writer. Older builds neither send nor read it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RelayInfo {
    /// Whose sums the digest holds.
    pub scope: DigestScope,
    /// Processor time of the writer's host, in thousandths of a core.
    pub capacity: u32,
    /// Whether the receiver shall send its view of the fleet.
    pub wants_view: bool,
    /// Whether the writer refuses requests because it does not keep up.
    pub overloaded: bool,
    /// Demand at the writer. Older builds neither send nor read it.
    pub demand: DemandLevel,
    /// Number of gateways whose sums the digest holds.
    pub gateways: u32,
    /// Number of gateways in the writer's zone, and of those that do not keep up; in digests of
    /// relays.
    pub zone_load: (u32, u32),
    /// Gateways of the writer's zone in digests of relays, and relays of all zones.
    pub contacts: Vec<Contact>,
    /// Broken runs of requests at other gateways than the writer.
    pub broken_runs: Vec<(Incarnation, Fingerprint, u32)>,
    /// Gateways that have what the digest announces, besides the writer.
    pub sources: Vec<IpAddr>,
}

impl RelayInfo {
    /// Returns the demands of the writer and of the contacts.
    fn demands(&self) -> Vec<DemandLevel> {
        let contacts = self.contacts.iter().map(|contact| contact.demand);
        std::iter::once(self.demand).chain(contacts).collect()
    }

    fn with_demands(mut self, demands: Vec<DemandLevel>) -> Self {
        let mut demands = demands.into_iter();
        self.demand = demands.next().unwrap_or_default();
        for (contact, demand) in self.contacts.iter_mut().zip(demands) {
            contact.demand = demand;
        }
        self
    }
}

/// State that one gateway publishes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest {
    /// Incarnation of the gateway that wrote the digest.
    pub writer: Incarnation,
    /// Sequence number; increases with each digest of the writer.
    pub seq: u64,
    /// Generation of the writer's tables; zero for none.
    pub generation: Generation,
    /// Version of the writer's list of servers, as numbered by the platform.
    pub list_version: u64,
    /// List version of the last join or removal of a server that the writer knows of.
    pub members_version: u64,
    /// Short id of the writer's zone.
    pub zone: ShortId,
    /// Whether the writer cannot read the list of servers.
    pub list_unreadable: bool,
    /// Servers with load or recent answers.
    pub servers: Vec<ServerRow>,
    /// Accounts with recent requests.
    pub accounts: Vec<(ShortId, TokenSums)>,
    /// Broken runs of requests, by fingerprint; zero if the request has succeeded since.
    pub broken_runs: Vec<(Fingerprint, u32)>,
    /// Deaths of servers and the prompt parts that caused them, as far as the writer knows. Older
    /// builds neither send nor read it.
    pub poison: PoisonReport,
    /// Limits that servers named. Older builds neither send nor read it.
    pub limits: Vec<LimitReport>,
    /// Builds that began streams. Older builds of the gateway neither send nor read it.
    pub origins: OriginReport,
    /// Tokens of recent requests that servers began to answer. Older builds neither send nor read it.
    pub begun: u64,
    /// Tokens a second that servers begin to answer, and that are missed. Older builds neither send nor
    /// read them.
    pub flow: FlowRates,
    /// Whether rates and usages are known; older builds send sums over a window only.
    pub has_rates: bool,
    /// Short ids of pools whose servers report how long work takes. Older builds neither send nor
    /// read it.
    pub cost_pools: Vec<ShortId>,
    /// Incarnations of servers that were recently marked as leaving.
    pub leaving: Vec<ShortId>,
    /// Incarnations of servers that were recently removed from the list.
    pub removed: Vec<ShortId>,
    /// Addresses of other gateways.
    pub peers: Vec<IpAddr>,
    /// Role of the writer, and what relays add.
    pub relay: RelayInfo,
    /// Evacuated zones. Older builds neither send nor read them.
    pub evacuations: EvacuationReport,
    /// Cold servers. Older builds neither send nor read it.
    pub cold: ColdDigest,
}

/// Encoded form of a digest: tuples instead of maps, so that no field names are sent.
#[derive(Serialize, Deserialize)]
struct Wire(
    (Incarnation, u64, Generation),
    (u64, u64, ShortId, bool),
    Vec<(ShortId, u64, u64, u32, u64, u64)>,
    Vec<(ShortId, u64, u64)>,
    Vec<(Fingerprint, u32)>,
    (Vec<ShortId>, Vec<ShortId>),
    Vec<IpAddr>,
    #[serde(default)] WireRelay,
    #[serde(default)] WirePoison,
    #[serde(default)] Vec<(ShortId, Option<u64>, u32, u32)>,
    #[serde(default)] OriginReport,
    #[serde(default)] u64,
    // Tokens of resumed streams, by account.
    #[serde(default)] Vec<(ShortId, u64)>,
    #[serde(default)] (Version, Vec<ShortId>, Vec<ShortId>),
    #[serde(default)] WireCold,
    #[serde(default)] WireCost,
    // Demands of the writer and of the gateways that `WireRelay` names, in the same order.
    #[serde(default)] Vec<DemandLevel>,
    #[serde(default)] Option<WireRates>,
);

/// Tokens a second; and the requested and granted tokens a second and the usage of each account, in the
/// order of the accounts.
#[derive(Default, Serialize, Deserialize)]
struct WireRates((u64, u64), Vec<u64>, Vec<u64>, Vec<u64>);

impl From<&Digest> for WireRates {
    fn from(digest: &Digest) -> Self {
        let FlowRates { begun, missed } = digest.flow;
        let accounts = digest.accounts.iter();
        let asked = accounts
            .clone()
            .map(|(_, sums)| sums.asked_rate / RATE_UNIT);
        let granted = accounts
            .clone()
            .map(|(_, sums)| sums.granted_rate / RATE_UNIT);
        let used = accounts.map(|(_, sums)| sums.used);
        Self(
            (begun, missed),
            asked.collect(),
            granted.collect(),
            used.collect(),
        )
    }
}

/// Encoded form of [`PoisonReport`].
#[derive(Default, Serialize, Deserialize)]
struct WirePoison(
    Vec<(ShortId, u32, Vec<PartId>)>,
    Vec<(PartId, u32)>,
    Vec<(PartId, u32, u32, u32)>,
);

impl From<&PoisonReport> for WirePoison {
    fn from(report: &PoisonReport) -> Self {
        let deaths = report.deaths.iter();
        let deaths = deaths.map(|death| (death.server, death.age_ms, death.suspects.clone()));
        let quarantined = report.quarantined.iter();
        let quarantined = quarantined.map(|q| (q.part, q.age_ms, q.left_ms, q.count));
        Self(
            deaths.collect(),
            report.survivals.clone(),
            quarantined.collect(),
        )
    }
}

impl From<WirePoison> for PoisonReport {
    fn from(wire: WirePoison) -> Self {
        let WirePoison(deaths, survivals, quarantined) = wire;
        let deaths = deaths.into_iter();
        let deaths = deaths.map(|(server, age_ms, suspects)| DeathReport {
            server,
            age_ms,
            suspects,
        });
        let quarantined = quarantined.into_iter();
        let quarantined = quarantined.map(|(part, age_ms, left_ms, count)| QuarantineReport {
            part,
            age_ms,
            left_ms,
            count,
        });
        Self {
            deaths: deaths.collect(),
            survivals,
            quarantined: quarantined.collect(),
        }
    }
}

/// Encoded form of [`RelayInfo`].
#[derive(Default, Serialize, Deserialize)]
struct WireRelay(
    (DigestScope, u32, bool, bool, u32, (u32, u32)),
    Vec<(IpAddr, ShortId, u32, u32)>,
    Vec<(Incarnation, Fingerprint, u32)>,
    Vec<IpAddr>,
);

impl From<&RelayInfo> for WireRelay {
    fn from(info: &RelayInfo) -> Self {
        let contacts = info.contacts.iter();
        let contacts = contacts.map(|c| (c.ip, c.zone, c.capacity, c.age_ms));
        Self(
            (
                info.scope,
                info.capacity,
                info.wants_view,
                info.overloaded,
                info.gateways,
                info.zone_load,
            ),
            contacts.collect(),
            info.broken_runs.clone(),
            info.sources.clone(),
        )
    }
}

impl From<WireRelay> for RelayInfo {
    fn from(wire: WireRelay) -> Self {
        let WireRelay(head, contacts, broken_runs, sources) = wire;
        let (scope, capacity, wants_view, overloaded, gateways, zone_load) = head;
        let contacts = contacts.into_iter();
        let contacts = contacts.map(|(ip, zone, capacity, age_ms)| Contact {
            ip,
            zone,
            capacity,
            demand: 0,
            age_ms,
        });
        Self {
            scope,
            capacity,
            wants_view,
            overloaded,
            demand: 0,
            gateways,
            zone_load,
            contacts: contacts.collect(),
            broken_runs,
            sources,
        }
    }
}

/// Error of encoding or decoding a digest.
#[derive(Debug, Snafu)]
pub enum DigestError {
    /// The digest could not be encoded.
    #[snafu(display("failed to encode a digest"))]
    Encode {
        /// The cause.
        source: ciborium::ser::Error<std::io::Error>,
    },
    /// The bytes are not a valid digest.
    #[snafu(display("failed to decode a digest"))]
    Decode {
        /// The cause.
        source: ciborium::de::Error<std::io::Error>,
    },
}

impl Digest {
    /// Drops the least important rows beyond what fits into one datagram.
    pub fn trim(&mut self) {
        self.servers.sort_by_key(|row| {
            std::cmp::Reverse((row.load.running, row.load.reading, row.speed.predicted))
        });
        let (servers, accounts) = match self.relay.scope {
            DigestScope::Gateway => (MAX_SERVERS, MAX_ACCOUNTS),
            _ => (MAX_COMBINED_SERVERS, MAX_COMBINED_ACCOUNTS),
        };
        let zones = self.evacuations.zones.len() + self.evacuations.kept.len();
        // A row of a loaded server takes the place of two or three of cold ones, which carry little
        // load.
        let cold = (self.cold.servers.len() / 2).min(servers / 2);
        let rates = self
            .accounts
            .len()
            .min(accounts)
            .div_ceil(ACCOUNTS_PER_SERVER);
        let displaced = cold + zones.div_ceil(ZONES_PER_SERVER) + rates;
        self.servers.truncate(servers.saturating_sub(displaced));
        self.accounts
            .sort_by_key(|(_, sums)| std::cmp::Reverse(sums.asked));
        self.accounts.truncate(accounts);
        self.peers.truncate(MAX_PEERS);
    }

    /// Encodes the digest as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>, DigestError> {
        let servers = self.servers.iter().map(|row| {
            let Load {
                reading,
                memory,
                running,
                ..
            } = row.load;
            let AnswerCounts { good, failed } = row.counts;
            (row.server, reading, memory, running, good, failed)
        });
        let accounts = self.accounts.iter();
        let limits = self.limits.iter();
        let limits = limits.map(|row| (row.server, row.limit, row.age_ms, row.sent));
        let wire = Wire(
            (self.writer, self.seq, self.generation),
            (
                self.list_version,
                self.members_version,
                self.zone,
                self.list_unreadable,
            ),
            servers.collect(),
            accounts
                .map(|(id, sums)| (*id, sums.asked, sums.granted))
                .collect(),
            self.broken_runs.clone(),
            (self.leaving.clone(), self.removed.clone()),
            self.peers.clone(),
            WireRelay::from(&self.relay),
            WirePoison::from(&self.poison),
            limits.collect(),
            self.origins.clone(),
            self.begun,
            self.resumed_tokens(),
            (
                self.evacuations.version,
                self.evacuations.zones.clone(),
                self.evacuations.kept.clone(),
            ),
            WireCold::from(&self.cold),
            WireCost::from(self),
            self.relay.demands(),
            self.has_rates.then(|| WireRates::from(self)),
        );
        let mut bytes = Vec::with_capacity(MAX_BYTES);
        ciborium::into_writer(&wire, &mut bytes).context(EncodeSnafu)?;
        Ok(bytes)
    }

    /// Returns the accounts with resumed streams, which are few.
    fn resumed_tokens(&self) -> Vec<(ShortId, u64)> {
        let accounts = self.accounts.iter();
        let resumed = accounts.filter(|(_, sums)| sums.resumed > 0);
        resumed.map(|(id, sums)| (*id, sums.resumed)).collect()
    }

    /// Decodes a digest.
    pub fn decode(bytes: &[u8]) -> Result<Self, DigestError> {
        let wire: Wire = ciborium::from_reader(bytes).context(DecodeSnafu)?;
        let Wire(
            head,
            list,
            servers,
            accounts,
            broken_runs,
            marks,
            peers,
            relay,
            poison,
            limits,
            origins,
            begun,
            resumed,
            (version, zones, kept),
            cold,
            cost,
            demands,
            rates,
        ) = wire;
        let (writer, seq, generation) = head;
        let (list_version, members_version, zone, list_unreadable) = list;
        let (leaving, removed) = marks;
        let limits = limits.into_iter();
        let limits = limits.map(|(server, limit, age_ms, sent)| LimitReport {
            server,
            limit,
            age_ms,
            sent,
        });
        let servers = servers.into_iter().map(
            |(server, reading, memory, running, good, failed)| ServerRow {
                server,
                load: Load {
                    reading,
                    memory,
                    running,
                    steps: 0,
                },
                counts: AnswerCounts { good, failed },
                speed: SpeedSums::default(),
                report: None,
            },
        );
        let resumed: HashMap<ShortId, u64> = resumed.into_iter().collect();
        let has_rates = rates.is_some();
        let WireRates((begun_rate, missed), asked_rates, granted_rates, usages) =
            rates.unwrap_or_default();
        let flow = FlowRates {
            begun: begun_rate,
            missed,
        };
        let accounts = accounts.into_iter().enumerate();
        let accounts = accounts.map(|(index, (id, asked, granted))| {
            let rate = |rates: &[u64]| {
                let units = rates.get(index).copied().unwrap_or_default();
                units.saturating_mul(RATE_UNIT)
            };
            let tokens = TokenSums {
                asked,
                granted,
                resumed: resumed.get(&id).copied().unwrap_or_default(),
                asked_rate: rate(&asked_rates),
                granted_rate: rate(&granted_rates),
                used: usages.get(index).copied().unwrap_or_default(),
            };
            (id, tokens)
        });
        let mut servers: Vec<ServerRow> = servers.collect();
        cost.add_to(&mut servers);
        Ok(Self {
            writer,
            seq,
            generation,
            list_version,
            members_version,
            zone,
            list_unreadable,
            servers,
            accounts: accounts.collect(),
            broken_runs,
            leaving,
            removed,
            peers,
            relay: RelayInfo::from(relay).with_demands(demands),
            poison: poison.into(),
            limits: limits.collect(),
            origins,
            begun,
            flow,
            has_rates,
            evacuations: EvacuationReport {
                version,
                zones,
                kept,
            },
            cold: cold.into(),
            cost_pools: cost.pools(),
        })
    }
}
