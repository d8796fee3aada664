//! What can be under way between two parts of the world.

use primrose_claim::Call;
use primrose_claim::CallResult;
use primrose_core::id::AttemptId;
use primrose_core::id::Member;
use primrose_core::id::RequestId;
use primrose_dispatch::message::Body;
use primrose_dispatch::message::Message;
use primrose_request::ConnEvent;
use primrose_request::ConnId;
use primrose_request::Seq;

use super::caller::Work;

/// Place of a router in the world's list.
pub(crate) type RouterNo = usize;
/// Place of a backend server in the world's list.
pub(crate) type ServerNo = usize;

/// What a router asks of a server over one connection.
#[derive(Debug, Clone)]
pub(crate) enum ServerCall {
    /// Connect.
    Open,
    /// Run this work.
    Request(Work),
    /// Go on with the stream after this item.
    Resume(Seq),
    /// Stop the run.
    Cancel,
    /// Close the connection.
    Close,
}

/// A timer of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The delay before a further attempt is over.
    Enqueue(AttemptId),
    /// The route's deadline.
    Deadline,
    /// The pool's longest run.
    RunLimit(AttemptId),
}

/// What one router says to another.
#[derive(Debug, Clone)]
pub(crate) enum Peer {
    /// Between requesters and dispatchers.
    Dispatch(Message),
    /// Strikes and what takes them back.
    Suspects(primrose_suspect::Message),
}

/// Something that is under way.
#[derive(Debug, Clone)]
pub(crate) enum Item {
    /// A caller's request reaches a router.
    Ask {
        router: RouterNo,
        request: RequestId,
    },
    /// A message between routers.
    Peer {
        from: Member,
        to: RouterNo,
        message: Peer,
    },
    /// A call to a server.
    ToServer {
        router: RouterNo,
        server: ServerNo,
        conn: ConnId,
        call: ServerCall,
    },
    /// What a server's connection brings.
    FromServer {
        router: RouterNo,
        conn: ConnId,
        event: ConnEvent,
    },
    /// A server goes on with a run.
    Serve {
        server: ServerNo,
        run: u64,
        attempt: AttemptId,
        seq: Seq,
    },
    /// A call reaches the key-value service.
    StoreCall {
        router: RouterNo,
        life: u64,
        call: Call,
    },
    /// Its result reaches the router.
    StoreReply {
        router: RouterNo,
        life: u64,
        result: CallResult,
    },
    /// A timer of a request ends.
    Timer {
        router: RouterNo,
        life: u64,
        request: RequestId,
        timer: Timer,
    },
    /// The claim writer looks what to do.
    Desk { router: RouterNo, life: u64 },
    /// Time passes for a router.
    Tick { router: RouterNo },
    /// A router begins to shut down.
    Drain { router: RouterNo },
    /// A router's shutdown reaches its limit.
    HardEnd { router: RouterNo },
    /// A router that was paused goes on.
    WakeUp { router: RouterNo },
    /// A router's process starts again, empty.
    StartRouter { router: RouterNo },
    /// A server's process starts again, empty.
    StartServer { server: ServerNo },
    /// The dispatchers learn that a server leaves.
    LeaveSeen { server: ServerNo },
    /// A connection that stood still goes on.
    Flush { conn: ConnId },
    /// Every router looks again who can be reached.
    Look,
    /// The key-value service comes back.
    StoreUp,
}

impl Item {
    /// The router at which the item is handled.
    pub(crate) fn router(&self) -> Option<RouterNo> {
        match self {
            Self::Ask { router, .. }
            | Self::FromServer { router, .. }
            | Self::StoreReply { router, .. }
            | Self::Timer { router, .. }
            | Self::Desk { router, .. }
            | Self::Tick { router }
            | Self::Drain { router }
            | Self::HardEnd { router } => Some(*router),
            Self::Peer { to, .. } => Some(*to),
            _ => None,
        }
    }

    /// The router that the item concerns, at whichever end.
    pub(crate) fn concerns(&self) -> Option<RouterNo> {
        match self {
            Self::ToServer { router, .. } | Self::StoreCall { router, .. } => Some(*router),
            _ => self.router(),
        }
    }

    /// Body of a message between requester and dispatcher.
    pub(crate) fn body(&self) -> Option<&Body> {
        match self {
            Self::Peer {
                message: Peer::Dispatch(message),
                ..
            } => Some(&message.body),
            _ => None,
        }
    }
}
