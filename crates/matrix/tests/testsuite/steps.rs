//! The steps of a request, a claim, a table change, an order to a server, and a shutdown.

use primrose_core::id::RequestId;
use primrose_dispatch::message::Body;
use primrose_request::ConnEvent;
use primrose_store::store::Op;

use primrose_claim::Call;

use crate::sim::fault::Fault;
use crate::sim::item::Item;
use crate::sim::item::ServerCall;
use crate::sim::world::World;

/// The request whose steps are the columns.
pub(crate) const WATCHED: RequestId = 1;
/// The router that takes it.
pub(crate) const INGRESS: usize = 1;
/// The router that takes its resend.
pub(crate) const RESEND: usize = 2;

/// What the fleet does; each has its own columns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Process {
    Request,
    Claim,
    Shutdown,
    Table,
    ServerOrder,
}

/// A column.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Step {
    Register,
    Grant,
    Connect,
    Send,
    Head,
    Item,
    End,
    Finished,
    ClaimWrite,
    ClaimReply,
    OrderRegister,
    OrderGrant,
    OrderSend,
    OrderAnswer,
    SettleWrite,
    SettleReply,
    ResendWrite,
    ResendRead,
    DrainBegin,
    DrainGrant,
    DrainItem,
    DrainEnd,
    DrainFinished,
    HardEnd,
    TableRead,
    TableCommit,
    TableReply,
    TableWatch,
    TableHeader,
    TableFetch,
    TableDocument,
    ServerLease,
    ServerOrder,
    ServerReply,
    ServerReadBack,
    /// The n-th message of any kind.
    Nth(u32),
}

/// All columns with their process and their name in the table.
pub(crate) const STEPS: [(Process, Step, &str); 35] = [
    (Process::Request, Step::Register, "register"),
    (Process::Request, Step::Grant, "grant"),
    (Process::Request, Step::Connect, "connect"),
    (Process::Request, Step::Send, "send"),
    (Process::Request, Step::Head, "head"),
    (Process::Request, Step::Item, "item"),
    (Process::Request, Step::End, "end"),
    (Process::Request, Step::Finished, "report"),
    (Process::Claim, Step::ClaimWrite, "claim"),
    (Process::Claim, Step::ClaimReply, "claim reply"),
    (Process::Claim, Step::OrderRegister, "register"),
    (Process::Claim, Step::OrderGrant, "grant"),
    (Process::Claim, Step::OrderSend, "send"),
    (Process::Claim, Step::OrderAnswer, "answer"),
    (Process::Claim, Step::SettleWrite, "settle"),
    (Process::Claim, Step::SettleReply, "settle reply"),
    (Process::Claim, Step::ResendWrite, "resend's claim"),
    (Process::Claim, Step::ResendRead, "resend's read"),
    (Process::Shutdown, Step::DrainBegin, "begin"),
    (Process::Shutdown, Step::DrainGrant, "grant"),
    (Process::Shutdown, Step::DrainItem, "item"),
    (Process::Shutdown, Step::DrainEnd, "end"),
    (Process::Shutdown, Step::DrainFinished, "report"),
    (Process::Shutdown, Step::HardEnd, "limit"),
    (Process::Table, Step::TableRead, "read base"),
    (Process::Table, Step::TableCommit, "swap"),
    (Process::Table, Step::TableReply, "swap reply"),
    (Process::Table, Step::TableWatch, "watch"),
    (Process::Table, Step::TableHeader, "peer header"),
    (Process::Table, Step::TableFetch, "peer fetch"),
    (Process::Table, Step::TableDocument, "peer document"),
    (Process::ServerOrder, Step::ServerLease, "lease"),
    (Process::ServerOrder, Step::ServerOrder, "order"),
    (Process::ServerOrder, Step::ServerReply, "reply"),
    (Process::ServerOrder, Step::ServerReadBack, "read back"),
];

/// Why a fault cannot strike at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Excuse {
    NoMessage,
    NoReply,
    OnlyOnce,
    NoLease,
    NoOperator,
    NoServer,
    NoRouter,
}

impl Excuse {
    /// All excuses, in the order of their numbers in the table.
    pub(crate) const ALL: [Self; 7] = [
        Self::NoMessage,
        Self::NoReply,
        Self::OnlyOnce,
        Self::NoLease,
        Self::NoOperator,
        Self::NoServer,
        Self::NoRouter,
    ];

    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::NoMessage => "the step is a local event: no message that could be lost, doubled or late",
            Self::NoReply => "the step has no reply of its own that could be lost",
            Self::OnlyOnce => "one TCP connection delivers a request once; a second copy would need a second connection, which only the request's state machine opens",
            Self::NoLease => "no lease is held at this step",
            Self::NoOperator => "no operator takes part in this step",
            Self::NoServer => "no backend server takes part in a table change",
            Self::NoRouter => "only the operator's program and the key-value service take part in this step",
        }
    }
}

