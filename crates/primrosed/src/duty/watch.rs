//! The watch thread of one document: shows the deciding thread what the key-value service holds.
//!
//! Only a few routers of a zone keep a watch; the others look now and then and otherwise learn of
//! changes from their peers, because a waiting watch counts as a call at the service.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use primrose_retry::Backoff;
use primrose_retry::BackoffConfig;
use primrose_store::store::Store;
use primrose_store::store::Version;

use crate::duty::Stop;
use crate::input::Input;
use crate::input::Shown;
use crate::message::DocumentKind;
use crate::published::Published;
use crate::reporter::ReportInput;
use crate::reporter::Reporter;

/// Longest wait of one watch at the service.
const WATCH_TIME: Duration = Duration::from_secs(10);
/// Time between two looks of a router that does not watch.
const LOOK_TIME: Duration = Duration::from_secs(30);
/// How often a router that does not watch sees whether it should.
const CHECK_TIME: Duration = Duration::from_millis(250);
/// Delays after the service did not answer.
const BACKOFF: BackoffConfig = BackoffConfig {
    base: Duration::from_millis(200),
    cap: Duration::from_secs(2),
};

/// The watch duty for one document.
pub(crate) struct Watch {
    pub(crate) kind: DocumentKind,
    pub(crate) key: String,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) published: Arc<Published>,
    pub(crate) ring: Sender<Input>,
    pub(crate) reporter: Reporter,
    pub(crate) stop: Arc<Stop>,
}

impl Watch {
    /// Runs until stopped.
    pub(crate) fn run(self) {
        let mut version = None;
        let mut backoff = Backoff::new(BACKOFF);
        while !self.stop.stopped() {
            let looked = self.look(version);
            self.reporter.tell(ReportInput::Platform(looked.is_ok()));
            match looked {
                Ok(seen) => {
                    version = Some(seen);
                    backoff.reset();
                    self.rest();
                }
                Err(error) => {
                    log::warn!(document = self.kind.name(); "failed to watch a document: {error}");
                    self.stop.wait(backoff.next_delay(&mut rand::rng()));
                }
            }
        }
    }

    /// Reads the document, or waits for a change of the version that is known.
    fn look(&self, known: Option<Version>) -> primrose_store::store::Result<Version> {
        let asked = self.published.generation(self.kind);
        let entry = match known {
            Some(version) if self.published.watching() => {
                self.store.watch(&self.key, version, WATCH_TIME)?
            }
            _ => self.store.get(&self.key)?,
        };
        let version = entry.as_ref().map_or(0, |entry| entry.version);
        let shown = Shown {
            kind: self.kind,
            asked,
            value: entry.map(|entry| entry.value),
        };
        // The ring is only closed when the router ends.
        let _ = self.ring.send(Input::Shown(shown));
        Ok(version)
    }

    /// Waits until the next look is due.
    fn rest(&self) {
        let mut waited = Duration::ZERO;
        while !self.published.watching() && waited < LOOK_TIME && !self.stop.stopped() {
            self.stop.wait(CHECK_TIME);
            waited += CHECK_TIME;
        }
    }
}
