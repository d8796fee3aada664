//! Names of the documents in the key-value service.

use primrose_core::id::Generation;
use primrose_store::store::Key;

/// How many past generations of a document the service keeps.
const PAST: Generation = 16;

/// Names of the documents of one deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keys {
    /// The two tables.
    pub tables: Key,
    /// The client accounts.
    pub accounts: Key,
}

impl Keys {
    /// Makes the names under a prefix.
    pub fn new(prefix: &str) -> Self {
        Self {
            tables: format!("{prefix}/tables"),
            accounts: format!("{prefix}/accounts"),
        }
    }
}

/// Returns where a past generation of a document is kept, until 16 later ones have come.
pub fn past(key: &str, generation: Generation) -> Key {
    format!("{key}-past/{}", generation % PAST)
}
