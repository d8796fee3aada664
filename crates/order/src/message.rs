//! What a writer asks for and what it is told.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::Fence;
use primrose_core::id::ServerId;
use primrose_store::store::CommitResult;
use primrose_store::store::Entry;
use primrose_store::store::Key;
use primrose_store::store::LeaseId;
use primrose_store::store::Op;
use primrose_store::store::Result as StoreResult;
use serde::Serialize;

use crate::desired::Observed;
use crate::desired::Order;

/// Names one action, so that the answer to an abandoned one is known as such.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ActionId {
    /// Server that the action is about.
    pub server: ServerId,
    /// Grows with every action for the server.
    pub number: u64,
}

/// An order with its fencing number, as it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FencedOrder {
    /// Fencing number of the holder.
    pub fence: Fence,
    /// What is asked for.
    #[serde(flatten)]
    pub order: Order,
}

/// What a writer asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Begin a lease; answered by [`Event::Granted`].
    CreateLease {
        /// Time to live.
        ttl: Duration,
    },
    /// Prolong the lease; answered by [`Event::Renewed`].
    RenewLease {
        /// Lease to prolong.
        lease: LeaseId,
    },
    /// End the lease; its answer does not matter.
    RevokeLease {
        /// Lease to end.
        lease: LeaseId,
    },
    /// Read a key; answered by [`Event::Read`].
    Read {
        /// To be given back.
        action_id: ActionId,
        /// Key to read.
        key: Key,
    },
    /// Read the keys under a prefix; answered by [`Event::Listed`].
    List {
        /// To be given back.
        action_id: ActionId,
        /// Prefix of the keys.
        prefix: Key,
    },
    /// Write keys; answered by [`Event::Committed`].
    Commit {
        /// To be given back.
        action_id: ActionId,
        /// Operations, all or none.
        ops: Vec<Op>,
    },
    /// Ask a server what it is; answered by [`Event::Observed`].
    Observe {
        /// To be given back.
        action_id: ActionId,
        /// Where the server listens.
        addr: SocketAddr,
    },
    /// Send an order; answered by [`Event::Sent`].
    Send {
        /// To be given back.
        action_id: ActionId,
        /// Where the server listens.
        addr: SocketAddr,
        /// The order.
        order: FencedOrder,
        /// Whoever carries this out reads the clock right before the first byte and sends nothing from this time on.
        deadline: Mono,
    },
}

/// A server that did not answer a question.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{detail}")]
pub struct Unreachable {
    /// Whether its host refused the connection: no process serves there, so nothing is under way.
    pub refused: bool,
    /// What was seen.
    pub detail: String,
}

/// What became of an order that was to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendResult {
    /// The server took it.
    Accepted,
    /// The server refused the fencing number as old, and says what it is.
    Stale(Observed),
    /// The server refused the order for another reason.
    Refused,
    /// Nothing was sent.
    NotSent,
    /// The order was sent and the reply lost.
    Lost,
}

/// What a writer is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Answer to [`Action::Grant`].
    LeaseCreated {
        /// When the call began.
        began: Mono,
        /// The lease.
        result: StoreResult<LeaseId>,
    },
    /// Answer to [`Action::Renew`].
    LeaseRenewed {
        /// Lease that was named.
        lease: LeaseId,
        /// When the call began.
        began: Mono,
        /// Whether it succeeded.
        result: StoreResult<()>,
    },
    /// Answer to [`Action::Read`].
    Read {
        /// As given.
        action_id: ActionId,
        /// The entry.
        result: StoreResult<Option<Entry>>,
    },
    /// Answer to [`Action::List`].
    Listed {
        /// As given.
        action_id: ActionId,
        /// The entries.
        result: StoreResult<Vec<Entry>>,
    },
    /// Answer to [`Action::Commit`].
    Committed {
        /// As given.
        action_id: ActionId,
        /// What the service said.
        result: StoreResult<CommitResult>,
    },
    /// Answer to [`Action::Observe`].
    Observed {
        /// As given.
        action_id: ActionId,
        /// What the server said.
        result: Result<Observed, Unreachable>,
    },
    /// Answer to [`Action::Send`].
    Sent {
        /// As given.
        action_id: ActionId,
        /// What became of the order.
        result: SendResult,
    },
}
