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
const RELAY_MESSAGES: usize = 256;
/// Pause while the ring is full.
const RING_PAUSE: Duration = Duration::from_millis(1);

/// One event on its way; a message holds its permit until it is in the ring.
#[derive(Debug)]
pub(crate) struct Item<M> {
    event: LinkEvent<M>,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Takes events from the connections.
#[derive(Debug)]
pub(crate) struct Relay<M> {
    queue: UnboundedSender<Item<M>>,
    permits: Arc<Semaphore>,
}

impl<M> Clone for Relay<M> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
            permits: Arc::clone(&self.permits),
        }
    }
}

impl<M> Relay<M> {
    /// Makes a relay and the end that [`forward`] empties.
    pub(crate) fn new() -> (Self, UnboundedReceiver<Item<M>>) {
        let (queue, items) = mpsc::unbounded_channel();
        let permits = Arc::new(Semaphore::new(RELAY_MESSAGES));
        (Self { queue, permits }, items)
    }

    /// Passes on a change of a link at once.
    pub(crate) fn change(&self, event: LinkEvent<M>) {
        self.push(event, None);
    }

    /// Waits for room, and returns the permit to pass on one message.
    pub(crate) async fn room(&self) -> Option<OwnedSemaphorePermit> {
        let permits = Arc::clone(&self.permits);
        permits.acquire_owned().await.ok()
    }

    /// Passes on a message.
    pub(crate) fn message(&self, event: LinkEvent<M>, permit: OwnedSemaphorePermit) {
        self.push(event, Some(permit));
    }

    /// Passes on an event that may be lost, if there is room.
    pub(crate) fn try_pass(&self, event: LinkEvent<M>) {
        let permits = Arc::clone(&self.permits);
        if let Ok(permit) = permits.try_acquire_owned() {
            self.push(event, Some(permit));
        }
    }

    /// Queues an event; nobody listens any more when the endpoint stops.
    fn push(&self, event: LinkEvent<M>, permit: Option<OwnedSemaphorePermit>) {
        let item = Item {
            event,
            _permit: permit,
        };
        let _ = self.queue.send(item);
    }
}

/// Fills the ring until nobody reads it any more.
pub(crate) async fn forward<M>(mut items: UnboundedReceiver<Item<M>>, ring: Sender<LinkEvent<M>>) {
    while let Some(item) = items.recv().await {
        if !offer(&ring, item.event).await {
            return;
        }
    }
}

/// Puts an event into the ring; false if nobody reads it any more.
async fn offer<M>(ring: &Sender<LinkEvent<M>>, mut event: LinkEvent<M>) -> bool {
    loop {
        match ring.try_send(event) {
            Ok(()) => return true,
            Err(TrySendError::Disconnected(_)) => return false,
            Err(TrySendError::Full(back)) => event = back,
        }
        sleep(RING_PAUSE).await;
    }
}
