//! What the keys of servers and permits hold.

use std::net::SocketAddr;
use std::sync::Arc;

use primrose_core::id::Fence;
use primrose_core::id::ServerId;
use primrose_store::store::Key;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;

/// What the key of a server holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServerRecord {
    /// Added to the key's own fencing number; lifts it over what a server saw before the service
    /// was restored from an old copy.
    pub(crate) base: Fence,
    /// Whether an order may be under way that the next holder has to wait out.
    pub(crate) busy: bool,
    /// Process that wrote this, for operators who read the key.
    #[serde(default)]
    pub(crate) holder: String,
}

/// What the key of a permit holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitRecord {
    /// Load that may be under way.
    pub(crate) load: Option<PermitLoad>,
}

/// A load that may be under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitLoad {
    /// Server that loads.
    pub(crate) server: ServerId,
    /// Where it listens.
    pub(crate) addr: SocketAddr,
}

/// Names of the keys that orders use, under the prefix that all keys of the fleet share.
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

    /// Returns what the keys of all permits begin with.
    pub(crate) fn permits(&self) -> Key {
        format!("{}/loads/", self.prefix)
    }

    /// Returns the key of a permit.
    pub(crate) fn permit(&self, number: u32) -> Key {
        format!("{}{number:04}", self.permits())
    }

    /// Returns a permit's number.
    pub(crate) fn permit_number(&self, key: &str) -> Option<u32> {
        key.strip_prefix(&self.permits())?.parse().ok()
    }
}

/// Renders what a key holds.
pub(crate) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    serde_json::to_vec(record).expect("marks are plain data with string keys")
}

/// Reads what a key holds; `None` if it is damaged.
pub(crate) fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}
