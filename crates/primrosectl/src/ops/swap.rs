//! Replaces a document by compare-and-swap, and resolves the uncertainty that a lost reply leaves.
//!
//! The swap names the version that the change is based on, so of two operators who race only one
//! succeeds. When the reply is lost, the write may have taken effect, may still take effect, or may
//! never do so. The document is read back:
//!
//! - It carries this change's id: the write took effect.
//! - It still has the version of the base: the same swap is sent again. That is safe, because
//!   whichever of the two arrives first makes the other fail.
//! - It carries another change of the same generation: the write lost the race and can no longer
//!   take effect.
//! - It carries a later generation: the past generations, which every writer keeps before its own
//!   swap, tell whether this change was among them.
//!
//! The result is [`SwapError::Unknown`] only if the service stays unavailable or fails, or no longer
//! keeps that generation. The error holds the change id, which the operator can look for.

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

use super::keys::past_key;
use super::sleep::Sleeper;

/// Limit on the calls of one read or swap.
const MAX_ATTEMPTS: u32 = 6;
/// Backoff before the first retry; doubled before each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// A document as the service holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredDocument {
    /// Version of the key in the service; 0 if the document is absent.
    pub version: Version,
    /// Generation and change id, if the text has a valid header.
    pub header: Option<Header>,
    /// Text of the document; empty if the document is absent.
    pub text: String,
}

impl StoredDocument {
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

/// A new document and the one that it replaces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal<'a> {
    /// Key of the document.
    pub key: &'a str,
    /// The document that it replaces.
    pub base: &'a StoredDocument,
    /// Header of the new document.
    pub header: Header,
    /// Text of the new document.
    pub text: &'a str,
}

/// State of a change that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapOutcome {
    /// It is the newest change.
    Newest,
    /// A later change has already replaced it.
    Superseded,
}

/// Why a change did not take effect, or may not have.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SwapError {
    /// Another change came first; nothing was changed.
    #[snafu(display("another change came first"))]
    Race {
        /// The document that is stored now.
        theirs: StoredDocument,
    },
    /// The service could not be reached or refused the call; nothing was changed.
    #[snafu(display("failed to reach the key-value service"))]
    Unavailable {
        /// Error of the last call.
        source: StoreError,
    },
    /// It could not be determined whether the change took effect; it may still do so.
    #[snafu(display("it is unknown whether change {change:016x} took effect"))]
    Unknown {
        /// Id of the change.
        change: ChangeId,
        /// Error of the last call.
        source: StoreError,
    },
}

/// Reads a document, with retries while the service is unavailable.
pub fn read(
    store: &dyn Store,
    sleeper: &dyn Sleeper,
    key: &str,
) -> Result<StoredDocument, StoreError> {
    let mut backoff = INITIAL_BACKOFF;
    for _ in 1..MAX_ATTEMPTS {
        match store.get(key) {
            Ok(entry) => return Ok(StoredDocument::from_entry(entry)),
            Err(StoreError::Unavailable { .. }) => sleeper.sleep(backoff),
            Err(error) => return Err(error),
        }
        backoff *= 2;
    }
    store.get(key).map(StoredDocument::from_entry)
}

/// Returns the text of a past generation, if it is still kept.
pub fn read_past(store: &dyn Store, key: &str, header: Header) -> Option<String> {
    let entry = store.get(&past_key(key, header.generation)).ok()??;
    let text = String::from_utf8(entry.value).ok()?;
    (peek(&text)? == header).then_some(text)
}

/// Replaces a document, if it still has the version of the base.
pub fn swap(
    store: &dyn Store,
    sleeper: &dyn Sleeper,
    proposal: &Proposal<'_>,
) -> Result<SwapOutcome, SwapError> {
    save_base(store, proposal)?;
    Swap {
        store,
        sleeper,
        proposal,
        uncertain: false,
    }
    .run()
}

/// Saves the base among the past generations, to compare edits with that were based on it.
///
/// The text of a generation never changes, so racing writers write the same value.
fn save_base(store: &dyn Store, proposal: &Proposal<'_>) -> Result<(), SwapError> {
    let base = proposal.base;
    let Some(header) = base.header else {
        return Ok(());
    };
    let key = past_key(proposal.key, header.generation);
    let value = base.text.clone().into_bytes();
    match store.commit(&[Op::Put { key, value }]) {
        // The swap does not depend on the saved base; a later edit based on it gets no comparison.
        Ok(_) | Err(StoreError::Lost { .. } | StoreError::Unavailable { .. }) => Ok(()),
        Err(source) => Err(SwapError::Unavailable { source }),
    }
}

struct Swap<'a> {
    store: &'a dyn Store,
    sleeper: &'a dyn Sleeper,
    proposal: &'a Proposal<'a>,
    /// Whether an earlier attempt may have taken effect or may still do so.
    uncertain: bool,
}

impl Swap<'_> {
    fn run(mut self) -> Result<SwapOutcome, SwapError> {
        let mut backoff = INITIAL_BACKOFF;
        let mut attempt = 1;
        loop {
            let error = match self.attempt() {
                Ok(CommitResult::Applied(_)) => return Ok(SwapOutcome::Newest),
                Ok(CommitResult::Conflict(_)) => return self.resolve_conflict(),
                Err(error) => error,
            };
            self.uncertain |= matches!(error, StoreError::Lost { .. });
            let permanent = !matches!(
                error,
                StoreError::Lost { .. } | StoreError::Unavailable { .. }
            );
            if attempt == MAX_ATTEMPTS || permanent {
                return Err(self.give_up(error));
            }
            self.sleeper.sleep(backoff);
            backoff *= 2;
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

    /// Determines after a conflict, by reading back, whether this change or another one is stored.
    fn resolve_conflict(&self) -> Result<SwapOutcome, SwapError> {
        let ours = self.proposal.header;
        let theirs = match read(self.store, self.sleeper, self.proposal.key) {
            Ok(theirs) => theirs,
            Err(source) => return Err(self.unknown_result(source)),
        };
        if theirs.header == Some(ours) {
            return Ok(SwapOutcome::Newest);
        }
        // The swap may have taken effect even without a lost reply: if it was delivered twice, the
        // second delivery conflicts with the first.
        let later = theirs
            .header
            .is_some_and(|theirs| theirs.generation > ours.generation);
        if !later {
            return Err(SwapError::Race { theirs });
        }
        self.search_past(theirs)
    }

    /// Looks for this change among the past generations, once a later generation is stored.
    fn search_past(&self, theirs: StoredDocument) -> Result<SwapOutcome, SwapError> {
        let ours = self.proposal.header;
        let key = past_key(self.proposal.key, ours.generation);
        match read(self.store, self.sleeper, &key) {
            Err(source) => Err(self.unknown_result(source)),
            Ok(past) if past.header == Some(ours) => Ok(SwapOutcome::Superseded),
            Ok(past) => {
                let same_generation = |header: Header| header.generation == ours.generation;
                if past.header.is_some_and(same_generation) {
                    return Err(SwapError::Race { theirs });
                }
                let detail = format!("generation {} is no longer kept", ours.generation);
                Err(self.unknown_result(StoreError::Invalid { detail }))
            }
        }
    }

    /// Builds the error for a change that may have taken effect.
    fn unknown_result(&self, source: StoreError) -> SwapError {
        SwapError::Unknown {
            change: self.proposal.header.change,
            source,
        }
    }

    fn give_up(&self, source: StoreError) -> SwapError {
        if self.uncertain {
            return self.unknown_result(source);
        }
        SwapError::Unavailable { source }
    }
}
