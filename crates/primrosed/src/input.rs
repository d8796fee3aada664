//! What the deciding thread is told by the other threads of the router.

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

/// Inputs that may wait for the deciding thread.
pub(crate) const RING: usize = 4096;

/// One input of the deciding thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// The front asks.
    Ask(Ask),
    /// The host list showed these hosts of a service.
    Hosts(ServiceHosts),
    /// A server reported its load.
    Load(PoolLoad),
    /// The key-value service showed a document.
    Shown(Shown),
    /// Give up duties; waiting requests are still served.
    Drain,
    /// Waiting requests end unserved.
    Abandon,
    /// An operator wants the state.
    Status(Sender<RouterStatus>),
    /// An operator wants the text of a document in force.
    Text(DocumentKind, Sender<Option<String>>),
    /// An operator wants the suspect requests.
    Suspects(Sender<Vec<SuspectStatus>>),
    /// An operator lifts a refused fingerprint; answers whether it was known.
    Lift(Fingerprint, Sender<bool>),
    /// Pass on, after all that came before, that the day's record is to be handed on.
    Finish(Sender<()>),
    /// End the thread.
    Stop,
}

/// Hosts of one service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceHosts {
    pub(crate) service: String,
    pub(crate) hosts: Vec<Host>,
}

/// A load report of a server of a pool.
#[derive(Debug, Clone)]
pub(crate) struct PoolLoad {
    pub(crate) pool: PoolId,
    pub(crate) report: LoadReport,
}

/// A document as the key-value service showed it.
#[derive(Debug, Clone)]
pub(crate) struct Shown {
    pub(crate) kind: DocumentKind,
    /// Generation in force when the service was asked.
    pub(crate) asked: Generation,
    pub(crate) value: Option<RawDocument>,
}
