//! Documents in force: from the key-value service, from peers, and on to peers.

use std::sync::Arc;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::Member;
use primrose_core::table::Table;
use primrose_dispatch::dispatcher;
use primrose_dispatch::requester;
use primrose_member::TableVersion;
use primrose_table::accounts::Accounts;
use primrose_table::activation::Action;
use primrose_table::activation::DocumentContent;
use primrose_table::activation::Event;
use primrose_table::header::Header;

use crate::decide::Decider;
use crate::input::Shown;
use crate::message::DocumentHeader;
use crate::message::DocumentKind;
use crate::message::DocumentText;
use crate::message::PeerMessage;
use crate::message::DOCUMENT_KINDS;

/// Time between two rounds in which peers are told again what is in force.
const HEADERS_EVERY: Duration = Duration::from_secs(10);

/// What follows from an event on a document, whichever its kind.
struct Outcome<T> {
    used: Option<Arc<T>>,
    fetch: Vec<primrose_core::id::HostId>,
}

fn sort<T: DocumentContent>(kind: DocumentKind, actions: Vec<Action<T>>) -> Outcome<T> {
    let mut outcome = Outcome {
        used: None,
        fetch: Vec::new(),
    };
    for action in actions {
        match action {
            Action::Activate(accepted) => {
                log::info!(document = kind.name(); "document in force: {}", accepted.header);
                outcome.used = Some(Arc::clone(&accepted.content));
            }
            Action::Fetch(host) => outcome.fetch.push(host),
            Action::Report(report) => log::warn!(document = kind.name(); "{report}"),
        }
    }
    outcome
}

impl Decider {
    /// Takes what the key-value service showed.
    pub(super) fn shown(&mut self, shown: Shown) {
        self.platform_heard = Some(self.clock.now());
        let event = Event::Store {
            generation_at_read: shown.asked,
            value: shown.value,
        };
        self.document_event(shown.kind, event);
    }

    /// Takes what a peer has in force.
    pub(super) fn peer_header(&mut self, from: &Member, header: DocumentHeader) {
        if header.kind == DocumentKind::Tables {
            let now = self.clock.now();
            self.observer.heard_of(header.generation, now);
        }
        let event = Event::Peer {
            host: from.host.clone(),
            header: header.header(),
        };
        self.document_event(header.kind, event);
    }

    /// Takes a document that a peer sent.
    pub(super) fn fetched(&mut self, from: &Member, text: DocumentText) {
        let event = Event::Fetched {
            host: from.host.clone(),
            value: text.text.into_bytes(),
        };
        self.document_event(text.kind, event);
    }

    fn document_event(&mut self, kind: DocumentKind, event: Event) {
        let now = self.clock.now();
        let fetch = match kind {
            DocumentKind::Tables => {
                let outcome = sort(kind, self.tables.decide(event, now));
                if let Some(table) = outcome.used {
                    self.use_table(table, now);
                }
                outcome.fetch
            }
            DocumentKind::Accounts => {
                let outcome = sort(kind, self.accounts.decide(event, now));
                if let Some(accounts) = outcome.used {
                    self.use_accounts(accounts);
                }
                outcome.fetch
            }
        };
        for host in fetch {
            self.wires.send(&host, &PeerMessage::Fetch(kind));
        }
    }

    fn use_table(&mut self, table: Arc<Table>, now: Mono) {
        self.directory.set_table(Arc::clone(&table));
        self.published.set_table(Arc::clone(&table));
        let event = requester::Event::Table(Arc::clone(&table));
        let actions = self.requester.handle(event, now);
        self.requester_actions(actions, now);
        for (name, pool) in &table.pools {
            if let Some(dispatcher) = self.dispatchers.get_mut(name) {
                let actions = dispatcher.handle(dispatcher::Event::Pool(pool.clone()), now);
                self.dispatcher_actions(actions);
            }
        }
        if let Some(header) = self.header(DocumentKind::Tables) {
            self.observer.in_force(header.generation, now);
            let mark = TableVersion {
                generation: header.generation,
                change: format!("{:016x}", header.change),
            };
            self.view_event(primrose_member::Event::Table(mark), now);
        }
        self.update_holders(now);
        self.publish_orders();
        self.in_force(DocumentKind::Tables);
    }

    fn use_accounts(&mut self, accounts: Arc<Accounts>) {
        self.published.set_accounts(accounts);
        self.in_force(DocumentKind::Accounts);
    }

    /// Shows and tells a document that has just come into force.
    fn in_force(&mut self, kind: DocumentKind) {
        if let Some(header) = self.header(kind) {
            self.published.set_generation(kind, header.generation);
        }
        let complete = DOCUMENT_KINDS
            .iter()
            .all(|kind| self.header(*kind).is_some());
        self.published.set_ready(complete && !self.draining);
        self.tell_header(kind);
    }

    fn header(&self, kind: DocumentKind) -> Option<Header> {
        match kind {
            DocumentKind::Tables => self.tables.current().map(|current| current.header),
            DocumentKind::Accounts => self.accounts.current().map(|current| current.header),
        }
    }

    fn tell_header(&self, kind: DocumentKind) {
        for host in self.links.keys() {
            self.tell_header_to(host, kind);
        }
    }

    fn tell_header_to(&self, host: &str, kind: DocumentKind) {
        if let Some(header) = self.header(kind) {
            let message = PeerMessage::Header(DocumentHeader::new(kind, header));
            self.wires.send(&host.to_owned(), &message);
        }
    }

    /// Tells a peer whose link has come up what is in force here.
    pub(super) fn greet(&self, host: &str) {
        for kind in DOCUMENT_KINDS {
            self.tell_header_to(host, kind);
        }
    }

    /// Tells all peers again, in case a message was lost.
    pub(super) fn tell_headers(&mut self, now: Mono) {
        self.next_headers = now + HEADERS_EVERY;
        for kind in DOCUMENT_KINDS {
            self.tell_header(kind);
        }
    }

    /// Text of a document in force.
    pub(super) fn text(&self, kind: DocumentKind) -> Option<String> {
        match kind {
            DocumentKind::Tables => self.tables.current().map(|current| current.text.clone()),
            DocumentKind::Accounts => self.accounts.current().map(|current| current.text.clone()),
        }
    }

    /// Sends a document to a peer that asked for it.
    pub(super) fn send_document(&self, to: &Member, kind: DocumentKind) {
        if let Some(text) = self.text(kind) {
            let message = PeerMessage::Document(DocumentText { kind, text });
            self.wires.send(&to.host, &message);
        }
    }
}
