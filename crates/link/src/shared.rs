//! State shared by all tasks of an endpoint.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

use log::warn;
use rand::random;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::block::BlockList;
use crate::config::Limits;
use crate::event::LinkEvent;
use crate::event::RefusedReason;
use crate::frame::OVERHEAD_BYTES;
use crate::handshake::Identity;
use crate::handshake::Nonce;
use crate::handshake::MAX_HANDSHAKE_BYTES;
use crate::key::Keys;
use crate::log_rate_limit::LogRateLimiter;
use crate::registry::Registry;
use crate::relay::EventSender;
use crate::stats::Counters;

/// State shared by the tasks and the handle of an endpoint.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) me: Identity,
    pub(crate) keys: Keys,
    pub(crate) limits: Limits,
    pub(crate) registry: Arc<Registry>,
    pub(crate) block_list: BlockList,
    pub(crate) total: Arc<Counters>,
    pub(crate) refused: AtomicU64,
    pub(crate) stopping: AtomicBool,
    pub(crate) log_rate_limit: LogRateLimiter,
}

impl Shared {
    /// Generates a random nonce.
    pub(crate) fn nonce(&self) -> Nonce {
        random()
    }

    /// Returns the WebSocket configuration with its size limits.
    pub(crate) fn socket_config(&self) -> WebSocketConfig {
        let largest = self.limits.max_frame_bytes.max(MAX_HANDSHAKE_BYTES) + OVERHEAD_BYTES;
        WebSocketConfig::default()
            .read_buffer_size(16 << 10)
            .write_buffer_size(0)
            .max_write_buffer_size(2 * largest)
            .max_message_size(Some(largest))
            .max_frame_size(Some(largest))
    }

    /// Returns whether the endpoint is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}

/// Counts, logs and reports a connection that did not become a link.
pub(crate) fn report_refused<M>(
    shared: &Shared,
    events: &EventSender<M>,
    addr: SocketAddr,
    reason: RefusedReason,
) {
    // Routers that dial each other simultaneously refuse one of the two connections; not an error.
    if reason != RefusedReason::Duplicate {
        shared.refused.fetch_add(1, Ordering::Relaxed);
        if let Some(suppressed) = shared.log_rate_limit.allow(Instant::now()) {
            warn!(peer:% = addr, held_back = suppressed; "refused a peer connection: {reason}");
        }
    }
    // A flood of refused connections must not displace messages; without room, it is only counted.
    events.try_send(LinkEvent::Refused { addr, reason });
}
