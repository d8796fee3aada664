//! The watch thread of one document: passes its value in the key-value service to the deciding
//! thread.
//!
//! Only a few routers of a zone watch the document, because each pending watch counts as a call to
//! the service. The others poll it at long intervals and otherwise learn of changes from peers.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use primrose_retry::Backoff;
use primrose_retry::BackoffConfig;
use primrose_store::store::Store;
use primrose_store::store::Version;

use crate::duty::StopFlag;
use crate::input::DocumentRead;
use crate::input::Input;
use crate::message::DocumentKind;
use crate::reporter::ReportInput;
use crate::reporter::Reporter;
use crate::snapshots::Snapshots;

/// Maximum time that one watch waits for a change. A lost reply goes unnoticed for this time plus the
/// timeouts of the call; with a second call, the sum must stay below the 11 s within which an edit
/// must be in force.
const WATCH_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval between two reads of a router that does not watch.
const POLL_INTERVAL: Duration = Duration::from_secs(30);
/// Interval at which a router that does not watch checks whether it should.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Backoff after a failed call.
const BACKOFF: BackoffConfig = BackoffConfig {
    base: Duration::from_millis(200),
    cap: Duration::from_secs(2),
};

/// State of the watch thread of one document.
pub(crate) struct WatchThread {
    pub(crate) kind: DocumentKind,
    pub(crate) key: String,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) snapshots: Arc<Snapshots>,
    pub(crate) input_sender: Sender<Input>,
    pub(crate) reporter: Reporter,
    pub(crate) stop: Arc<StopFlag>,
}

impl WatchThread {
    /// Runs until the stop flag is set.
    pub(crate) fn run(self) {
        let mut version = None;
        let mut backoff = Backoff::new(BACKOFF);
        while !self.stop.is_stopped() {
            let result = self.read(version);
            self.reporter
                .try_send(ReportInput::Platform(result.is_ok()));
            match result {
                Ok(new_version) => {
                    version = Some(new_version);
                    backoff.reset();
                    self.wait_for_next_read();
                }
                Err(error) => {
                    log::warn!(document = self.kind.name(); "failed to watch a document: {error}");
                    self.stop.wait(backoff.next_delay(&mut rand::rng()));
                }
            }
        }
    }

    /// Reads the document; a watching router first waits for a change of the known version.
    fn read(&self, known: Option<Version>) -> primrose_store::store::Result<Version> {
        let generation_at_read = self.snapshots.generation(self.kind);
        let entry = match known {
            Some(version) if self.snapshots.watching() => {
                self.store.watch(&self.key, version, WATCH_TIMEOUT)?
            }
            _ => self.store.get(&self.key)?,
        };
        let version = entry.as_ref().map_or(0, |entry| entry.version);
        let read = DocumentRead {
            kind: self.kind,
            generation_at_read,
            value: entry.map(|entry| entry.value),
        };
        // The channel is only closed when the router ends.
        let _ = self.input_sender.send(Input::DocumentRead(read));
        Ok(version)
    }

    /// Waits until the next read is due; returns at once if this router watches.
    fn wait_for_next_read(&self) {
        let mut waited = Duration::ZERO;
        while !self.snapshots.watching() && waited < POLL_INTERVAL && !self.stop.is_stopped() {
            self.stop.wait(CHECK_INTERVAL);
            waited += CHECK_INTERVAL;
        }
    }
}
