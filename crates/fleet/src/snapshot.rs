//! Snapshots of tables and servers, served to gateways that do not read them from the platform.

use primrose_core::id::Generation;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::catalog::Tables;
use crate::entry::ServerEntry;
use crate::evacuation::EvacuationReport;

/// Tables and servers that one gateway knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Tables in force, if any.
    pub tables: Option<Tables>,
    /// Known servers.
    pub servers: Vec<ServerEntry>,
    /// Version of the list of servers.
    pub list_version: u64,
    /// List version of the last known join or removal of a server.
    pub members_version: u64,
    /// Evacuated zones. Older builds neither send nor read them.
    #[serde(default)]
    pub evacuations: EvacuationReport,
}

/// Error of encoding or decoding a snapshot.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The snapshot could not be encoded.
    #[snafu(display("failed to encode a snapshot"))]
    Write {
        /// The cause.
        source: ciborium::ser::Error<std::io::Error>,
    },
    /// The bytes are not a valid snapshot.
    #[snafu(display("failed to decode a snapshot"))]
    Parse {
        /// The cause.
        source: ciborium::de::Error<std::io::Error>,
    },
}

impl Snapshot {
    /// Returns the generation of the tables; zero for none.
    pub fn generation(&self) -> Generation {
        self.tables.as_ref().map_or(0, |tables| tables.generation)
    }

    /// Encodes the snapshot as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).context(WriteSnafu)?;
        Ok(bytes)
    }

    /// Decodes a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        ciborium::from_reader(bytes).context(ParseSnafu)
    }
}
