//! Messages that routers exchange over peer links.

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
    /// Heartbeat of the sender.
    #[serde(rename = "b")]
    Heartbeat(Heartbeat),
    /// Message between a requester and a dispatcher, or between dispatchers, over a direct link.
    #[serde(rename = "d")]
    Dispatch(primrose_dispatch::message::Message),
    /// Dispatch message that may be relayed over several links, for a router without a direct link.
    #[serde(rename = "r")]
    Routed(Routed<primrose_dispatch::message::Message>),
    /// Advertises the document that is active at the sender.
    #[serde(rename = "h")]
    Header(DocumentHeader),
    /// Requests a document.
    #[serde(rename = "f")]
    Fetch(DocumentKind),
    /// Response to [`PeerMessage::Fetch`].
    #[serde(rename = "t")]
    Document(DocumentText),
    /// Records of requests that ran on servers that died.
    #[serde(rename = "s")]
    Suspects(primrose_suspect::Message),
    /// Day record of a router, sent to the gatherer of its zone.
    #[serde(rename = "y")]
    Record(Box<Record>),
    /// Acknowledges a record: the sender holds it.
    #[serde(rename = "z")]
    RecordAck(RecordId),
}

/// Identifies one state of a day record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordId {
    /// Router process that made the record.
    #[serde(rename = "m")]
    pub member: Member,
    /// Day of the record.
    #[serde(rename = "d")]
    pub day: DayId,
    /// Sequence number of the state.
    #[serde(rename = "n")]
    pub seq: Seq,
}

impl RecordId {
    /// Returns the id of the current state of a record.
    pub fn new(record: &Record) -> Self {
        Self {
            member: record.member.clone(),
            day: record.day.clone(),
            seq: record.seq,
        }
    }
}

/// Documents that operators change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DocumentKind {
    /// Routes and pools.
    #[serde(rename = "t")]
    Tables,
    /// Client accounts and the hashes of their keys.
    #[serde(rename = "a")]
    Accounts,
}

/// All kinds of documents.
pub const DOCUMENT_KINDS: [DocumentKind; 2] = [DocumentKind::Tables, DocumentKind::Accounts];

impl DocumentKind {
    /// Returns the key of the document in the key-value service, without the prefix.
    pub fn name(self) -> &'static str {
        match self {
            Self::Tables => "tables",
            Self::Accounts => "accounts",
        }
    }
}

/// Identifies an active document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentHeader {
    /// Kind of the document.
    #[serde(rename = "k")]
    pub kind: DocumentKind,
    /// Generation of the document.
    #[serde(rename = "g")]
    pub generation: Generation,
    /// Id of the change that produced this generation.
    #[serde(rename = "c")]
    pub change: ChangeId,
}

impl DocumentHeader {
    /// Combines a kind with the header of a document.
    pub fn new(kind: DocumentKind, header: Header) -> Self {
        Self {
            kind,
            generation: header.generation,
            change: header.change,
        }
    }

    /// Returns the header without the kind.
    pub fn header(&self) -> Header {
        Header {
            generation: self.generation,
            change: self.change,
        }
    }
}

/// Text of a document, sent to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentText {
    /// Kind of the document.
    #[serde(rename = "k")]
    pub kind: DocumentKind,
    /// Text of the document.
    #[serde(rename = "t")]
    pub text: String,
}
