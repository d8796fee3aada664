//! What an endpoint is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::id::Member;
use primrose_core::id::ZoneId;
use primrose_retry::BackoffConfig;

use crate::key::Keys;

/// Settings of an endpoint.
#[derive(Debug, Clone)]
pub struct LinkConfig {
    /// This router process.
    pub me: Member,
    /// Availability zone of this router.
    pub zone: ZoneId,
    /// Where to listen; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Address that peers are told to dial; the listening address if none is given.
    pub advertise: Option<SocketAddr>,
    /// Accepted peer keys; the first one signs.
    pub keys: Keys,
    /// Bounds of sizes and times.
    pub limits: Limits,
}

impl LinkConfig {
    /// Makes settings with the default limits.
    pub fn new(me: Member, zone: ZoneId, listen: SocketAddr, keys: Keys) -> Self {
        Self {
            me,
            zone,
            listen,
            advertise: None,
            keys,
            limits: Limits::default(),
        }
    }
}

/// Bounds of sizes and times of all links of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest frame and largest encoded message, in bytes.
    pub frame_bytes: usize,
    /// Messages that may wait on one link.
    pub queue_messages: usize,
    /// Encoded bytes that may wait on one link.
    pub queue_bytes: usize,
    /// Accepted connections that have not authenticated yet.
    pub pending: usize,
    /// Established links.
    pub links: usize,
    /// Longest time to open a connection and authenticate.
    pub handshake: Duration,
    /// Silence after which a link sends an empty frame.
    pub keepalive: Duration,
    /// Silence after which a link is closed.
    pub idle: Duration,
    /// Longest time to write one frame.
    pub write: Duration,
    /// Delays between tries to connect.
    pub backoff: BackoffConfig,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            frame_bytes: 2 << 20,
            queue_messages: 4096,
            queue_bytes: 4 << 20,
            pending: 64,
            links: 512,
            handshake: Duration::from_secs(2),
            keepalive: Duration::from_millis(1500),
            idle: Duration::from_secs(3),
            write: Duration::from_secs(2),
            backoff: BackoffConfig {
                base: Duration::from_millis(100),
                cap: Duration::from_secs(3),
            },
        }
    }
}
