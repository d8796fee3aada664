//! Keeps the documents up to date from the key-value service and from peers, and advertises them.

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
use crate::input::DocumentRead;
use crate::message::DocumentHeader;
use crate::message::DocumentKind;
use crate::message::DocumentText;
use crate::message::PeerMessage;
use crate::message::DOCUMENT_KINDS;

/// Interval at which the active documents are advertised again to all peers.
const ADVERTISE_INTERVAL: Duration = Duration::from_secs(10);

/// Effects of a document event that are left to the caller, for any kind of document.
struct Effects<T> {
    activated: Option<Arc<T>>,
    fetch: Vec<primrose_core::id::HostId>,
}

fn apply_actions<T: DocumentContent>(kind: DocumentKind, actions: Vec<Action<T>>) -> Effects<T> {
    let mut effects = Effects {
        activated: None,
        fetch: Vec::new(),
    };
    for action in actions {
        match action {
            Action::Activate(accepted) => {
                log::info!(document = kind.name(); "document activated: {}", accepted.header);
                effects.activated = Some(Arc::clone(&accepted.content));
            }
            Action::Fetch(host) => effects.fetch.push(host),
            Action::Report(report) => log::warn!(document = kind.name(); "{report}"),
        }
    }
    effects
}

impl Decider {
    /// Handles the result of a read from the key-value service.
    pub(super) fn handle_document_read(&mut self, read: DocumentRead) {
        self.platform_last_read = Some(self.clock.now());
        let event = Event::Store {
            generation_at_read: read.generation_at_read,
            value: read.value,
        };
        self.document_event(read.kind, event);
    }

    /// Handles the header of a document that is active at a peer.
    pub(super) fn peer_header(&mut self, from: &Member, header: DocumentHeader) {
        if header.kind == DocumentKind::Tables {
            let now = self.clock.now();
            self.observer.peer_generation(header.generation, now);
        }
        let event = Event::Peer {
            host: from.host.clone(),
            header: header.header(),
        };
        self.document_event(header.kind, event);
    }

    /// Handles a document that was fetched from a peer.
    pub(super) fn handle_fetched(&mut self, from: &Member, text: DocumentText) {
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
                let effects = apply_actions(kind, self.tables.decide(event, now));
                if let Some(table) = effects.activated {
                    self.activate_table(table, now);
                }
                effects.fetch
            }
            DocumentKind::Accounts => {
                let effects = apply_actions(kind, self.accounts.decide(event, now));
                if let Some(accounts) = effects.activated {
                    self.activate_accounts(accounts);
                }
                effects.fetch
            }
        };
        for host in fetch {
            self.peer_links.send(&host, &PeerMessage::Fetch(kind));
        }
    }

    fn activate_table(&mut self, table: Arc<Table>, now: Mono) {
        self.directory.set_table(Arc::clone(&table));
        self.snapshots.set_table(Arc::clone(&table));
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
            self.observer.tables_activated(header.generation, now);
            let version = TableVersion {
                generation: header.generation,
                change: format!("{:016x}", header.change),
            };
            self.view_event(primrose_member::Event::Table(version), now);
        }
        self.update_holders(now);
        self.publish_order_targets();
        self.document_activated(DocumentKind::Tables);
    }

    fn activate_accounts(&mut self, accounts: Arc<Accounts>) {
        self.snapshots.set_accounts(accounts);
        self.document_activated(DocumentKind::Accounts);
    }

    /// Publishes and advertises a document that has just become active.
    fn document_activated(&mut self, kind: DocumentKind) {
        if let Some(header) = self.header(kind) {
            self.snapshots.set_generation(kind, header.generation);
        }
        let complete = DOCUMENT_KINDS
            .iter()
            .all(|kind| self.header(*kind).is_some());
        self.snapshots.set_ready(complete && !self.draining);
        self.advertise_document(kind);
    }

    fn header(&self, kind: DocumentKind) -> Option<Header> {
        match kind {
            DocumentKind::Tables => self.tables.current().map(|current| current.header),
            DocumentKind::Accounts => self.accounts.current().map(|current| current.header),
        }
    }

    fn advertise_document(&self, kind: DocumentKind) {
        for host in self.links.keys() {
            self.advertise_document_to(host, kind);
        }
    }

    fn advertise_document_to(&self, host: &str, kind: DocumentKind) {
        if let Some(header) = self.header(kind) {
            let message = PeerMessage::Header(DocumentHeader::new(kind, header));
            self.peer_links.send(&host.to_owned(), &message);
        }
    }

    /// Advertises the active documents to a peer whose link has come up.
    pub(super) fn send_headers(&self, host: &str) {
        for kind in DOCUMENT_KINDS {
            self.advertise_document_to(host, kind);
        }
    }

    /// Advertises the active documents to all peers again, in case a message was lost.
    pub(super) fn advertise_documents(&mut self, now: Mono) {
        self.next_headers = now + ADVERTISE_INTERVAL;
        for kind in DOCUMENT_KINDS {
            self.advertise_document(kind);
        }
    }

    /// Returns the text of the active document.
    pub(super) fn text(&self, kind: DocumentKind) -> Option<String> {
        match kind {
            DocumentKind::Tables => self.tables.current().map(|current| current.text.clone()),
            DocumentKind::Accounts => self.accounts.current().map(|current| current.text.clone()),
        }
    }

    /// Sends a document to a peer that requested it.
    pub(super) fn send_document(&self, to: &Member, kind: DocumentKind) {
        if let Some(text) = self.text(kind) {
            let message = PeerMessage::Document(DocumentText { kind, text });
            self.peer_links.send(&to.host, &message);
        }
    }
}
