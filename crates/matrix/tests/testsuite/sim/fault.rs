//! The faults, and how each strikes at a step.

use primrose_core::clock::Mono;
use primrose_store::memory::Fault as StoreFault;
use primrose_store::store::StoreError;

use primrose_claim::Call;
use primrose_claim::CallResult;

use super::item::Item;
use super::item::RouterNo;
use super::item::ServerCall;
use super::item::ServerNo;
use super::ms;
use super::world::World;
use crate::scenario::LAST_STRIKE;
use crate::steps::Step;

/// How late a late message is: later than every lease and wait of the claim writer.
const LATE: Mono = ms(4_000);
/// How much a crossed message is held up: longer than what follows it takes.
const CROSSED: Mono = ms(25);
/// How long partitions, hangs and outages last.
const LONG: Mono = ms(6_000);
/// A pause that outlasts the lease of a grant.
const LEASE_PAUSE: Mono = ms(4_000);

/// A row of the matrix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    Lost,
    ReplyLost,
    Doubled,
    Late,
    Crossed,
    ServerCrash,
    ServerLeave,
    ServerHang,
    RouterCrash,
    RouterPause,
    RouterEmpty,
    CutRouters,
    CutPlatform,
    CutZone,
    StoreDown,
    StoreSlow,
    StoreReplyLost,
    LeaseLapse,
    TwoOperators,
}

impl Fault {
    /// Whether it can keep a router from hearing or remembering what others know of suspects.
    pub(crate) fn deafens(self) -> bool {
        !matches!(
            self,
            Self::Doubled
                | Self::ServerCrash
                | Self::ServerLeave
                | Self::ServerHang
                | Self::CutPlatform
                | Self::StoreDown
                | Self::StoreSlow
                | Self::StoreReplyLost
                | Self::TwoOperators
        )
    }
}

/// All rows, with their names in the table.
pub(crate) const FAULTS: [(Fault, &str); 19] = [
    (Fault::Lost, "message lost"),
    (Fault::ReplyLost, "reply lost after its effect"),
    (Fault::Doubled, "message doubled"),
    (Fault::Late, "message late (4 s)"),
    (Fault::Crossed, "message crossed"),
    (Fault::ServerCrash, "backend server crashes"),
    (Fault::ServerLeave, "backend server leaves"),
    (Fault::ServerHang, "backend server hangs (6 s)"),
    (Fault::RouterCrash, "router crashes, back after 5 s"),
    (Fault::RouterPause, "router paused (6 s)"),
    (Fault::RouterEmpty, "router restarts empty at once"),
    (Fault::CutRouters, "router cut off from routers (6 s)"),
    (Fault::CutPlatform, "router cut off from the platform (6 s)"),
    (Fault::CutZone, "zone cut off from zones and platform (6 s)"),
    (Fault::StoreDown, "key-value service down (6 s)"),
    (Fault::StoreSlow, "key-value service slow (3 s a call)"),
    (
        Fault::StoreReplyLost,
        "key-value reply lost after its effect",
    ),
    (Fault::LeaseLapse, "lease lapses in a pause"),
    (Fault::TwoOperators, "two operators at once"),
];

/// A fault at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Strike {
    pub(crate) fault: Fault,
    pub(crate) step: Step,
}

/// The faults of one run, and which of them have struck.
#[derive(Debug, Clone, Default)]
pub(crate) struct Plan {
    waiting: Vec<Strike>,
    pub(crate) struck: Vec<Strike>,
    /// A reply of this kind of way is to be dropped: from one router to another.
    drop_reply: Option<(RouterNo, RouterNo)>,
}

impl Plan {
    pub(crate) fn new(strikes: &[Strike]) -> Self {
        Self {
            waiting: strikes.to_vec(),
            ..Self::default()
        }
    }
}

impl World {
    /// Lets the faults of the plan strike that wait for this item; returns what is delivered now.
    pub(crate) fn strike_plan(&mut self, item: Item) -> Vec<Item> {
        if self.drops_reply(&item) {
            return Vec::new();
        }
        let over = self.now() >= LAST_STRIKE;
        let hit = |strike: &Strike| !over && strike.step.matches(&item, self);
        let Some(place) = self.plan.waiting.iter().position(hit) else {
            return vec![item];
        };
        let strike = self.plan.waiting.remove(place);
        self.plan.struck.push(strike);
        let left = self.apply(strike.fault, item);
        // A second fault may strike at the same step.
        left.into_iter()
            .flat_map(|item| self.strike_plan(item))
            .collect()
    }

    fn drops_reply(&mut self, item: &Item) -> bool {
        let Item::Peer { from, to, .. } = item else {
            return false;
        };
        let sender = self.routers.iter().position(|one| one.me.host == from.host);
        let drops =
            self.plan.drop_reply.is_some() && self.plan.drop_reply == sender.map(|s| (s, *to));
        if drops {
            self.plan.drop_reply = None;
        }
        drops
    }

