//! Decides which generation of a document is in force on a router.
//!
//! Operators expect an accepted document to take effect everywhere and to stay. A router receives
//! documents from two sources, the key-value service and its peers, and either may be late, stale,
//! or restored from an old backup. [`ActiveDocument`] evaluates every candidate by these rules:
//!
//! - The generation in force only increases. A candidate of the same generation with a different
//!   change id is reported but not activated: a router cannot know which of the two was accepted.
//! - A document with a fault never comes into force. It is recorded as
//!   [`RejectedDocument`], with lines and reasons, until a newer one comes into force.
//! - When the service returns an older generation than the router had in force before the read,
//!   the service has lost accepted changes. The newer document stays in force and the loss is
//!   recorded as [`StoreBehind`], so that an operator can restore the document.
//! - A router that starts while the service is down fetches the document from a peer.
//!
//! Peers advertise only the [`Header`]; a router that lags fetches the text. A request keeps the
//! [`AcceptedDocument`] that it started with, by its [`Arc`], however often the document changes.
//!
//! The state machine owns no socket, thread or clock. It is generic over
//! [`DocumentContent`]: the two tables and the client accounts.
//!
//! ```
//! use std::time::Duration;
//! use primrose_core::table::Table;
//! use primrose_table::activation::{Action, Event, ActiveDocument};
//!
//! let mut active: ActiveDocument<Table> = ActiveDocument::new("tables");
//! let generation_at_read = active.generation();
//! let text = b"[document]\ngeneration = 3\n".to_vec();
//! let event = Event::Store { generation_at_read, value: Some(text) };
//! let actions = active.decide(event, Duration::from_secs(1));
//! assert!(matches!(actions[0], Action::Activate(_)));
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

/// Unvalidated bytes of a document, as received from the service or a peer.
pub type RawDocument = Vec<u8>;

/// A validated document that is or was in force.
#[derive(Debug, PartialEq, Eq)]
pub struct AcceptedDocument<T> {
    /// Generation and change id.
    pub header: Header,
    /// Validated content.
    pub content: Arc<T>,
    /// Original text with the operators' comments, for sending to peers and for restoring.
    pub text: String,
}

/// Origin of a candidate document.
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

/// A document that was not activated because of its faults.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedDocument {
    /// Origin of the document.
    pub source: Source,
    /// Header of the document, if it could be parsed.
    pub header: Option<Header>,
    /// Faults found in the document.
    pub faults: Faults,
}

/// Two different documents with the same generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Origin of the other document.
    pub source: Source,
    /// Header of the document in force.
    pub kept: Header,
    /// Header of the other document.
    pub other: Header,
}

/// The key-value service shows an older document than the one in force.
///
/// The service has lost accepted changes, for example by a restore from an old backup.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreBehind {
    /// Header of the document in the service; `None` if the key is absent.
    pub shown: Option<Header>,
    /// Header of the document in force.
    pub kept: Header,
}

/// An input of [`ActiveDocument`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The key-value service answered a read or a watch.
    Store {
        /// [`ActiveDocument::generation`] at the start of the read or watch.
        generation_at_read: Generation,
        /// Value of the key; `None` if it is absent.
        value: Option<RawDocument>,
    },
    /// A peer advertised the document that it has in force.
    Peer {
        /// Host of the peer.
        host: HostId,
        /// Header of the peer's document.
        header: Header,
    },
    /// A peer answered a fetch.
    Fetched {
        /// Host of the peer.
        host: HostId,
        /// The peer's document.
        value: RawDocument,
    },
}

/// An action that [`ActiveDocument::decide`] requests from its caller.
#[derive(Debug, PartialEq, Eq)]
pub enum Action<T> {
    /// Serve new requests with this document, and advertise its header to peers.
    Activate(Arc<AcceptedDocument<T>>),
    /// Request the document from this peer.
    Fetch(HostId),
    /// Write this report to the log.
    Report(Report),
}

/// A condition that concerns operators.
///
/// Each is reported once, and shown in [`DocumentStatus`] as long as it lasts.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Report {
    /// A document was rejected because of its faults.
    #[display("rejected a document from {}: {}", _0.source, _0.faults)]
    Rejected(RejectedDocument),
    /// Two different documents have the same generation.
    #[display("kept {} against {} from {}", _0.kept, _0.other, _0.source)]
    Conflict(Conflict),
    /// The key-value service has lost accepted changes.
    #[display("kept {}; the key-value service shows an older document", _0.kept)]
    Behind(StoreBehind),
    /// The key-value service has caught up with the document in force.
    #[display("the key-value service shows {_0} again")]
    Restored(Header),
}

/// State of one document on a router, as shown by `status`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentStatus {
    /// Header of the document in force; `None` until the first document is activated.
    pub header: Option<Header>,
    /// The last rejected document, until a newer one is activated or its source replaces it.
    pub rejected: Option<RejectedDocument>,
    /// The last conflict with the document in force.
    pub conflict: Option<Conflict>,
    /// Present while the key-value service shows an older document than the one in force.
    pub behind: Option<StoreBehind>,
}

/// Longest wait for a peer's reply to a fetch before another peer is tried.
pub const FETCH_TIMEOUT: Mono = Mono::from_secs(2);
