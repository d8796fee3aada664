//! Carries out the actions of a writer.

use std::net::SocketAddr;
use std::sync::Arc;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_store::store::Store;

use crate::desired::Observed;
use crate::message::Action;
use crate::message::Event;
use crate::message::FencedOrder;
use crate::message::SendResult;
use crate::message::Unreachable;
use crate::writer::Writer;

/// Access to the backend servers for orders.
pub trait ServerClient: Send + Sync {
    /// Reads the state of a server.
    fn observe(&self, addr: SocketAddr) -> Result<Observed, Unreachable>;

    /// Sends an order to a server.
    fn send(&self, addr: SocketAddr, order: &FencedOrder) -> SendResult;
}

/// Carries out actions one by one on the calling thread.
///
/// A process dedicates a thread to it, which calls [`Executor::run`] and then waits until the
/// returned time or a change of the targets. Calls block for as long as the store and the server
/// client block.
pub struct Executor {
    store: Arc<dyn Store>,
    servers: Arc<dyn ServerClient>,
    clock: Arc<dyn Clock>,
}

impl Executor {
    /// Creates an executor.
    pub fn new(
        store: Arc<dyn Store>,
        servers: Arc<dyn ServerClient>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            store,
            servers,
            clock,
        }
    }

    /// Carries out up to the given number of actions; returns the time at which to call it again.
    ///
    /// `None` means that the writer has nothing to do until its targets change.
    pub fn run(&self, writer: &mut Writer, actions: usize) -> Option<Mono> {
        for _ in 0..actions {
            let now = self.clock.now();
            let Some(action) = writer.poll(now) else {
                return writer.next_wake(now);
            };
            if let Some(event) = self.perform(action) {
                writer.handle(event, self.clock.now());
            }
        }
        Some(self.clock.now())
    }

    /// Carries out one action and returns its result; `None` for [`Action::RevokeLease`].
    pub fn perform(&self, action: Action) -> Option<Event> {
        let began = self.clock.now();
        Some(match action {
            Action::CreateLease { ttl } => Event::LeaseCreated {
                began,
                result: self.store.lease(ttl),
            },
            Action::RenewLease { lease } => {
                let result = self.store.renew(&lease);
                Event::LeaseRenewed {
                    lease,
                    began,
                    result,
                }
            }
            Action::RevokeLease { lease } => {
                if let Err(error) = self.store.revoke(&lease) {
                    log::debug!("failed to revoke lease {lease}, which expires by itself: {error}");
                }
                return None;
            }
            Action::Read { action_id, key } => Event::Read {
                action_id,
                result: self.store.get(&key),
            },
            Action::List { action_id, prefix } => Event::Listed {
                action_id,
                result: self.store.list(&prefix),
            },
            Action::Commit { action_id, ops } => Event::Committed {
                action_id,
                result: self.store.commit(&ops),
            },
            Action::Observe { action_id, addr } => Event::Observed {
                action_id,
                result: self.servers.observe(addr),
            },
            Action::Send {
                action_id,
                addr,
                order,
                deadline,
            } => {
                let result = if self.clock.now() < deadline {
                    self.servers.send(addr, &order)
                } else {
                    SendResult::NotSent
                };
                Event::Sent { action_id, result }
            }
        })
    }
}