    fn apply(&mut self, fault: Fault, item: Item) -> Vec<Item> {
        match fault {
            Fault::Lost => return self.lose(item),
            Fault::ReplyLost => return self.lose_reply(item),
            Fault::Doubled => return self.double(item),
            Fault::Late => return self.delay(item, LATE),
            Fault::Crossed => return self.delay(item, CROSSED),
            _ => {}
        }
        let router = item.concerns().unwrap_or(1);
        match fault {
            Fault::ServerCrash => self.crash_server(self.server_of(&item)),
            Fault::ServerLeave => self.mark_leaving(self.server_of(&item)),
            Fault::ServerHang => {
                let until = self.now() + LONG;
                let no = self.server_of(&item);
                self.servers[no].hung_until = until;
            }
            Fault::RouterCrash => self.crash_router(router, true),
            Fault::RouterEmpty => self.crash_router(router, false),
            Fault::RouterPause => self.pause_router(router, LONG),
            Fault::LeaseLapse => self.pause_router(router, LEASE_PAUSE),
            Fault::CutRouters => self.cut_routers(router, |_| true),
            Fault::CutPlatform => self.platform_cut[router] = self.now() + LONG,
            Fault::CutZone => self.cut_zone(router),
            Fault::StoreDown => {
                self.store.set_down(true);
                self.later(LONG, Item::StoreUp);
            }
            Fault::StoreSlow => self.slow_until = self.now() + LONG,
            Fault::StoreReplyLost => self.store.fault_in(1, StoreFault::LostAfter),
            _ => {}
        }
        vec![item]
    }

    fn double(&mut self, item: Item) -> Vec<Item> {
        if let Item::StoreCall { router, call, .. } = &item {
            // Of the two copies the router gets the reply to the second.
            self.store_call(*router, call);
            return vec![item];
        }
        if matches!(item, Item::ToServer { .. }) {
            // A connection delivers once; see the excuses of the steps.
            return vec![item];
        }
        vec![item.clone(), item]
    }

    fn cut_routers(&mut self, router: RouterNo, which: impl Fn(&str) -> bool) {
        for other in (0..self.routers.len()).filter(|other| *other != router) {
            if which(self.routers[other].zone) {
                self.cut_off(router, other, LONG);
            }
        }
    }

    fn cut_zone(&mut self, router: RouterNo) {
        let zone = self.routers[router].zone;
        for no in 0..self.routers.len() {
            if self.routers[no].zone == zone {
                self.platform_cut[no] = self.now() + LONG;
                self.cut_routers(no, |other| other != zone);
            }
        }
    }

    /// The server that a step is about; before there is one, the first of the pool.
    fn server_of(&self, item: &Item) -> ServerNo {
        let placed = |attempt| self.placed.get(&attempt).copied();
        let found = match item {
            Item::ToServer { server, .. } => Some(*server),
            Item::FromServer { conn, .. } => placed(conn.attempt),
            _ => self.placed.values().next_back().copied(),
        };
        found.unwrap_or(match self.callers.values().next() {
            Some(caller) if caller.work.kind.once() => 3,
            _ => 0,
        })
    }

    fn delay(&mut self, item: Item, time: Mono) -> Vec<Item> {
        if let Item::StoreCall { router, life, call } = &item {
            if matches!(call, Call::Commit(_)) && time == LATE {
                // The service applies the write late, and its reply is lost.
                self.store.fault_in(1, StoreFault::Late(2));
                let result = self.store_call(*router, call);
                self.store_reply(*router, *life, result);
                return Vec::new();
            }
        }
        if let Item::FromServer { conn, .. } = &item {
            self.stall_for(*conn, time);
            return vec![item];
        }
        self.later(time, item);
        Vec::new()
    }

    fn lose(&mut self, item: Item) -> Vec<Item> {
        match item {
            Item::StoreCall { router, life, call } => {
                self.store_reply(router, life, lost(&call));
            }
            Item::StoreReply {
                router,
                life,
                result,
            } => {
                let result = match result {
                    CallResult::Got(_) => CallResult::Got(Err(unavailable())),
                    CallResult::Committed(_) => CallResult::Committed(Err(lost_error())),
                };
                let item = Item::StoreReply {
                    router,
                    life,
                    result,
                };
                self.later(ms(1_000), item);
            }
            Item::ToServer {
                router,
                server,
                conn,
                ..
            } => self.break_conn(router, server, conn),
            Item::FromServer { router, conn, .. } => {
                let server = self.placed[&conn.attempt];
                self.break_conn(router, server, conn);
            }
            _ => {}
        }
        Vec::new()
    }

    fn lose_reply(&mut self, item: Item) -> Vec<Item> {
        match &item {
            Item::StoreCall { router, life, call } => {
                let effect = self.store_call(*router, call);
                let applied = matches!(effect, CallResult::Committed(Ok(_)));
                let result = if applied { lost(call) } else { effect };
                self.store_reply(*router, *life, result);
                Vec::new()
            }
            Item::ToServer {
                router,
                server,
                conn,
                call: ServerCall::Request(work),
            } => {
                self.server_call(*router, *server, *conn, ServerCall::Request(*work));
                self.break_conn(*router, *server, *conn);
                Vec::new()
            }
            Item::Peer { from, to, .. } => {
                let back = self.routers.iter().position(|one| one.me.host == from.host);
                self.plan.drop_reply = back.map(|back| (*to, back));
                vec![item]
            }
            _ => vec![item],
        }
    }
}

fn lost_error() -> StoreError {
    StoreError::Lost {
        detail: "fault at this step".to_owned(),
    }
}

fn unavailable() -> StoreError {
    StoreError::Unavailable {
        detail: "fault at this step".to_owned(),
    }
}

fn lost(call: &Call) -> CallResult {
    match call {
        Call::Get(_) => CallResult::Got(Err(unavailable())),
        Call::Commit(_) => CallResult::Committed(Err(lost_error())),
    }
}
