//! Reading and comparing the two tables.

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
use super::swap::Stored;

/// Why two tables could not be compared.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TablesError {
    /// The operator's file has faults.
    #[snafu(display("failed to read the tables:\n{source}"))]
    File {
        /// Every fault.
        source: Faults,
    },
    /// The document in the service has faults.
    #[snafu(display("the stored document has faults:\n{source}"))]
    Stored {
        /// Every fault.
        source: Faults,
    },
    /// The service does not answer.
    #[snafu(display("failed to read the key-value service"))]
    Store {
        /// What the service's adapter saw.
        source: StoreError,
    },
}

/// Reads the tables as they are stored.
pub fn show(store: &dyn Store, sleeper: &dyn Sleeper, key: &str) -> Result<Stored, TablesError> {
    read(store, sleeper, key).context(StoreSnafu)
}

/// Compares the stored tables with an operator's file.
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

/// Returns the stored tables; empty ones if there are none.
pub fn stored_table(key: &str, stored: &Stored) -> Result<Table, Faults> {
    if stored.version == 0 {
        return Ok(Table::default());
    }
    Document::parse(key, &stored.text).map(|document| document.table)
}
