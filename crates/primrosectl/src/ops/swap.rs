//! Replaces a document by compare-and-swap, and settles what a lost reply leaves open.
//!
//! The swap names the version that the change is based on, so of two operators who race only one
//! succeeds. When the reply is lost, the write may have taken effect, may not have, or may yet. The
//! document is read back:
//!
//! - It carries this change's id: the write took effect.
//! - It still has the version of the base: the same swap is sent again. That is safe, because
//!   whichever of the two arrives first makes the other fail.
//! - It carries another change of the same generation: the write lost the race, for good.
//! - It carries a later generation: the past generations, which every writer keeps before its own
//!   swap, tell whether this change was among them.
//!
//! Only when the service stays silent is the result [`SwapError::Unknown`], with the change id to
//! look for.

use std::time::Duration;

use primrose_store::store::CommitResult;
use primrose_store::store::Entry;
use primrose_store::store::Op;
use primrose_store::store::Store;
use primrose_store::store::StoreError;
use primrose_store::store::Version;
use primrose_table::header::peek;
use primrose_table::header::ChangeId;
use primrose_table::header::Header;
use snafu::Snafu;

use super::keys::past;
use super::sleep::Sleeper;

/// Most calls of the swap before it is given up.
const ATTEMPTS: u32 = 6;
/// Pause before the first repetition; doubled before each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// The content of a document in the service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stored {
    /// Version in the service; 0 if the document is absent.
    pub version: Version,
    /// Generation and change id, if they can be read.
    pub header: Option<Header>,
    /// Text; empty if the document is absent.
    pub text: String,
}

impl Stored {
    fn from_entry(entry: Option<Entry>) -> Self {
        let Some(entry) = entry else {
            return Self::default();
        };
        let text = String::from_utf8_lossy(&entry.value).into_owned();
        Self {
            version: entry.version,
            header: peek(&text),
            text,
        }
    }
}

/// A document that is to replace another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal<'a> {
    /// Key of the document.
    pub key: &'a str,
    /// What it is based on.
    pub base: &'a Stored,
    /// Header of the new document.
    pub header: Header,
    /// Text of the new document.
    pub text: &'a str,
}

/// What became of a change that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Swapped {
    /// It is the newest.
    Newest,
    /// A later change has followed it already.
    Followed,
}

/// Why a change did not, or perhaps did not, take effect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SwapError {
    /// Another change came first; nothing was changed.
    #[snafu(display("another change came first"))]
    Race {
        /// What stands there now.
        theirs: Stored,
    },
    /// The service does not answer; nothing was changed.
    #[snafu(display("failed to reach the key-value service"))]
    Unavailable {
        /// What the service's adapter saw.
        source: StoreError,
    },
    /// The service does not answer, and the change may have taken effect or may yet.
    #[snafu(display("no answer that tells whether change {change:016x} took effect"))]
    Unknown {
        /// Id of the change.
        change: ChangeId,
        /// What the service's adapter saw last.
        source: StoreError,
    },
}

/// Reads a document; a read is repeated over a short outage.
pub fn read(store: &dyn Store, sleeper: &dyn Sleeper, key: &str) -> Result<Stored, StoreError> {
    let mut wait = FIRST_PAUSE;
    for _ in 1..ATTEMPTS {
        match store.get(key) {
            Ok(entry) => return Ok(Stored::from_entry(entry)),
            Err(StoreError::Unavailable { .. }) => sleeper.sleep(wait),
            Err(error) => return Err(error),
        }
        wait *= 2;
    }
    store.get(key).map(Stored::from_entry)
}

/// Returns a past generation, if it is still kept.
pub fn read_past(store: &dyn Store, key: &str, header: Header) -> Option<String> {
    let entry = store.get(&past(key, header.generation)).ok()??;
    let text = String::from_utf8(entry.value).ok()?;
    (peek(&text)? == header).then_some(text)
}

