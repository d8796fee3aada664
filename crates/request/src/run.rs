//! One attempt that holds a grant: its connections, and how far its answer has come.
//!
//! A run decides nothing about the request. It tells whether an event belongs to the connection in
//! use and whether an item continues the answer, so that nothing is passed on twice, late or with
//! a hole.

use primrose_core::clock::Mono;

use crate::action::AttemptResult;
use crate::action::SILENCE_TIMEOUT;
use crate::event::ConnId;
use crate::event::Grant;
use crate::event::Seq;

/// How an item stands to the items before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Order {
    /// The next item.
    Next,
    /// An item that has arrived already.
    Repeat,
    /// Items before this one are missing.
    Gap,
}

/// Progress of a granted attempt.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// The grant that it holds.
    pub(crate) grant: Grant,
    /// The connection in use.
    pub(crate) conn: ConnId,
    /// Whether the request was given to the connection, so that the server may have run it.
    pub(crate) sent: bool,
    /// Status of the answer, once it has arrived.
    pub(crate) status: Option<u16>,
    /// Number of the last item that arrived; 0 for none.
    pub(crate) last: Seq,
    /// Connections lost since the last item.
    pub(crate) breaks: u32,
    /// When the server was last heard, or the request sent.
    pub(crate) heard: Mono,
    /// Whether a resumed connection has not yet been accepted.
    pub(crate) resuming: bool,
    /// Whether the connection only finds out if the server still listens.
    pub(crate) probing: bool,
}

impl Run {
    /// Starts on the first connection.
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
            last: 0,
            breaks: 0,
            heard: Mono::ZERO,
            resuming: false,
            probing: false,
        }
    }

    /// Takes note of an item and tells how it stands to the others.
    pub(crate) fn accept(&mut self, seq: Seq) -> Order {
        if seq <= self.last {
            return Order::Repeat;
        }
        if seq > self.last + 1 {
            return Order::Gap;
        }
        self.last = seq;
        self.breaks = 0;
        Order::Next
    }

    /// Moves on to a further connection, which resumes the stream.
    pub(crate) fn reconnect(&mut self) {
        self.conn.number += 1;
        self.breaks += 1;
        self.resuming = true;
    }

    /// Moves on to a further connection, which only finds out if the server still listens.
    pub(crate) fn probe(&mut self) {
        self.conn.number += 1;
        self.resuming = false;
        self.probing = true;
    }

    /// What giving the attempt up now means.
    pub(crate) fn given_up(&self, now: Mono) -> AttemptResult {
        let silent = now.saturating_sub(self.heard) >= SILENCE_TIMEOUT;
        if self.sent && silent {
            AttemptResult::Abandoned
        } else {
            AttemptResult::Cancelled
        }
    }

    /// Whether the answer has broken off and it is not yet known why.
    pub(crate) fn in_doubt(&self) -> bool {
        self.sent && (self.resuming || self.probing)
    }
}
