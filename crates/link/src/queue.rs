//! The bounded queue of one peer.
//!
//! The deciding thread pushes encoded messages without waiting; the link's writer takes as many as
//! fit one frame. The queue belongs to the peer and not to the connection, so that messages stay
//! when a duplicate connection takes the place of the first.

use std::collections::VecDeque;
use std::sync::Mutex;

use tokio::sync::Notify;

use crate::codec::MAX_FRAME_MESSAGES;
use crate::config::Limits;

/// Messages that were taken for one frame.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    /// The encoded messages, one after the other.
    pub(crate) payload: Vec<u8>,
    /// How many.
    pub(crate) messages: usize,
}

/// What waits.
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
    /// Makes an empty queue.
    pub(crate) fn new(limits: Limits) -> Self {
        Self {
            limits,
            state: Mutex::default(),
            pushed: Notify::new(),
        }
    }

    /// Adds a message; false if the queue is full.
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

    /// Takes what fits one frame; empty if nothing waits.
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

    /// Waits until something has been pushed.
    pub(crate) async fn wait_for_message(&self) {
        self.pushed.notified().await;
    }
}
