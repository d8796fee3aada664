//! Callers: what they ask, and what they truly saw.

use primrose_core::id::AttemptId;
use primrose_core::id::RequestId;
use primrose_core::table::PoolKind;
use primrose_request::FinalResult;
use primrose_request::IdempotencyKey;
use primrose_request::Seq;
use primrose_request::Spec;
use primrose_support::tables::model_route;
use primrose_support::tables::order_route;

use super::item::RouterNo;
use super::ms;

/// What a caller wants, apart from how often it asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Work {
    /// Tells two pieces of work apart.
    pub(crate) id: u64,
    /// What kind it is.
    pub(crate) kind: WorkKind,
}

/// Kinds of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WorkKind {
    /// An idempotent request with a streamed answer.
    Draft,
    /// The same, with the answer read whole.
    Summary,
    /// A non-idempotent call of a plain service, with a key.
    Order,
    /// The same without a key.
    KeylessOrder,
    /// A draft that crashes every server that runs it.
    Poison,
}

impl WorkKind {
    /// Whether it may run only once.
    pub(crate) fn once(self) -> bool {
        matches!(self, Self::Order | Self::KeylessOrder)
    }
}

/// One request of a caller, and everything that came back.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) work: Work,
    pub(crate) router: RouterNo,
    /// What ended the answer; more than one is a fault.
    pub(crate) heard: Vec<FinalResult>,
    /// Items that came, each with the attempt that made it.
    pub(crate) seen: Vec<(AttemptId, Seq)>,
    /// The answer stored with a claim, if that is what came.
    pub(crate) stored: Option<Vec<u8>>,
    /// The connection to the router broke.
    pub(crate) cut: bool,
    /// The caller has closed the connection.
    pub(crate) left: bool,
}

impl Caller {
    pub(crate) fn new(work: Work, router: RouterNo) -> Self {
        Self {
            work,
            router,
            heard: Vec::new(),
            seen: Vec::new(),
            stored: None,
            cut: false,
            left: false,
        }
    }

    /// Whether nothing more can come.
    pub(crate) fn is_over(&self) -> bool {
        self.cut || self.left || !self.heard.is_empty()
    }

    /// The request as a router reads it.
    pub(crate) fn spec(&self, id: RequestId, suspect: bool) -> Spec {
        let work = self.work;
        let mut route = match work.kind.once() {
            false => model_route("draft", "draft-7b", "chat"),
            true => order_route("order", "/orders", "orders"),
        };
        route.deadline = ms(10_000);
        let key = format!("work-{}", work.id);
        let key = IdempotencyKey::parse(&key).expect("the key is well formed");
        Spec {
            id,
            account: "parish-3".to_owned(),
            route,
            kind: if work.kind.once() {
                PoolKind::Plain
            } else {
                PoolKind::Engine
            },
            stream: matches!(work.kind, WorkKind::Draft | WorkKind::Poison),
            key: (work.kind == WorkKind::Order).then_some(key),
            body: [u8::try_from(work.id % 256).expect("less than 256"); 32],
            fingerprint: work.id,
            suspect,
        }
    }
}

/// Bytes of an answer: they name the attempt that made it.
pub(crate) fn answer_of(attempt: AttemptId) -> Vec<u8> {
    attempt.to_string().into_bytes()
}
