//! Digests of a gateway's state, sent to the other gateways several times a second as single
//! datagrams.
//!
//! A digest holds absolute sums instead of increments, so that loss, duplication and reordering are
//! harmless; a receiver drops digests with an old sequence number. Names are sent as short ids, so
//! that a digest fits into one datagram. Digests are neither acknowledged nor sent again.

use std::net::IpAddr;

use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::Generation;
use primrose_core::id::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::demand::TokenSums;
use crate::entry::ShortId;
use crate::health::AnswerCounts;
use crate::server::Load;

/// Maximum size of a digest, in bytes; common links carry such datagrams without fragmentation.
pub const MAX_BYTES: usize = 1_400;
/// Maximum number of servers in a digest; the most loaded are preferred.
const MAX_SERVERS: usize = 40;
/// Maximum number of accounts in a digest; those with the most demand are preferred.
const MAX_ACCOUNTS: usize = 30;
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
    /// Incarnations of servers that were recently marked as leaving.
    pub leaving: Vec<ShortId>,
    /// Incarnations of servers that were recently removed from the list.
    pub removed: Vec<ShortId>,
    /// Addresses of other gateways.
    pub peers: Vec<IpAddr>,
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
);

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
        self.servers
            .sort_by_key(|row| std::cmp::Reverse((row.load.running, row.load.reading)));
        self.servers.truncate(MAX_SERVERS);
        self.accounts
            .sort_by_key(|(_, sums)| std::cmp::Reverse(sums.asked));
        self.accounts.truncate(MAX_ACCOUNTS);
        self.peers.truncate(MAX_PEERS);
    }

    /// Encodes the digest as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>, DigestError> {
        let servers = self.servers.iter().map(|row| {
            let Load {
                reading,
                memory,
                running,
            } = row.load;
            let AnswerCounts { good, failed } = row.counts;
            (row.server, reading, memory, running, good, failed)
        });
        let accounts = self.accounts.iter();
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
        );
        let mut bytes = Vec::with_capacity(MAX_BYTES);
        ciborium::into_writer(&wire, &mut bytes).context(EncodeSnafu)?;
        Ok(bytes)
    }

    /// Decodes a digest.
    pub fn decode(bytes: &[u8]) -> Result<Self, DigestError> {
        let wire: Wire = ciborium::from_reader(bytes).context(DecodeSnafu)?;
        let Wire(head, list, servers, accounts, broken_runs, marks, peers) = wire;
        let (writer, seq, generation) = head;
        let (list_version, members_version, zone, list_unreadable) = list;
        let (leaving, removed) = marks;
        let servers = servers.into_iter().map(
            |(server, reading, memory, running, good, failed)| ServerRow {
                server,
                load: Load {
                    reading,
                    memory,
                    running,
                },
                counts: AnswerCounts { good, failed },
            },
        );
        let accounts = accounts
            .into_iter()
            .map(|(id, asked, granted)| (id, TokenSums { asked, granted }));
        Ok(Self {
            writer,
            seq,
            generation,
            list_version,
            members_version,
            zone,
            list_unreadable,
            servers: servers.collect(),
            accounts: accounts.collect(),
            broken_runs,
            leaving,
            removed,
            peers,
        })
    }
}
