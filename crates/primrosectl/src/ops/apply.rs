//! Applies an operator's edit of the two tables.
//!
//! The file carries the generation that the operator read. If the service holds another one, the
//! edit is based on something that is no longer there: the operator is shown what the others
//! changed, and nothing is written. An edit never overwrites another in silence.

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

use super::pause::Pause;
use super::swap::read;
use super::swap::read_past;
use super::swap::swap;
use super::swap::Proposal;
use super::swap::Stored;
use super::swap::SwapError;
use super::swap::Swapped;
use super::tables::stored_table;

/// An operator's edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Edit<'a> {
    /// Name of the file, for messages.
    pub file: &'a str,
    /// Its text.
    pub text: &'a str,
    /// Random id of the change; not 0.
    pub change: ChangeId,
    /// Newest generation in force at a router, as far as known.
    pub fleet: Generation,
}

/// An edit that took effect, or changed nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// Header of the newest document that holds the edit.
    pub header: Header,
    /// What it changed; empty if only comments or nothing.
    pub changes: Vec<Change>,
    /// Nothing if the stored text was the same already.
    pub swapped: Option<Swapped>,
}

/// Why an edit was not applied.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ApplyError {
    /// The file has faults.
    #[snafu(display("failed to read the tables:\n{source}"))]
    File {
        /// Every fault.
        source: Faults,
    },
    /// The file leaves no room for the new header.
    #[snafu(display("the document would have {bytes} bytes, more than {MAX_DOCUMENT_BYTES}"))]
    TooLarge {
        /// Size with the new header.
        bytes: usize,
    },
    /// The service holds something else than the edit is based on.
    #[snafu(display("{}", explain(*base, *found)))]
    Conflict {
        /// What the edit is based on.
        base: Header,
        /// What the service holds; nothing if it is absent or cannot be read.
        found: Option<Header>,
        /// What others changed since the base; nothing if the base is no longer kept.
        theirs: Option<Vec<Change>>,
    },
    /// The routers have a newer document in force than the service holds.
    #[snafu(display(
        "the fleet has generation {fleet} in force, the key-value service holds {found}: it has lost changes"
    ))]
    Lost {
        /// What the fleet has in force.
        fleet: Generation,
        /// What the service holds.
        found: Generation,
    },
    /// The service could not be read; nothing was changed.
    #[snafu(display("failed to read the key-value service; nothing was changed"))]
    Store {
        /// What the service's adapter saw.
        source: StoreError,
    },
    /// The swap failed.
    #[snafu(display("failed to replace the tables"))]
    Swap {
        /// Whether nothing was changed, or that is unknown.
        source: SwapError,
    },
}

fn explain(base: Header, found: Option<Header>) -> String {
    let base = base.generation;
    match found {
        None if base == 0 => "the key-value service holds a document without a header".into(),
        None => format!("the edit is based on generation {base}, but nothing is stored"),
        Some(found) if found.generation == base => {
            format!("the edit is based on another generation {base} than the stored one")
        }
        Some(found) => {
            let stored = found.generation;
            format!("the edit is based on generation {base}, but generation {stored} is stored")
        }
    }
}

/// Applies an edit.
pub fn apply(
    store: &dyn Store,
    pause: &dyn Pause,
    key: &str,
    edit: &Edit<'_>,
) -> Result<Applied, ApplyError> {
    let document = Document::parse(edit.file, edit.text).context(FileSnafu)?;
    let stored = read(store, pause, key).context(StoreSnafu)?;
    check_base(store, key, &document, &stored)?;
    check_fleet(edit, &stored)?;
    // A stored document with faults is not in force; any valid one may replace it.
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
            swapped: None,
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
    match swap(store, pause, &proposal) {
        Ok(swapped) => Ok(Applied {
            header,
            changes,
            swapped: Some(swapped),
        }),
        Err(SwapError::Race { theirs }) => {
            let base = stored.header.unwrap_or_default();
            Err(lost_race(key, base, &before, &theirs))
        }
        Err(source) => Err(ApplyError::Swap { source }),
    }
}

fn lost_race(
    key: &str,
    base: Header,
    before: &primrose_core::table::Table,
    theirs: &Stored,
) -> ApplyError {
    let after = stored_table(key, theirs).ok();
    ApplyError::Conflict {
        base,
        found: theirs.header,
        theirs: after.map(|after| diff(before, &after)),
    }
}

/// Refuses an edit whose base is not what the service holds.
fn check_base(
    store: &dyn Store,
    key: &str,
    document: &Document,
    stored: &Stored,
) -> Result<(), ApplyError> {
    let base = document.header();
    let found = stored.header.unwrap_or_default();
    let absent = stored.version == 0 && base.generation == 0;
    let same = stored.header.is_some() && base.generation == found.generation;
    // A file that was written by hand may state the generation alone.
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

fn check_fleet(edit: &Edit<'_>, stored: &Stored) -> Result<(), ApplyError> {
    let found = stored.header.map_or(0, |header| header.generation);
    let fleet = edit.fleet;
    if fleet > found {
        return LostSnafu { fleet, found }.fail();
    }
    Ok(())
}
