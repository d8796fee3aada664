//! A router: the real deciding parts, joined as the daemon joins them.

use std::collections::BTreeMap;
use std::sync::Arc;

use primrose_claim::ClaimWriter;
use primrose_claim::Limits;
use primrose_core::clock::Mono;
use primrose_core::id::Member;
use primrose_core::id::PoolId;
use primrose_core::id::RequestId;
use primrose_core::table::Table;
use primrose_dispatch::dispatcher::Dispatcher;
use primrose_dispatch::requester::Requester;
use primrose_request::ConnId;
use primrose_request::Lifecycle;
use primrose_request::Seq;
use primrose_suspect::Register;

use super::item::Item;
use super::item::RouterNo;

/// A request at the router that took it.
pub(crate) struct Live {
    pub(crate) life: Lifecycle,
    /// The attempt that was registered last.
    pub(crate) suspect: bool,
    /// Items that are held back, each with its connection.
    pub(crate) held: Vec<(ConnId, Seq)>,
    /// The item that is being handled.
    pub(crate) latest: Option<(ConnId, Seq)>,
    /// When the current attempt was sent, by the wall clock.
    pub(crate) sent_at: u64,
}

/// One run of a router process.
pub(crate) struct Router {
    pub(crate) me: Member,
    pub(crate) zone: &'static str,
    pub(crate) up: bool,
    pub(crate) paused_since: Option<Mono>,
    /// What arrived during a pause.
    pub(crate) backlog: Vec<Item>,
    pub(crate) draining: bool,
    pub(crate) requester: Requester,
    pub(crate) dispatchers: BTreeMap<PoolId, Dispatcher>,
    pub(crate) holder: Option<Member>,
    pub(crate) lives: BTreeMap<RequestId, Live>,
    pub(crate) desk: ClaimWriter,
    /// Whether a call to the key-value service is under way.
    pub(crate) calling: bool,
    pub(crate) desk_timer: bool,
    pub(crate) register: Register,
}

impl Router {
    pub(crate) fn new(no: RouterNo, zone: &'static str, life: u64, table: &Arc<Table>) -> Self {
        Self {
            me: Member {
                host: format!("entry-{no}"),
                incarnation: life,
            },
            zone,
            up: true,
            paused_since: None,
            backlog: Vec::new(),
            draining: false,
            requester: Requester::new(Arc::clone(table)),
            dispatchers: BTreeMap::new(),
            holder: None,
            lives: BTreeMap::new(),
            desk: ClaimWriter::new("primrose", Limits::default()),
            calling: false,
            desk_timer: false,
            register: Register::new(primrose_suspect::Limits::default()),
        }
    }

    /// Number of this run of the process.
    pub(crate) fn life(&self) -> u64 {
        self.me.incarnation
    }

    /// Whether nothing is under way any more.
    pub(crate) fn is_idle(&self) -> bool {
        self.lives.values().all(|live| live.life.is_over()) && self.desk.waiting() == 0
    }
}
