//! The deciding thread: every state machine of the router, one input at a time.
//!
//! A [`Decider`] holds the membership view, the requester, the dispatchers of which this router is
//! the holder, the documents in force, the retry budgets and the register of suspects. It takes an
//! [`Input`] or an event of a link, hands it to the machine in charge, and
//! carries what comes out to the next machine or to the wires. It blocks on nothing.

mod directory;
mod documents;
mod fleet;
mod observe;
mod orders;
mod requests;
mod run;
mod show;
mod slots;
mod suspects;
mod wires;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_core::id::HostId;
use primrose_core::id::Member;
use primrose_core::id::PoolId;
use primrose_core::id::RegionId;
use primrose_core::id::RequestId;
use primrose_core::id::ZoneId;
use primrose_core::table::Table;
use primrose_dispatch::dispatcher::Dispatcher;
use primrose_dispatch::requester::Requester;
use primrose_dispatch::timing::TICK_INTERVAL;
use primrose_link::LinkEvent;
use primrose_member::View;
use primrose_retry::Budget;
use primrose_suspect::Register;
use primrose_table::accounts::Accounts;
use primrose_table::activation::ActiveDocument;
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::input::Input;
use crate::message::DocumentKind;
use crate::message::PeerMessage;
use crate::published::Published;
use crate::reporter::ReportInput;
use crate::reporter::Reporter;
use crate::router::Sharing;

pub(crate) use directory::ROUTER_SERVICE;
pub(crate) use run::run;
pub(crate) use wires::Wires;

use directory::Directory;
use observe::Observer;
use requests::Pending;

/// Time between two ticks while nothing waits.
const IDLE_TICK: Duration = Duration::from_millis(50);

/// A link that is up.
#[derive(Debug, Clone)]
struct Link {
    member: Member,
    zone: ZoneId,
}

/// All deciding state of one router.
pub(crate) struct Decider {
    me: Member,
    zone: ZoneId,
    region: RegionId,
    started: Mono,
    /// When the key-value service last showed a document.
    platform_heard: Option<Mono>,
    clock: Arc<dyn Clock>,
    wires: Box<dyn Wires>,
    published: Arc<Published>,
    sharing: Sharing,
    rng: StdRng,
    view: View,
    directory: Directory,
    tables: ActiveDocument<Table>,
    accounts: ActiveDocument<Accounts>,
    requester: Requester,
    dispatchers: BTreeMap<PoolId, Dispatcher>,
    holders: BTreeMap<PoolId, Option<Member>>,
    peers: BTreeMap<PoolId, BTreeMap<ZoneId, Option<Member>>>,
    /// Pools whose servers this router orders.
    ordered: BTreeSet<PoolId>,
    pending: HashMap<RequestId, Pending>,
    budgets: BTreeMap<PoolId, Budget>,
    suspects: Register,
    links: BTreeMap<HostId, Link>,
    next_view: Mono,
    next_headers: Mono,
    next_holders: Mono,
    /// Until when servers are asked more often for their load.
    orphans_until: Mono,
    next_sweep: Mono,
    draining: bool,
    observer: Observer,
}

impl Decider {
    /// Makes the state of a router that knows nothing yet.
    pub(crate) fn new(
        view: primrose_member::Settings,
        clock: Arc<dyn Clock>,
        wires: Box<dyn Wires>,
        published: Arc<Published>,
        sharing: Sharing,
        seed: u64,
        reporter: Reporter,
    ) -> Self {
        let now = clock.now();
        Self {
            me: view.me.clone(),
            zone: view.zone.clone(),
            region: view.regions.get(&view.zone).cloned().unwrap_or_default(),
            started: now,
            platform_heard: None,
            wires,
            published,
            sharing,
            rng: StdRng::seed_from_u64(seed),
            view: View::new(view, now),
            directory: Directory::default(),
            tables: ActiveDocument::new(DocumentKind::Tables.name()),
            accounts: ActiveDocument::new(DocumentKind::Accounts.name()),
            requester: Requester::new(Arc::new(Table::default())),
            dispatchers: BTreeMap::new(),
            holders: BTreeMap::new(),
            peers: BTreeMap::new(),
            ordered: BTreeSet::new(),
            pending: HashMap::new(),
            budgets: BTreeMap::new(),
            suspects: Register::new(primrose_suspect::Limits::default()),
            links: BTreeMap::new(),
            next_view: now,
            next_headers: now,
            next_holders: now,
            orphans_until: now,
            next_sweep: now,
            draining: false,
            observer: Observer::new(reporter, now),
            clock,
        }
    }