/// Replaces a document.
pub fn swap(
    store: &dyn Store,
    sleeper: &dyn Sleeper,
    proposal: &Proposal<'_>,
) -> Result<Swapped, SwapError> {
    keep_past(store, proposal)?;
    Swap {
        store,
        sleeper,
        proposal,
        open: false,
    }
    .run()
}

/// Keeps the base among the past generations, for those who come too late.
///
/// A generation's text never changes, so writers that race here write the same.
fn keep_past(store: &dyn Store, proposal: &Proposal<'_>) -> Result<(), SwapError> {
    let base = proposal.base;
    let Some(header) = base.header else {
        return Ok(());
    };
    let key = past(proposal.key, header.generation);
    let value = base.text.clone().into_bytes();
    match store.commit(&[Op::Put { key, value }]) {
        // Without it the change is as safe; only a later comparison finds less.
        Ok(_) | Err(StoreError::Lost { .. } | StoreError::Unavailable { .. }) => Ok(()),
        Err(source) => Err(SwapError::Unavailable { source }),
    }
}

struct Swap<'a> {
    store: &'a dyn Store,
    sleeper: &'a dyn Sleeper,
    proposal: &'a Proposal<'a>,
    /// Whether an earlier attempt may have taken effect or may yet.
    open: bool,
}

impl Swap<'_> {
    fn run(mut self) -> Result<Swapped, SwapError> {
        let mut wait = FIRST_PAUSE;
        let mut attempt = 1;
        loop {
            let error = match self.attempt() {
                Ok(CommitResult::Applied(_)) => return Ok(Swapped::Newest),
                Ok(CommitResult::Conflict(_)) => return self.settle(),
                Err(error) => error,
            };
            self.open |= matches!(error, StoreError::Lost { .. });
            let lasting = !matches!(
                error,
                StoreError::Lost { .. } | StoreError::Unavailable { .. }
            );
            if attempt == ATTEMPTS || lasting {
                return Err(self.give_up(error));
            }
            self.sleeper.sleep(wait);
            wait *= 2;
            attempt += 1;
        }
    }

    fn attempt(&self) -> Result<CommitResult, StoreError> {
        let Proposal {
            key, base, text, ..
        } = *self.proposal;
        let value = text.as_bytes().to_vec();
        self.store.commit(&[Op::swap(key, value, base.version)])
    }

    /// Tells by reading back whether this change or another made the swap fail.
    fn settle(&self) -> Result<Swapped, SwapError> {
        let ours = self.proposal.header;
        let theirs = match read(self.store, self.sleeper, self.proposal.key) {
            Ok(theirs) => theirs,
            Err(source) => return Err(self.unread(source)),
        };
        if theirs.header == Some(ours) {
            return Ok(Swapped::Newest);
        }
        // Even without a lost reply the swap may have taken effect: a doubled one fails by itself.
        let later = theirs
            .header
            .is_some_and(|theirs| theirs.generation > ours.generation);
        if !later {
            return Err(SwapError::Race { theirs });
        }
        self.search(theirs)
    }

    /// Looks among the past generations for this change.
    fn search(&self, theirs: Stored) -> Result<Swapped, SwapError> {
        let ours = self.proposal.header;
        let key = past(self.proposal.key, ours.generation);
        match read(self.store, self.sleeper, &key) {
            Err(source) => Err(self.unread(source)),
            Ok(kept) if kept.header == Some(ours) => Ok(Swapped::Followed),
            Ok(kept) => {
                let same = |header: Header| header.generation == ours.generation;
                if kept.header.is_some_and(same) {
                    return Err(SwapError::Race { theirs });
                }
                let detail = format!("generation {} is no longer kept", ours.generation);
                Err(self.unread(StoreError::Invalid { detail }))
            }
        }
    }

    /// The swap failed by a conflict, and reading back failed too.
    fn unread(&self, source: StoreError) -> SwapError {
        SwapError::Unknown {
            change: self.proposal.header.change,
            source,
        }
    }

    fn give_up(&self, source: StoreError) -> SwapError {
        if self.open {
            return self.unread(source);
        }
        SwapError::Unavailable { source }
    }
}
