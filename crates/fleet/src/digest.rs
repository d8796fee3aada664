//! What gateways tell one another several times a second, as single datagrams.
//!
//! A digest holds sums, never changes, so that lost, doubled and reordered ones are harmless; the
//! sequence number lets a receiver drop one that was overtaken. Names travel as short hashes to
//! keep a digest inside one datagram.

use std::net::IpAddr;

use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::Generation;
use primrose_core::id::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::demand::Sums;
use crate::entry::ShortId;
use crate::health::Counts;
use crate::server::Load;

/// Most bytes of a digest; datagrams up to here cross common links unfragmented.
pub const MAX_BYTES: usize = 1_400;
/// Servers that one digest names; the most loaded go first.
const MOST_SERVERS: usize = 40;
/// Accounts that one digest names.
const MOST_ACCOUNTS: usize = 30;
/// Gateways that one digest names.
const MOST_PEERS: usize = 20;

/// Load and answers of one server, as one gateway saw them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerRow {
    /// The server.
    pub server: ShortId,
    /// What the writer's requests take there now.
    pub load: Load,
    /// Answers to the writer over the last seconds.
    pub counts: Counts,
}

/// One gateway's sums.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest {
    /// The writer, new at each of its starts.
    pub writer: Incarnation,
    /// Grows with each digest of the writer.
    pub seq: u64,
    /// Generation of the writer's tables; zero for none.
    pub generation: Generation,
    /// Version of the writer's list of servers, as the platform counts changes.
    pub list_version: u64,
    /// Version at which the writer knows the last server to have joined or left.
    pub members_version: u64,
    /// Short name of the writer's zone.
    pub zone: ShortId,
    /// Whether the writer cannot read the list.
    pub blind: bool,
    /// Servers.
    pub servers: Vec<ServerRow>,
    /// Accounts.
    pub accounts: Vec<(ShortId, Sums)>,
    /// Requests that broke their servers' connections.
    pub broken: Vec<(Fingerprint, u32)>,
    /// Starts of servers that the writer has seen leaving.
    pub leaving: Vec<ShortId>,
    /// Starts of servers that the writer has seen leave the list.
    pub gone: Vec<ShortId>,
    /// Where other gateways are.
    pub peers: Vec<IpAddr>,
}

/// Digest as it travels: tuples in place of maps, so that no field names are sent.
#[derive(Serialize, Deserialize)]
struct Wire(
    (Incarnation, u64, Generation),
    (u64, u64, ShortId, bool),
    Vec<(ShortId, u64, u64, u32, u64, u64)>,
    Vec<(ShortId, u64, u64)>,
    Vec<(Fingerprint, u32)>,
    (Vec<ShortId>, Vec<ShortId>),
    Vec<IpAddr>,
);

/// Why a datagram holds no digest.
#[derive(Debug, Snafu)]
pub enum DigestError {
    /// The digest could not be written.
    #[snafu(display("failed to encode a digest"))]
    Encode {
        /// The cause.
        source: ciborium::ser::Error<std::io::Error>,
    },
    /// The bytes are not a digest.
    #[snafu(display("failed to decode a digest"))]
    Decode {
        /// The cause.
        source: ciborium::de::Error<std::io::Error>,
    },
}

impl Digest {
    /// Leaves out what does not fit into one datagram; what matters most stays.
    pub fn trim(&mut self) {
        self.servers
            .sort_by_key(|row| std::cmp::Reverse((row.load.running, row.load.reading)));
        self.servers.truncate(MOST_SERVERS);
        self.accounts
            .sort_by_key(|(_, sums)| std::cmp::Reverse(sums.asked));
        self.accounts.truncate(MOST_ACCOUNTS);
        self.peers.truncate(MOST_PEERS);
    }

    /// Writes the digest.
    pub fn encode(&self) -> Result<Vec<u8>, DigestError> {
        let servers = self.servers.iter().map(|row| {
            let Load {
                reading,
                memory,
                running,
            } = row.load;
            let Counts { good, failed } = row.counts;
            (row.server, reading, memory, running, good, failed)
        });
        let accounts = self.accounts.iter();
        let wire = Wire(
            (self.writer, self.seq, self.generation),
            (
                self.list_version,
                self.members_version,
                self.zone,
                self.blind,
            ),
            servers.collect(),
            accounts
                .map(|(id, sums)| (*id, sums.asked, sums.granted))
                .collect(),
            self.broken.clone(),
            (self.leaving.clone(), self.gone.clone()),
            self.peers.clone(),
        );
        let mut bytes = Vec::with_capacity(MAX_BYTES);
        ciborium::into_writer(&wire, &mut bytes).context(EncodeSnafu)?;
        Ok(bytes)
    }

    /// Reads a digest.
    pub fn decode(bytes: &[u8]) -> Result<Self, DigestError> {
        let wire: Wire = ciborium::from_reader(bytes).context(DecodeSnafu)?;
        let Wire(head, list, servers, accounts, broken, leaving, peers) = wire;
        let (writer, seq, generation) = head;
        let (list_version, members_version, zone, blind) = list;
        let (leaving, gone) = leaving;
        let servers = servers.into_iter().map(
            |(server, reading, memory, running, good, failed)| ServerRow {
                server,
                load: Load {
                    reading,
                    memory,
                    running,
                },
                counts: Counts { good, failed },
            },
        );
        let accounts = accounts
            .into_iter()
            .map(|(id, asked, granted)| (id, Sums { asked, granted }));
        Ok(Self {
            writer,
            seq,
            generation,
            list_version,
            members_version,
            zone,
            blind,
            servers: servers.collect(),
            accounts: accounts.collect(),
            broken,
            leaving,
            gone,
            peers,
        })
    }
}
