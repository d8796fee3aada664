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
    pub max_frame_bytes: usize,
    /// Messages that may wait on one link.
    pub max_queue_messages: usize,
    /// Encoded bytes that may wait on one link.
    pub max_queue_bytes: usize,
    /// Accepted connections that have not authenticated yet.
    pub max_pending: usize,
    /// Established links.
    pub max_links: usize,
    /// Longest time to open a connection and authenticate.
    pub handshake_timeout: Duration,
    /// Silence after which a link sends an empty frame.
    pub keepalive_interval: Duration,
    /// Silence after which a link is closed.
    pub idle_timeout: Duration,
    /// Longest time to write one frame.
    pub write_timeout: Duration,
    /// Delays between tries to connect.
    pub backoff: BackoffConfig,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_frame_bytes: 2 << 20,
            max_queue_messages: 4096,
            max_queue_bytes: 4 << 20,
            max_pending: 64,
            max_links: 512,
            handshake_timeout: Duration::from_secs(2),
            keepalive_interval: Duration::from_millis(1500),
            idle_timeout: Duration::from_secs(3),
            write_timeout: Duration::from_secs(2),
            backoff: BackoffConfig {
                base: Duration::from_millis(100),
                cap: Duration::from_secs(3),
            },
        }
    }
}
