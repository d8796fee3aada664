//! The bounded send queue of one peer.
//!
//! The user of the endpoint pushes encoded messages without blocking; the link's writer takes as
//! many as fit into one frame. The queue belongs to the peer and not to the connection, so that
//! queued messages are kept when a duplicate connection replaces the first.

use std::collections::VecDeque;
use std::sync::Mutex;

use tokio::sync::Notify;

use crate::codec::MAX_FRAME_MESSAGES;
use crate::config::Limits;

/// Messages taken from the queue for one frame.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    /// The encoded messages, one after the other.
    pub(crate) payload: Vec<u8>,
    /// Number of messages.
    pub(crate) messages: usize,
}

/// The queued messages and their total size.
#[derive(Debug, Default)]
struct QueueState {
    messages: VecDeque<Vec<u8>>,
    bytes: usize,
}

/// A bounded queue of encoded messages.
#[derive(Debug)]
pub(crate) struct SendQueue {
    limits: Limits,
    state: Mutex<QueueState>,
    pushed: Notify,
}

impl SendQueue {
    /// Creates an empty queue.
    pub(crate) fn new(limits: Limits) -> Self {
        Self {
            limits,
            state: Mutex::default(),
            pushed: Notify::new(),
        }
    }

    /// Adds a message; returns false if the queue is full.
    pub(crate) fn push(&self, message: Vec<u8>) -> bool {
        let mut state = self.state.lock().expect("queue lock poisoned");
        let bytes = state.bytes + message.len();
        let full = state.messages.len() >= self.limits.max_queue_messages;
        if full || bytes > self.limits.max_queue_bytes {
            return false;
        }
        state.bytes = bytes;
        state.messages.push_back(message);
        drop(state);
        self.pushed.notify_one();
        true
    }

    /// Takes the messages that fit into one frame; the batch is empty if the queue is.
    pub(crate) fn take(&self) -> Batch {
        let mut state = self.state.lock().expect("queue lock poisoned");
        let mut batch = Batch::default();
        while batch.messages < MAX_FRAME_MESSAGES {
            let Some(next) = state.messages.front() else {
                break;
            };
            let bytes = batch.payload.len() + next.len();
            if batch.messages > 0 && bytes > self.limits.max_frame_bytes {
                break;
            }
            let message = state.messages.pop_front().unwrap_or_default();
            state.bytes -= message.len();
            batch.payload.extend_from_slice(&message);
            batch.messages += 1;
        }
        batch
    }

    /// Waits until a message has been pushed.
    pub(crate) async fn wait_for_message(&self) {
        self.pushed.notified().await;
    }
}
