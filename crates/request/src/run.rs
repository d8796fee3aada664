//! State of an attempt that holds a grant: its connections and the progress of its response.
//!
//! A run identifies the connection in use and checks that each item continues the response, so that
//! no item is forwarded twice, late or after a gap. It makes no decision about the request.

use primrose_core::clock::Mono;

use crate::action::AttemptResult;
use crate::action::SILENCE_TIMEOUT;
use crate::event::ConnId;
use crate::event::Grant;
use crate::event::Seq;

/// Position of an item relative to the items before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ItemOrder {
    /// The next item.
    Next,
    /// An item that arrived before.
    Repeat,
    /// Items before this one are missing.
    Gap,
}

/// Progress of a granted attempt.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// Grant under which the attempt runs.
    pub(crate) grant: Grant,
    /// Connection in use.
    pub(crate) conn: ConnId,
    /// Whether the request was sent on a connection, so that the server may have run it.
    pub(crate) sent: bool,
    /// HTTP status of the response, once it has arrived.
    pub(crate) status: Option<u16>,
    /// Number of the last item that arrived; 0 for none.
    pub(crate) last_seq: Seq,
    /// Connections that broke since the last item.
    pub(crate) consecutive_breaks: u32,
    /// When the last event of a connection of this attempt arrived.
    pub(crate) last_event_at: Mono,
    /// Whether the server has not yet resumed the stream on the connection in use.
    pub(crate) resuming: bool,
    /// Whether the connection only checks if the server still accepts connections.
    pub(crate) probing: bool,
}

impl Run {
    /// Creates the run of a grant, on its first connection.
    pub(crate) fn new(grant: Grant) -> Self {
        let conn = ConnId {
            attempt: grant.attempt,
            number: 1,
        };
        Self {
            grant,
            conn,
            sent: false,
            status: None,
            last_seq: 0,
            consecutive_breaks: 0,
            last_event_at: Mono::ZERO,
            resuming: false,
            probing: false,
        }
    }

    /// Records an item and returns its position relative to the items before it.
    pub(crate) fn record_item(&mut self, seq: Seq) -> ItemOrder {
        if seq <= self.last_seq {
            return ItemOrder::Repeat;
        }
        if seq > self.last_seq + 1 {
            return ItemOrder::Gap;
        }
        self.last_seq = seq;
        self.consecutive_breaks = 0;
        ItemOrder::Next
    }

    /// Switches to a new connection that resumes the stream.
    pub(crate) fn reconnect(&mut self) {
        self.conn.number += 1;
        self.consecutive_breaks += 1;
        self.resuming = true;
    }

    /// Switches to a new connection that only checks if the server still accepts connections.
    pub(crate) fn probe(&mut self) {
        self.conn.number += 1;
        self.resuming = false;
        self.probing = true;
    }

    /// Returns the result to report if the attempt is cancelled now.
    pub(crate) fn result_if_cancelled(&self, now: Mono) -> AttemptResult {
        let silent = now.saturating_sub(self.last_event_at) >= SILENCE_TIMEOUT;
        if self.sent && silent {
            AttemptResult::Abandoned
        } else {
            AttemptResult::Cancelled
        }
    }

    /// Returns whether the response has broken off and the cause is not yet known.
    pub(crate) fn in_doubt(&self) -> bool {
        self.sent && (self.resuming || self.probing)
    }
}
