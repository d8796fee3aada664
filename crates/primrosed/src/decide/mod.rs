//! The deciding thread: runs all state machines of the router, one input at a time.
//!
//! A [`Decider`] owns the membership view, the requester, the dispatchers that this router holds,
//! the active documents, the retry budgets and the register of suspects. It passes each [`Input`]
//! or link event to the state machine that handles it, and passes the resulting actions to the next
//! state machine or to the peer links. It never blocks.

mod directory;
mod documents;
mod fleet;
mod observe;
mod orders;
mod requests;
mod run;
mod slots;
mod status;
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
use crate::reporter::ReportInput;
use crate::reporter::Reporter;
use crate::router::Sharing;
use crate::snapshots::Snapshots;

pub(crate) use directory::ROUTER_SERVICE;
pub(crate) use run::run;
pub(crate) use wires::PeerLinks;

use directory::Directory;
use observe::Observer;
use requests::Pending;

/// Time between two ticks while no request waits for a slot.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// An established link to a peer.
#[derive(Debug, Clone)]
struct Link {
    member: Member,
    zone: ZoneId,
}

/// State machines of one router and the state that they share.
pub(crate) struct Decider {
    me: Member,
    zone: ZoneId,
    region: RegionId,
    started: Mono,
    /// When a read from the key-value service last succeeded.
    platform_last_read: Option<Mono>,
    clock: Arc<dyn Clock>,
    peer_links: Box<dyn PeerLinks>,
    snapshots: Arc<Snapshots>,
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
    /// Pools to whose servers this router sends orders.
    ordered: BTreeSet<PoolId>,
    pending: HashMap<RequestId, Pending>,
    budgets: BTreeMap<PoolId, Budget>,
    suspects: Register,
    links: BTreeMap<HostId, Link>,
    next_view: Mono,
    next_headers: Mono,
    next_holders: Mono,
    /// End of the time in which servers are polled more often for their load.
    orphaned_slots_until: Mono,
    next_sweep: Mono,
    draining: bool,
    observer: Observer,
}

impl Decider {
    /// Creates the state of a router that has no documents, hosts or links yet.
    pub(crate) fn new(
        view: primrose_member::Settings,
        clock: Arc<dyn Clock>,
        peer_links: Box<dyn PeerLinks>,
        snapshots: Arc<Snapshots>,
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
            platform_last_read: None,
            peer_links,
            snapshots,
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
            orphaned_slots_until: now,
            next_sweep: now,
            draining: false,
            observer: Observer::new(reporter, now),
            clock,
        }
    }

    /// Handles an input of another thread; [`Input::Stop`] is handled by the event loop instead.
    pub(crate) fn handle(&mut self, input: Input) {
        match input {
            Input::Ask(ask) => self.handle_ask(ask),
            Input::Hosts(listed) => self.handle_hosts(listed),
            Input::Load(load) => self.handle_load(load),
            Input::DocumentRead(read) => self.handle_document_read(read),
            Input::Drain => self.drain(),
            Input::Abandon => self.abandon(),
            Input::Status(reply) => {
                // Fails if the operator request has timed out.
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

    /// Handles an event of the peer links.
    pub(crate) fn handle_link(&mut self, event: LinkEvent<PeerMessage>) {
        match event {
            LinkEvent::Up { member, zone, addr } => self.link_up(member, zone, addr),
            LinkEvent::Down { member, reason } => {
                log::info!(peer = member.host.as_str(); "link went down: {reason}");
                self.link_down(member);
            }
            LinkEvent::Message { from, message } => self.peer_message(&from, message),
            LinkEvent::Refused { addr, reason } => {
                log::debug!("failed to establish a link with {addr}: {reason}");
            }
        }
    }

    fn peer_message(&mut self, from: &Member, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.handle_heartbeat(from, heartbeat),
            PeerMessage::Dispatch(message) => self.dispatch_message(from.clone(), message),
            PeerMessage::Routed(routed) => self.handle_routed(routed),
            PeerMessage::Header(header) => self.peer_header(from, header),
            PeerMessage::Fetch(kind) => self.send_document(from, kind),
            PeerMessage::Document(text) => self.handle_fetched(from, text),
            PeerMessage::Suspects(message) => self.peer_suspects(from, &message),
            PeerMessage::Record(record) => self.peer_record(from, record),
            PeerMessage::RecordAck(id) => {
                // If the channel is full, the record counts as not acknowledged.
                self.observer.reporter.try_send(ReportInput::RecordAck(id));
            }
        }
    }

    /// Runs periodic work; must be called at intervals of [`Decider::tick_delay`].
    pub(crate) fn tick(&mut self) {
        let now = self.clock.now();
        if now >= self.next_view {
            self.tick_view(now);
        }
        if now >= self.next_headers {
            self.advertise_documents(now);
        }
        if now >= self.next_sweep {
            self.sweep_suspects(now);
        }
        self.tick_slots(now);
        self.sample(now);
    }

    /// Returns the time until the next tick, which is short only while a request waits for a slot.
    pub(crate) fn tick_delay(&self) -> Duration {
        let waits = self.pending.values().any(requests::Pending::is_waiting);
        let has_demand = self.dispatchers.values().any(Dispatcher::has_demand);
        if waits || has_demand {
            TICK_INTERVAL
        } else {
            IDLE_TICK_INTERVAL
        }
    }
}
