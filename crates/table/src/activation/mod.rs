//! Which generation of a document a router has in force.
//!
//! Operators expect an accepted document to take effect everywhere and to stay. A router hears of
//! documents from two sides, the key-value service and its peers, and either may be late, stale,
//! or restored from an old copy. [`ActiveDocument`] takes every candidate and holds to these rules:
//!
//! - The generation in force only grows. A candidate of the same generation with another change
//!   id is reported and not taken: which of the two was accepted cannot be told from here.
//! - A document with a fault never comes into force. It is kept as [`Rejected`], with lines and
//!   reasons, until a newer one comes into force.
//! - When the service shows an older generation than a router had in force before it asked, the
//!   service has lost accepted changes. The newer document stays in force and is kept as
//!   [`StoreBehind`], so that an operator can put it back.
//! - A router that starts while the service is down takes the document from a peer.
//!
//! Peers tell each other only the [`Header`]; a router that lags fetches the text. A request keeps
//! the [`Accepted`] that it began with, by its [`Arc`], however often the document changes.
//!
//! The machine holds no socket, thread or clock. It serves every [`DocumentContent`]: the two tables and
//! the client accounts.
//!
//! ```
//! use std::time::Duration;
//! use primrose_core::table::Table;
//! use primrose_table::activation::{Action, Event, ActiveDocument};
//!
//! let mut active: ActiveDocument<Table> = ActiveDocument::new("tables");
//! let asked = active.generation();
//! let text = b"[document]\ngeneration = 3\n".to_vec();
//! let event = Event::Store { asked, value: Some(text) };
//! let actions = active.decide(event, Duration::from_secs(1));
//! assert!(matches!(actions[0], Action::Use(_)));
//! assert_eq!(active.generation(), 3);
//! ```

mod content;
mod machine;

use std::sync::Arc;

use primrose_core::clock::Mono;
use primrose_core::id::Generation;
use primrose_core::id::HostId;
use serde::Deserialize;
use serde::Serialize;

use crate::header::Header;
use crate::ini::Faults;

pub use content::DocumentContent;
pub use machine::ActiveDocument;

/// Text of a document as it travels; may be anything until it is checked.
pub type RawDocument = Vec<u8>;

/// A document that is or was in force.
#[derive(Debug, PartialEq, Eq)]
pub struct Accepted<T> {
    /// Generation and change id.
    pub header: Header,
    /// The checked values.
    pub content: Arc<T>,
    /// The text with the operators' comments, for peers and for putting back.
    pub text: String,
}

/// Where a candidate came from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// The key-value service.
    #[display("the key-value service")]
    Store,
    /// Another router.
    #[display("peer {_0}")]
    Peer(HostId),
}

/// A document that stays out of force because of its faults.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejected {
    /// Where it came from.
    pub source: Source,
    /// Its header, if that could be read.
    pub header: Option<Header>,
    /// What is wrong with it.
    pub faults: Faults,
}

/// Two documents of the same generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Where the other document came from.
    pub source: Source,
    /// The one in force.
    pub kept: Header,
    /// The other one.
    pub other: Header,
}

/// The key-value service has lost accepted changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreBehind {
    /// What the service shows; nothing if the key is absent.
    pub shown: Option<Header>,
    /// The one in force.
    pub kept: Header,
}

/// What a router hears of documents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The key-value service answered a read or a watch.
    Store {
        /// [`ActiveDocument::generation`] when the read or watch was begun.
        asked: Generation,
        /// What stands under the key; `None` if it is absent.
        value: Option<RawDocument>,
    },
    /// A peer tells what it has in force.
    Peer {
        /// The peer.
        host: HostId,
        /// Header of its document.
        header: Header,
    },
    /// A peer answered a fetch.
    Fetched {
        /// The peer.
        host: HostId,
        /// Its document.
        value: RawDocument,
    },
}

/// What a router is to do.
#[derive(Debug, PartialEq, Eq)]
pub enum Action<T> {
    /// Serve new requests by this document, and tell its header to peers.
    Use(Arc<Accepted<T>>),
    /// Ask this peer for its document.
    Fetch(HostId),
    /// Write to the log and count.
    Report(Report),
}

/// Something that an operator should know; each is reported once, and kept for `status`.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Report {
    /// A document was rejected.
    #[display("rejected a document from {}: {}", _0.source, _0.faults)]
    Rejected(Rejected),
    /// Two documents have the same generation.
    #[display("kept {} against {} from {}", _0.kept, _0.other, _0.source)]
    Conflict(Conflict),
    /// The key-value service has lost accepted changes.
    #[display("kept {}; the key-value service shows an older document", _0.kept)]
    Behind(StoreBehind),
    /// The key-value service shows again what is in force.
    #[display("the key-value service shows {_0} again")]
    Restored(Header),
}

/// What `status` shows of the document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentStatus {
    /// What is in force; nothing until the first document was taken.
    pub header: Option<Header>,
    /// The last document that was rejected and is not yet followed by a newer one.
    pub rejected: Option<Rejected>,
    /// The last document of the same generation as the one in force.
    pub conflict: Option<Conflict>,
    /// Present while the key-value service shows less than what is in force.
    pub behind: Option<StoreBehind>,
}

/// Longest wait for a peer's answer to a fetch before another peer is asked.
pub const FETCH_TIMEOUT: Mono = Mono::from_secs(2);
