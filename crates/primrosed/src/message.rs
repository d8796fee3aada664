//! What routers say to each other.

use primrose_core::id::Generation;
use primrose_core::id::Member;
use primrose_member::Heartbeat;
use primrose_member::Routed;
use primrose_report::calendar::DayId;
use primrose_report::record::Record;
use primrose_report::record::Seq;
use primrose_table::header::ChangeId;
use primrose_table::header::Header;
use serde::Deserialize;
use serde::Serialize;

/// One message over a peer link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A heartbeat.
    #[serde(rename = "b")]
    Beat(Heartbeat),
    /// Between a requester and a dispatcher, or two dispatchers, over one link.
    #[serde(rename = "d")]
    Dispatch(primrose_dispatch::message::Message),
    /// The same towards a router of another zone, over several links if need be.
    #[serde(rename = "r")]
    Routed(Routed<primrose_dispatch::message::Message>),
    /// The sender has this document in force.
    #[serde(rename = "h")]
    Header(DocumentHeader),
    /// The sender wants a document.
    #[serde(rename = "f")]
    Fetch(DocumentKind),
    /// The document that was asked for.
    #[serde(rename = "t")]
    Document(DocumentText),
    /// Records of requests that were on servers which died.
    #[serde(rename = "s")]
    Suspects(primrose_suspect::Message),
    /// What a router of the zone counted on a day, for the zone's gatherer.
    #[serde(rename = "y")]
    Record(Box<Record>),
    /// The sender holds this record.
    #[serde(rename = "z")]
    Held(RecordName),
}

/// Names one state of a record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordName {
    /// The process that counted.
    #[serde(rename = "m")]
    pub member: Member,
    /// The day.
    #[serde(rename = "d")]
    pub day: DayId,
    /// Number of the state.
    #[serde(rename = "n")]
    pub seq: Seq,
}

impl RecordName {
    /// Names the state of a record.
    pub fn new(record: &Record) -> Self {
        Self {
            member: record.member.clone(),
            day: record.day.clone(),
            seq: record.seq,
        }
    }
}

/// The two documents that operators change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DocumentKind {
    /// Routes and pools.
    #[serde(rename = "t")]
    Tables,
    /// Client accounts and the hashes of their keys.
    #[serde(rename = "a")]
    Accounts,
}

/// Both kinds of documents.
pub const DOCUMENT_KINDS: [DocumentKind; 2] = [DocumentKind::Tables, DocumentKind::Accounts];

impl DocumentKind {
    /// Name of the document in the key-value service, after the prefix.
    pub fn name(self) -> &'static str {
        match self {
            Self::Tables => "tables",
            Self::Accounts => "accounts",
        }
    }
}

/// Names a document in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentHeader {
    /// Which document.
    #[serde(rename = "k")]
    pub kind: DocumentKind,
    /// Its generation.
    #[serde(rename = "g")]
    pub generation: Generation,
    /// Id of the change that made it.
    #[serde(rename = "c")]
    pub change: ChangeId,
}

impl DocumentHeader {
    /// Names the document with this header.
    pub fn new(kind: DocumentKind, header: Header) -> Self {
        Self {
            kind,
            generation: header.generation,
            change: header.change,
        }
    }

    /// Returns the header as documents carry it.
    pub fn header(&self) -> Header {
        Header {
            generation: self.generation,
            change: self.change,
        }
    }
}

/// A document on its way between routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentText {
    /// Which document.
    #[serde(rename = "k")]
    pub kind: DocumentKind,
    /// Its text.
    #[serde(rename = "t")]
    pub text: String,
}
