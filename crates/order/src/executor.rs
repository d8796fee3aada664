//! Carries out a writer's actions.

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

/// The servers, as far as orders go.
pub trait ServerClient: Send + Sync {
    /// Asks a server what it is.
    fn observe(&self, addr: SocketAddr) -> Result<Observed, Unreachable>;

    /// Sends an order.
    fn send(&self, addr: SocketAddr, order: &FencedOrder) -> SendResult;
}

/// Carries out actions one by one on the calling thread.
///
/// A process gives it a thread, which calls [`Executor::turn`] and then waits for a change of the
/// targets or until the returned time. Calls block for as long as the store and the port let them.
pub struct Executor {
    store: Arc<dyn Store>,
    servers: Arc<dyn ServerClient>,
    clock: Arc<dyn Clock>,
}

impl Executor {
    /// Makes an executor.
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

    /// Carries out at most this many actions, as long as there are any; returns when to come back.
    ///
    /// `None` means that only a change of the targets gives the writer something to do.
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

    /// Carries out one action and returns its answer.
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
                    log::debug!("failed to end lease {lease}, which ends by itself: {error}");
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
