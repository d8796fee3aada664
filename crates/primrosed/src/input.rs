//! Inputs of the deciding thread, sent by the other threads of the router.

use crossbeam_channel::Sender;
use primrose_core::fingerprint::Fingerprint;
use primrose_core::host::Host;
use primrose_core::id::Generation;
use primrose_core::id::PoolId;
use primrose_dispatch::dispatcher::LoadReport;
use primrose_front::broker::Ask;
use primrose_report::status::RouterStatus;
use primrose_report::status::SuspectStatus;
use primrose_table::activation::RawDocument;

use crate::message::DocumentKind;

/// Capacity of the input channel of the deciding thread.
pub(crate) const QUEUE_CAPACITY: usize = 4096;

/// One input of the deciding thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A call of the front.
    Ask(Ask),
    /// Hosts of a service, as read from the host list.
    Hosts(ServiceHosts),
    /// A server reported its load.
    Load(PoolLoad),
    /// A document was read from the key-value service.
    DocumentRead(DocumentRead),
    /// Give up all duties; queued requests are still served.
    Drain,
    /// End all queued requests without running them.
    Abandon,
    /// Return the status of the router to an operator.
    Status(Sender<RouterStatus>),
    /// Return the text of the active document to an operator.
    Text(DocumentKind, Sender<Option<String>>),
    /// Return the suspect fingerprints to an operator.
    Suspects(Sender<Vec<SuspectStatus>>),
    /// Lift the restriction of a fingerprint; replies whether it had one.
    Lift(Fingerprint, Sender<bool>),
    /// Have the report thread write the day's records, after all earlier inputs were handled.
    Finish(Sender<()>),
    /// Stop the thread.
    Stop,
}

/// Hosts of one service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceHosts {
    pub(crate) service: String,
    pub(crate) hosts: Vec<Host>,
}

/// Load report of a backend server, with its pool.
#[derive(Debug, Clone)]
pub(crate) struct PoolLoad {
    pub(crate) pool: PoolId,
    pub(crate) report: LoadReport,
}

/// Result of reading a document from the key-value service.
#[derive(Debug, Clone)]
pub(crate) struct DocumentRead {
    pub(crate) kind: DocumentKind,
    /// Generation that was active when the read began.
    pub(crate) generation_at_read: Generation,
    pub(crate) value: Option<RawDocument>,
}
