//! What a gateway hands to one that cannot reach the platform: tables and servers.

use primrose_core::id::Generation;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::catalog::Tables;
use crate::entry::ServerEntry;

/// Tables and servers as one gateway knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Tables in force, if any.
    pub tables: Option<Tables>,
    /// Servers.
    pub servers: Vec<ServerEntry>,
    /// Version of the list of servers.
    pub list_version: u64,
    /// Version at which the last server is known to have joined or left.
    pub members_version: u64,
}

/// Why bytes hold no snapshot.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The snapshot could not be written.
    #[snafu(display("failed to encode a snapshot"))]
    Write {
        /// The cause.
        source: ciborium::ser::Error<std::io::Error>,
    },
    /// The bytes are not a snapshot.
    #[snafu(display("failed to decode a snapshot"))]
    Parse {
        /// The cause.
        source: ciborium::de::Error<std::io::Error>,
    },
}

impl Snapshot {
    /// Generation of the tables; zero for none.
    pub fn generation(&self) -> Generation {
        self.tables.as_ref().map_or(0, |tables| tables.generation)
    }

    /// Writes the snapshot.
    pub fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).context(WriteSnafu)?;
        Ok(bytes)
    }

    /// Reads a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        ciborium::from_reader(bytes).context(ParseSnafu)
    }
}