    /// Takes one input of another thread; [`Input::Stop`] is the loop's own.
    pub(crate) fn handle(&mut self, input: Input) {
        match input {
            Input::Ask(ask) => self.ask(ask),
            Input::Hosts(seen) => self.hosts(seen),
            Input::Load(load) => self.load(load),
            Input::Shown(shown) => self.shown(shown),
            Input::Drain => self.drain(),
            Input::Abandon => self.abandon(),
            Input::Status(reply) => {
                // An operator that has given up needs no answer.
                let _ = reply.try_send(self.status());
            }
            Input::Text(kind, reply) => {
                let _ = reply.try_send(self.text(kind));
            }
            Input::Suspects(reply) => {
                let _ = reply.try_send(self.suspect_list());
            }
            Input::Lift(fingerprint, reply) => {
                let _ = reply.try_send(self.lift(fingerprint));
            }
            Input::Finish(reply) => self.finish_day(reply),
            Input::Stop => {}
        }
    }

    /// Takes one event of the links.
    pub(crate) fn link(&mut self, event: LinkEvent<PeerMessage>) {
        match event {
            LinkEvent::Up { member, zone, addr } => self.link_up(member, zone, addr),
            LinkEvent::Down { member, reason } => {
                log::info!(peer = member.host.as_str(); "link went down: {reason}");
                self.link_down(member);
            }
            LinkEvent::Message { from, message } => self.peer_message(&from, message),
            LinkEvent::Refused { addr, reason } => {
                log::debug!("a connection with {addr} did not become a link: {reason}");
            }
        }
    }

    fn peer_message(&mut self, from: &Member, message: PeerMessage) {
        match message {
            PeerMessage::Beat(beat) => self.beat(from, beat),
            PeerMessage::Dispatch(message) => self.dispatch_message(from.clone(), message),
            PeerMessage::Routed(routed) => self.routed(routed),
            PeerMessage::Header(header) => self.peer_header(from, header),
            PeerMessage::Fetch(kind) => self.send_document(from, kind),
            PeerMessage::Document(text) => self.fetched(from, text),
            PeerMessage::Suspects(message) => self.peer_suspects(from, &message),
            PeerMessage::Record(record) => self.peer_record(from, record),
            PeerMessage::Held(name) => {
                // Without room the record counts as not held.
                self.observer.reporter.tell(ReportInput::Held(name));
            }
        }
    }

    /// Lets time pass; wanted after each [`Decider::pause`].
    pub(crate) fn tick(&mut self) {
        let now = self.clock.now();
        if now >= self.next_view {
            self.tick_view(now);
        }
        if now >= self.next_headers {
            self.tell_headers(now);
        }
        if now >= self.next_sweep {
            self.sweep_suspects(now);
        }
        self.tick_slots(now);
        self.sample(now);
    }

    /// Time that may pass until the next tick: short only while something waits for a slot.
    pub(crate) fn pause(&self) -> Duration {
        let waits = self.pending.values().any(requests::Pending::waits);
        let wanted = self.dispatchers.values().any(Dispatcher::has_demand);
        if waits || wanted {
            TICK_INTERVAL
        } else {
            IDLE_TICK
        }
    }
}
