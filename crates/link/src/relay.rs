//! Relays events from the connections to the event channel of the endpoint's user.
//!
//! All events go through one queue, so that they arrive in the order in which they happened. A
//! message needs one of a bounded number of semaphore permits to enter, so a slow receiver applies
//! backpressure to the peers that send to it. Link changes need no permit, because their number is
//! bounded by the connections that open and close.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use crossbeam_channel::TrySendError;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::event::LinkEvent;

/// Messages that may be queued before the event channel.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Pause before retrying a full event channel.
const FULL_CHANNEL_PAUSE: Duration = Duration::from_millis(1);

/// A queued event; a message holds its permit until it has entered the event channel.
#[derive(Debug)]
pub(crate) struct QueuedEvent<M> {
    event: LinkEvent<M>,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Sending end of the queue, used by the connections.
#[derive(Debug)]
pub(crate) struct EventSender<M> {
    queue: UnboundedSender<QueuedEvent<M>>,
    permits: Arc<Semaphore>,
}

impl<M> Clone for EventSender<M> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
            permits: Arc::clone(&self.permits),
        }
    }
}

impl<M> EventSender<M> {
    /// Creates the queue; [`forward_events`] drains the returned receiver.
    pub(crate) fn new() -> (Self, UnboundedReceiver<QueuedEvent<M>>) {
        let (queue, receiver) = mpsc::unbounded_channel();
        let permits = Arc::new(Semaphore::new(MAX_QUEUED_MESSAGES));
        (Self { queue, permits }, receiver)
    }

    /// Queues a link change, which needs no permit.
    pub(crate) fn send_link_change(&self, event: LinkEvent<M>) {
        self.enqueue(event, None);
    }

    /// Waits for room and returns the permit to queue one message.
    pub(crate) async fn reserve(&self) -> Option<OwnedSemaphorePermit> {
        let permits = Arc::clone(&self.permits);
        permits.acquire_owned().await.ok()
    }

    /// Queues a message under its permit.
    pub(crate) fn send_message(&self, event: LinkEvent<M>, permit: OwnedSemaphorePermit) {
        self.enqueue(event, Some(permit));
    }

    /// Queues an event if there is room and drops it otherwise.
    pub(crate) fn try_send(&self, event: LinkEvent<M>) {
        let permits = Arc::clone(&self.permits);
        if let Ok(permit) = permits.try_acquire_owned() {
            self.enqueue(event, Some(permit));
        }
    }

    /// Queues an event; the receiver may already be closed while the endpoint stops.
    fn enqueue(&self, event: LinkEvent<M>, permit: Option<OwnedSemaphorePermit>) {
        let queued = QueuedEvent {
            event,
            _permit: permit,
        };
        let _ = self.queue.send(queued);
    }
}

/// Forwards queued events to the event channel until its receiver is dropped.
pub(crate) async fn forward_events<M>(
    mut queue: UnboundedReceiver<QueuedEvent<M>>,
    channel: Sender<LinkEvent<M>>,
) {
    while let Some(queued) = queue.recv().await {
        if !send_to_channel(&channel, queued.event).await {
            return;
        }
    }
}

/// Sends an event to the event channel; returns false if the receiver was dropped.
async fn send_to_channel<M>(channel: &Sender<LinkEvent<M>>, mut event: LinkEvent<M>) -> bool {
    loop {
        match channel.try_send(event) {
            Ok(()) => return true,
            Err(TrySendError::Disconnected(_)) => return false,
            Err(TrySendError::Full(unsent)) => event = unsent,
        }
        sleep(FULL_CHANNEL_PAUSE).await;
    }
}