impl Step {
    /// Whether the item is the one at which this step happens.
    pub(crate) fn matches(self, item: &Item, world: &World) -> bool {
        match self {
            Self::Register | Self::OrderRegister => {
                matches!(item.body(), Some(Body::Register(one)) if one.request == WATCHED)
            }
            Self::Grant | Self::OrderGrant => {
                matches!(item.body(), Some(Body::Grant(one)) if one.attempt.request == WATCHED)
            }
            Self::Finished => {
                matches!(item.body(), Some(Body::Finished(one)) if one.attempt.request == WATCHED)
            }
            Self::Send | Self::OrderSend => sends(item),
            Self::Connect => brings(item, |event| event == ConnEvent::Connected),
            Self::Head => brings(item, |event| matches!(event, ConnEvent::Head { .. })),
            Self::Item => brings(item, |event| event == ConnEvent::Item { seq: 2 }),
            Self::OrderAnswer => brings(item, |event| event == ConnEvent::Item { seq: 1 }),
            Self::End => brings(item, |event| event == ConnEvent::BodyEnd),
            Self::ClaimWrite => commits(item, INGRESS, |op| matches!(op, Op::Create { .. })),
            Self::SettleWrite => commits(item, INGRESS, |op| matches!(op, Op::Swap { .. })),
            Self::ClaimReply => replies(item),
            Self::SettleReply => replies(item) && watched_is_over(world),
            Self::ResendWrite => commits(item, RESEND, |_| true),
            Self::ResendRead => {
                matches!(
                    item,
                    Item::StoreCall {
                        router: RESEND,
                        call: Call::Get(_),
                        ..
                    }
                )
            }
            Self::DrainBegin => matches!(item, Item::Drain { .. }),
            Self::HardEnd => matches!(item, Item::HardEnd { .. }),
            Self::DrainGrant => drains(item, world) && matches!(item.body(), Some(Body::Grant(_))),
            Self::DrainItem => {
                drains(item, world) && any(item, |event| matches!(event, ConnEvent::Item { .. }))
            }
            Self::DrainEnd => drains(item, world) && any(item, |event| event == ConnEvent::BodyEnd),
            Self::DrainFinished => {
                let draining = &world.routers[INGRESS];
                let from = matches!(item, Item::Peer { from, .. } if *from == draining.me);
                let finished = matches!(item.body(), Some(Body::Finished(_)));
                from && finished && draining.draining
            }
            Self::Nth(number) => world.messages == number && is_message(item),
            _ => false,
        }
    }

    /// Why the fault cannot strike here, if it cannot.
    pub(crate) fn excuse(self, fault: Fault) -> Option<Excuse> {
        let local = matches!(self, Self::DrainBegin | Self::HardEnd);
        let message = matches!(
            fault,
            Fault::Lost | Fault::ReplyLost | Fault::Doubled | Fault::Late | Fault::Crossed
        );
        if local && message {
            return Some(Excuse::NoMessage);
        }
        match fault {
            Fault::ReplyLost if self.is_one_way() => Some(Excuse::NoReply),
            Fault::Doubled if matches!(self, Self::Send | Self::OrderSend | Self::ServerOrder) => {
                Some(Excuse::OnlyOnce)
            }
            Fault::LeaseLapse if !self.is_leased() => Some(Excuse::NoLease),
            Fault::TwoOperators if !self.is_operators() => Some(Excuse::NoOperator),
            Fault::ServerCrash | Fault::ServerLeave | Fault::ServerHang if self.is_table() => {
                Some(Excuse::NoServer)
            }
            Fault::RouterCrash
            | Fault::RouterPause
            | Fault::RouterEmpty
            | Fault::CutRouters
            | Fault::CutPlatform
            | Fault::CutZone
                if self.is_operators() =>
            {
                Some(Excuse::NoRouter)
            }
            _ => None,
        }
    }

    fn is_one_way(self) -> bool {
        matches!(
            self,
            Self::Connect
                | Self::Head
                | Self::Item
                | Self::End
                | Self::OrderAnswer
                | Self::ClaimReply
                | Self::SettleReply
                | Self::DrainItem
                | Self::DrainEnd
                | Self::TableReply
                | Self::TableWatch
                | Self::TableHeader
                | Self::TableDocument
                | Self::ServerReply
        )
    }

    fn is_leased(self) -> bool {
        matches!(
            self,
            Self::Grant
                | Self::Connect
                | Self::OrderGrant
                | Self::DrainGrant
                | Self::ServerLease
                | Self::ServerOrder
                | Self::ServerReply
                | Self::ServerReadBack
        )
    }

    fn is_operators(self) -> bool {
        matches!(self, Self::TableRead | Self::TableCommit | Self::TableReply)
    }

    fn is_table(self) -> bool {
        self.is_operators()
            || matches!(
                self,
                Self::TableWatch | Self::TableHeader | Self::TableFetch | Self::TableDocument
            )
    }
}

fn sends(item: &Item) -> bool {
    match item {
        Item::ToServer {
            conn,
            call: ServerCall::Request(_),
            ..
        } => conn.attempt.request == WATCHED,
        _ => false,
    }
}

fn brings(item: &Item, wanted: impl Fn(ConnEvent) -> bool) -> bool {
    match item {
        Item::FromServer { conn, event, .. } => conn.attempt.request == WATCHED && wanted(*event),
        _ => false,
    }
}

fn any(item: &Item, wanted: impl Fn(ConnEvent) -> bool) -> bool {
    matches!(item, Item::FromServer { event, .. } if wanted(*event))
}

fn commits(item: &Item, no: usize, wanted: impl Fn(&Op) -> bool) -> bool {
    match item {
        Item::StoreCall {
            router,
            call: Call::Commit(ops),
            ..
        } => *router == no && ops.iter().any(wanted),
        _ => false,
    }
}

fn replies(item: &Item) -> bool {
    matches!(
        item,
        Item::StoreReply {
            router: INGRESS,
            ..
        }
    )
}

fn watched_is_over(world: &World) -> bool {
    let live = world.routers[INGRESS].lives.get(&WATCHED);
    live.is_some_and(|live| live.life.is_over())
}

fn drains(item: &Item, world: &World) -> bool {
    item.router() == Some(INGRESS) && world.routers[INGRESS].draining
}

/// Whether the item is a message between two processes.
pub(crate) fn is_message(item: &Item) -> bool {
    matches!(
        item,
        Item::Peer { .. }
            | Item::ToServer { .. }
            | Item::FromServer { .. }
            | Item::StoreCall { .. }
            | Item::StoreReply { .. }
    )
}
