//! Reads the stored tables and compares them with an operator's file.

use primrose_core::table::Table;
use primrose_store::store::Store;
use primrose_store::store::StoreError;
use primrose_table::diff::diff;
use primrose_table::diff::Change;
use primrose_table::document::Document;
use primrose_table::ini::Faults;
use snafu::ResultExt;
use snafu::Snafu;

use super::sleep::Sleeper;
use super::swap::read;
use super::swap::StoredDocument;

/// Why two tables could not be compared.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TablesError {
    /// The operator's file is not a valid document.
    #[snafu(display("failed to read the tables:\n{source}"))]
    File {
        /// All faults of the document.
        source: Faults,
    },
    /// The stored document is not valid.
    #[snafu(display("the stored document has faults:\n{source}"))]
    Stored {
        /// All faults of the document.
        source: Faults,
    },
    /// The service could not be read.
    #[snafu(display("failed to read the key-value service"))]
    Store {
        /// Error of the last call.
        source: StoreError,
    },
}

/// Returns the stored document with the tables.
pub fn show(
    store: &dyn Store,
    sleeper: &dyn Sleeper,
    key: &str,
) -> Result<StoredDocument, TablesError> {
    read(store, sleeper, key).context(StoreSnafu)
}

/// Returns the changes that lead from the stored tables to those in an operator's file.
pub fn compare(
    store: &dyn Store,
    sleeper: &dyn Sleeper,
    key: &str,
    file: &str,
    text: &str,
) -> Result<Vec<Change>, TablesError> {
    let document = Document::parse(file, text).context(FileSnafu)?;
    let stored = show(store, sleeper, key)?;
    let table = stored_table(key, &stored).context(StoredSnafu)?;
    Ok(diff(&table, &document.table))
}

/// Parses the stored tables; an absent document has empty ones.
pub fn stored_table(key: &str, stored: &StoredDocument) -> Result<Table, Faults> {
    if stored.version == 0 {
        return Ok(Table::default());
    }
    Document::parse(key, &stored.text).map(|document| document.table)
}
