//! The way from the connections to the ring of the deciding thread.
//!
//! One queue for all events, so that they arrive in the order in which they happened. Messages need
//! one of a bounded number of permits to enter it, so a slow deciding thread holds back the peers
//! that send to it; changes of links need none, because each waits for a connection to be made or
//! to end.

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

/// Messages that may wait between the connections and the ring.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Pause while the ring is full.
const FULL_CHANNEL_PAUSE: Duration = Duration::from_millis(1);

/// One event on its way; a message holds its permit until it is in the ring.
#[derive(Debug)]
pub(crate) struct QueuedEvent<M> {
    event: LinkEvent<M>,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Takes events from the connections.
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
    /// Makes a relay and the end that [`forward`] empties.
    pub(crate) fn new() -> (Self, UnboundedReceiver<QueuedEvent<M>>) {
        let (queue, receiver) = mpsc::unbounded_channel();
        let permits = Arc::new(Semaphore::new(MAX_QUEUED_MESSAGES));
        (Self { queue, permits }, receiver)
    }

    /// Passes on a change of a link at once.
    pub(crate) fn send_link_change(&self, event: LinkEvent<M>) {
        self.enqueue(event, None);
    }

    /// Waits for room, and returns the permit to pass on one message.
    pub(crate) async fn reserve(&self) -> Option<OwnedSemaphorePermit> {
        let permits = Arc::clone(&self.permits);
        permits.acquire_owned().await.ok()
    }

    /// Passes on a message.
    pub(crate) fn send_message(&self, event: LinkEvent<M>, permit: OwnedSemaphorePermit) {
        self.enqueue(event, Some(permit));
    }

    /// Passes on an event that may be lost, if there is room.
    pub(crate) fn try_send(&self, event: LinkEvent<M>) {
        let permits = Arc::clone(&self.permits);
        if let Ok(permit) = permits.try_acquire_owned() {
            self.enqueue(event, Some(permit));
        }
    }

    /// Queues an event; nobody listens any more when the endpoint stops.
    fn enqueue(&self, event: LinkEvent<M>, permit: Option<OwnedSemaphorePermit>) {
        let queued = QueuedEvent {
            event,
            _permit: permit,
        };
        let _ = self.queue.send(queued);
    }
}

/// Fills the ring until nobody reads it any more.
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

/// Puts an event into the ring; false if nobody reads it any more.
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
