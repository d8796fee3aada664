//! Applies an operator's edit of the two tables.
//!
//! The file carries the generation that the operator read. If the service holds another one, the
//! edit has an outdated base: nothing is written, and the operator is shown what others changed
//! since. No edit silently overwrites another.

use primrose_core::id::Generation;
use primrose_store::store::Store;
use primrose_store::store::StoreError;
use primrose_table::diff::diff;
use primrose_table::diff::Change;
use primrose_table::document::Document;
use primrose_table::header::replace_header;
use primrose_table::header::ChangeId;
use primrose_table::header::Header;
use primrose_table::header::MAX_DOCUMENT_BYTES;
use primrose_table::ini::Faults;
use snafu::ResultExt;
use snafu::Snafu;

use super::sleep::Sleeper;
use super::swap::read;
use super::swap::read_past;
use super::swap::swap;
use super::swap::Proposal;
use super::swap::StoredDocument;
use super::swap::SwapError;
use super::swap::SwapOutcome;
use super::tables::stored_table;

/// An operator's edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Edit<'a> {
    /// Name of the file, for messages.
    pub file: &'a str,
    /// Text of the file.
    pub text: &'a str,
    /// Random id of the change; never 0.
    pub change: ChangeId,
    /// Newest generation in force at a router; 0 if none is known.
    pub fleet_generation: Generation,
}

/// Result of an edit that took effect or changed nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// Header of the document that contains the edit.
    pub header: Header,
    /// Changes of the tables; empty if the edit changed only comments or nothing.
    pub changes: Vec<Change>,
    /// Result of the write; `None` if the stored text was already the same.
    pub outcome: Option<SwapOutcome>,
}

/// Why an edit was not applied.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ApplyError {
    /// The file is not a valid document.
    #[snafu(display("failed to read the tables:\n{source}"))]
    File {
        /// All faults of the file.
        source: Faults,
    },
    /// With its new header, the document would be larger than [`MAX_DOCUMENT_BYTES`].
    #[snafu(display("the document would have {bytes} bytes, more than {MAX_DOCUMENT_BYTES}"))]
    TooLarge {
        /// Size with the new header, in bytes.
        bytes: usize,
    },
    /// The stored document is not the one that the edit is based on.
    #[snafu(display("{}", describe_conflict(*base, *found)))]
    Conflict {
        /// Header of the document that the edit is based on.
        base: Header,
        /// Header of the stored document; `None` if it is absent or has no valid header.
        found: Option<Header>,
        /// What others changed since the base; `None` if the base is no longer kept.
        theirs: Option<Vec<Change>>,
    },
    /// The service holds an older document than the routers have in force.
    #[snafu(display(
        "the fleet has generation {fleet_generation} in force, the key-value service holds {found}: it has lost changes"
    ))]
    StoreBehind {
        /// Newest generation in force at a router.
        fleet_generation: Generation,
        /// Generation that the service holds.
        found: Generation,
    },
    /// The service could not be read; nothing was changed.
    #[snafu(display("failed to read the key-value service; nothing was changed"))]
    Store {
        /// Error of the last call.
        source: StoreError,
    },
    /// The compare-and-swap failed.
    #[snafu(display("failed to replace the tables"))]
    Swap {
        /// Tells whether nothing was changed or the result is unknown.
        source: SwapError,
    },
}

fn describe_conflict(base: Header, found: Option<Header>) -> String {
    let base = base.generation;
    match found {
        None if base == 0 => "the key-value service holds a document without a header".into(),
        None => format!("the edit is based on generation {base}, but nothing is stored"),
        Some(found) if found.generation == base => {
            format!("the edit is based on a different generation {base} than the stored one")
        }
        Some(found) => {
            let stored = found.generation;
            format!("the edit is based on generation {base}, but generation {stored} is stored")
        }
    }
}

/// Replaces the stored tables by an edited document, if that is based on them.
pub fn apply(
    store: &dyn Store,
    sleeper: &dyn Sleeper,
    key: &str,
    edit: &Edit<'_>,
) -> Result<Applied, ApplyError> {
    let document = Document::parse(edit.file, edit.text).context(FileSnafu)?;
    let stored = read(store, sleeper, key).context(StoreSnafu)?;
    check_base(store, key, &document, &stored)?;
    check_fleet_generation(edit, &stored)?;
    // A stored document with faults is not in force, so any valid document may replace it.
    let before = stored_table(key, &stored).unwrap_or_default();
    let changes = diff(&before, &document.table);
    let header = Header {
        generation: document.table.generation + 1,
        change: edit.change,
    };
    let text = replace_header(edit.text, header);
    if let Some(header) = stored
        .header
        .filter(|kept| replace_header(edit.text, *kept) == stored.text)
    {
        return Ok(Applied {
            header,
            changes,
            outcome: None,
        });
    }
    let bytes = text.len();
    if bytes > MAX_DOCUMENT_BYTES {
        return TooLargeSnafu { bytes }.fail();
    }
    let proposal = Proposal {
        key,
        base: &stored,
        header,
        text: &text,
    };
    match swap(store, sleeper, &proposal) {
        Ok(outcome) => Ok(Applied {
            header,
            changes,
            outcome: Some(outcome),
        }),
        Err(SwapError::Race { theirs }) => {
            let base = stored.header.unwrap_or_default();
            Err(lost_race(key, base, &before, &theirs))
        }
        Err(source) => Err(ApplyError::Swap { source }),
    }
}

/// Builds the error for an edit that lost the race against another change.
fn lost_race(
    key: &str,
    base: Header,
    before: &primrose_core::table::Table,
    theirs: &StoredDocument,
) -> ApplyError {
    let after = stored_table(key, theirs).ok();
    ApplyError::Conflict {
        base,
        found: theirs.header,
        theirs: after.map(|after| diff(before, &after)),
    }
}

/// Rejects an edit that is not based on the stored document.
fn check_base(
    store: &dyn Store,
    key: &str,
    document: &Document,
    stored: &StoredDocument,
) -> Result<(), ApplyError> {
    let base = document.header();
    let found = stored.header.unwrap_or_default();
    let absent = stored.version == 0 && base.generation == 0;
    let same = stored.header.is_some() && base.generation == found.generation;
    // A handwritten file may name the generation without the change id.
    if absent || same && (base.change == 0 || base.change == found.change) {
        return Ok(());
    }
    let before = read_past(store, key, base);
    let before = before.and_then(|text| Document::parse(key, &text).ok());
    let after = stored_table(key, stored).ok();
    let theirs = before.zip(after);
    let theirs = theirs.map(|(before, after)| diff(&before.table, &after));
    ConflictSnafu {
        base,
        found: stored.header,
        theirs,
    }
    .fail()
}

/// Rejects an edit while the service holds an older generation than the routers have in force.
fn check_fleet_generation(edit: &Edit<'_>, stored: &StoredDocument) -> Result<(), ApplyError> {
    let found = stored.header.map_or(0, |header| header.generation);
    let fleet_generation = edit.fleet_generation;
    if fleet_generation > found {
        return StoreBehindSnafu {
            fleet_generation,
            found,
        }
        .fail();
    }
    Ok(())
}
