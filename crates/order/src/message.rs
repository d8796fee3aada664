//! Actions that a writer requests, and the events that report their results.

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

/// Identifies an action, so that the result of an abandoned one can be recognized.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ActionId {
    /// Server that the action is for.
    pub server: ServerId,
    /// Sequence number of the action; grows with every action for the server.
    pub number: u64,
}

/// An order with its fencing number, as sent to a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FencedOrder {
    /// Fencing number of the holder of the server's key.
    pub fence: Fence,
    /// The order.
    #[serde(flatten)]
    pub order: Order,
}

/// An action that a writer requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Creates a lease; its result is [`Event::LeaseCreated`].
    CreateLease {
        /// Time to live.
        ttl: Duration,
    },
    /// Renews the lease; its result is [`Event::LeaseRenewed`].
    RenewLease {
        /// Lease to renew.
        lease: LeaseId,
    },
    /// Ends the lease; its result is not needed.
    RevokeLease {
        /// Lease to end.
        lease: LeaseId,
    },
    /// Reads a key; its result is [`Event::Read`].
    Read {
        /// Id of the action, to be returned with its result.
        action_id: ActionId,
        /// Key to read.
        key: Key,
    },
    /// Reads the keys under a prefix; its result is [`Event::Listed`].
    List {
        /// Id of the action, to be returned with its result.
        action_id: ActionId,
        /// Prefix of the keys.
        prefix: Key,
    },
    /// Writes keys; its result is [`Event::Committed`].
    Commit {
        /// Id of the action, to be returned with its result.
        action_id: ActionId,
        /// Operations, applied all or none.
        ops: Vec<Op>,
    },
    /// Reads the state of a server; its result is [`Event::Observed`].
    Observe {
        /// Id of the action, to be returned with its result.
        action_id: ActionId,
        /// Address of the server.
        addr: SocketAddr,
    },
    /// Sends an order; its result is [`Event::Sent`].
    Send {
        /// Id of the action, to be returned with its result.
        action_id: ActionId,
        /// Address of the server.
        addr: SocketAddr,
        /// Order to send.
        order: FencedOrder,
        /// Time from which the order must not be sent; to be compared with the clock right before
        /// the first byte.
        deadline: Mono,
    },
}

/// Error of a server whose state could not be read.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{detail}")]
pub struct Unreachable {
    /// Whether the host refused the connection: no process listens there, so no load is running.
    pub refused: bool,
    /// Description of the failure.
    pub detail: String,
}

/// Result of [`Action::Send`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendResult {
    /// The server accepted the order.
    Accepted,
    /// The server refused the fencing number as too old; contains the state of the server.
    Stale(Observed),
    /// The server refused the order for another reason.
    Refused,
    /// Nothing was sent.
    NotSent,
    /// The order was sent, but no valid reply arrived.
    Lost,
}

/// Result of an action of a writer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Result of [`Action::CreateLease`].
    LeaseCreated {
        /// Time at which the call started.
        began: Mono,
        /// Id of the new lease.
        result: StoreResult<LeaseId>,
    },
    /// Result of [`Action::RenewLease`].
    LeaseRenewed {
        /// Lease to be renewed.
        lease: LeaseId,
        /// Time at which the call started.
        began: Mono,
        /// Whether the renewal succeeded.
        result: StoreResult<()>,
    },
    /// Result of [`Action::Read`].
    Read {
        /// Id of the action.
        action_id: ActionId,
        /// Entry under the key.
        result: StoreResult<Option<Entry>>,
    },
    /// Result of [`Action::List`].
    Listed {
        /// Id of the action.
        action_id: ActionId,
        /// Entries under the prefix.
        result: StoreResult<Vec<Entry>>,
    },
    /// Result of [`Action::Commit`].
    Committed {
        /// Id of the action.
        action_id: ActionId,
        /// Reply of the key-value service.
        result: StoreResult<CommitResult>,
    },
    /// Result of [`Action::Observe`].
    Observed {
        /// Id of the action.
        action_id: ActionId,
        /// State of the server.
        result: Result<Observed, Unreachable>,
    },
    /// Result of [`Action::Send`].
    Sent {
        /// Id of the action.
        action_id: ActionId,
        /// Whether the order was sent and accepted.
        result: SendResult,
    },
}
