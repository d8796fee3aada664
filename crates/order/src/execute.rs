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
pub trait Servers: Send + Sync {
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
    servers: Arc<dyn Servers>,
    clock: Arc<dyn Clock>,
}

impl Executor {
    /// Makes an executor.
    pub fn new(store: Arc<dyn Store>, servers: Arc<dyn Servers>, clock: Arc<dyn Clock>) -> Self {
        Self {
            store,
            servers,
            clock,
        }
    }

    /// Carries out at most this many actions, as long as there are any; returns when to come back.
    ///
    /// `None` means that only a change of the targets gives the writer something to do.
    pub fn turn(&self, writer: &mut Writer, actions: usize) -> Option<Mono> {
        for _ in 0..actions {
            let now = self.clock.now();
            let Some(action) = writer.poll(now) else {
                return writer.wake(now);
            };
            if let Some(event) = self.perform(action) {
                writer.on(event, self.clock.now());
            }
        }
        Some(self.clock.now())
    }

    /// Carries out one action and returns its answer.
    pub fn perform(&self, action: Action) -> Option<Event> {
        let began = self.clock.now();
        Some(match action {
            Action::Grant { ttl } => Event::Granted {
                began,
                result: self.store.lease(ttl),
            },
            Action::Renew { lease } => {
                let result = self.store.renew(&lease);
                Event::Renewed {
                    lease,
                    began,
                    result,
                }
            }
            Action::Revoke { lease } => {
                if let Err(error) = self.store.revoke(&lease) {
                    log::debug!("failed to end lease {lease}, which ends by itself: {error}");
                }
                return None;
            }
            Action::Read { ticket, key } => Event::Read {
                ticket,
                result: self.store.get(&key),
            },
            Action::List { ticket, prefix } => Event::Listed {
                ticket,
                result: self.store.list(&prefix),
            },
            Action::Commit { ticket, ops } => Event::Committed {
                ticket,
                result: self.store.commit(&ops),
            },
            Action::Observe { ticket, addr } => Event::Observed {
                ticket,
                result: self.servers.observe(addr),
            },
            Action::Send {
                ticket,
                addr,
                order,
                until,
            } => {
                let result = if self.clock.now() < until {
                    self.servers.send(addr, &order)
                } else {
                    SendResult::NotSent
                };
                Event::Sent { ticket, result }
            }
        })
    }
}
