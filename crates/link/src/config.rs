//! Configuration of an endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::id::Member;
use primrose_core::id::ZoneId;
use primrose_retry::BackoffConfig;

use crate::key::Keys;

/// Configuration of an endpoint.
#[derive(Debug, Clone)]
pub struct LinkConfig {
    /// This router process.
    pub me: Member,
    /// Availability zone of this router.
    pub zone: ZoneId,
    /// Address to listen on; port 0 selects any free port.
    pub listen: SocketAddr,
    /// Address advertised to peers; defaults to the listening address.
    pub advertise: Option<SocketAddr>,
    /// Accepted peer keys; the first one signs.
    pub keys: Keys,
    /// Size limits and timeouts.
    pub limits: Limits,
}

impl LinkConfig {
    /// Creates a configuration with the default limits.
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

/// Size limits and timeouts of an endpoint and its links.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest frame and largest encoded message, in bytes.
    pub max_frame_bytes: usize,
    /// Messages that may be queued for one peer.
    pub max_queue_messages: usize,
    /// Encoded bytes that may be queued for one peer.
    pub max_queue_bytes: usize,
    /// Accepted connections that may be unauthenticated at the same time.
    pub max_pending: usize,
    /// Links that may be up at the same time.
    pub max_links: usize,
    /// Longest time to open a connection and authenticate.
    pub handshake_timeout: Duration,
    /// Time without a message to send after which a link sends an empty frame.
    pub keepalive_interval: Duration,
    /// Time without a received frame after which a link is closed.
    pub idle_timeout: Duration,
    /// Longest time to write one frame.
    pub write_timeout: Duration,
    /// Delays between attempts to connect.
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
