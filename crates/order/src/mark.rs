//! What the keys of servers and permits hold.

use std::net::SocketAddr;

use primrose_core::id::Fence;
use primrose_core::id::ServerId;
use primrose_platform::store::Key;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;

/// Keys of servers, each followed by the server's name.
pub const SERVER_PREFIX: &str = "primrose/orders/";

/// Keys of load permits, each followed by the permit's number.
pub const PERMIT_PREFIX: &str = "primrose/loads/";

/// What the key of a server holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServerMark {
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
pub(crate) struct PermitMark {
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

/// Returns the key of a server.
pub(crate) fn server_key(server: &str) -> Key {
    format!("{SERVER_PREFIX}{server}")
}

/// Returns the key of a permit.
pub(crate) fn permit_key(number: u32) -> Key {
    format!("{PERMIT_PREFIX}{number:04}")
}

/// Returns a permit's number.
pub(crate) fn permit_number(key: &str) -> Option<u32> {
    key.strip_prefix(PERMIT_PREFIX)?.parse().ok()
}

/// Renders what a key holds.
pub(crate) fn encode<T: Serialize>(mark: &T) -> Vec<u8> {
    serde_json::to_vec(mark).expect("marks are plain data with string keys")
}

/// Reads what a key holds; `None` if it is damaged.
pub(crate) fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}
