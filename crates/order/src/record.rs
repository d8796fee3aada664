//! Keys of servers and permits, and the records stored under them.

use std::net::SocketAddr;
use std::sync::Arc;

use primrose_core::id::Fence;
use primrose_core::id::ServerId;
use primrose_store::store::Key;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;

/// Record under the key of a server.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServerRecord {
    /// Added to the key's own fencing number, to exceed the numbers that a server has seen before
    /// the service was restored from an old copy.
    pub(crate) base: Fence,
    /// Whether an order may be in flight that the next holder has to wait out.
    pub(crate) busy: bool,
    /// Process that wrote the record, for operators.
    #[serde(default)]
    pub(crate) holder: String,
}

/// Record under the key of a permit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitRecord {
    /// Load that may be in progress.
    pub(crate) load: Option<PermitLoad>,
}

/// A load that may be in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitLoad {
    /// Server that is loading.
    pub(crate) server: ServerId,
    /// Address of the server.
    pub(crate) addr: SocketAddr,
}

/// Builds the keys that orders use, from the prefix of all keys of the fleet.
#[derive(Debug, Clone)]
pub(crate) struct Keys {
    prefix: Arc<str>,
}

impl Keys {
    pub(crate) fn new(prefix: &str) -> Self {
        let prefix = prefix.into();
        Self { prefix }
    }

    /// Returns the key of a server.
    pub(crate) fn server(&self, server: &str) -> Key {
        format!("{}/orders/{server}", self.prefix)
    }

    /// Returns the prefix of the keys of all permits.
    pub(crate) fn permits(&self) -> Key {
        format!("{}/loads/", self.prefix)
    }

    /// Returns the key of a permit.
    pub(crate) fn permit(&self, number: u32) -> Key {
        format!("{}{number:04}", self.permits())
    }

    /// Returns the number of a permit, given its key.
    pub(crate) fn permit_number(&self, key: &str) -> Option<u32> {
        key.strip_prefix(&self.permits())?.parse().ok()
    }
}

/// Encodes a record.
pub(crate) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    serde_json::to_vec(record).expect("records are plain data with string keys")
}

/// Decodes a record; `None` if it is malformed.
pub(crate) fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}
