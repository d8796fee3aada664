//! Keys of the documents in the key-value service.

use primrose_core::id::Generation;
use primrose_store::store::Key;

/// Number of past generations of a document that the service keeps.
const PAST_GENERATIONS: Generation = 16;

/// Keys of the documents of one deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keys {
    /// Key of the document with the two tables.
    pub tables: Key,
    /// Key of the document with the client accounts.
    pub accounts: Key,
}

impl Keys {
    /// Builds the keys of the deployment with this key prefix.
    pub fn new(prefix: &str) -> Self {
        Self {
            tables: format!("{prefix}/tables"),
            accounts: format!("{prefix}/accounts"),
        }
    }
}

/// Returns the key under which a past generation of a document is kept.
///
/// The key is used again for the generation `PAST_GENERATIONS` later.
pub fn past_key(key: &str, generation: Generation) -> Key {
    format!("{key}-past/{}", generation % PAST_GENERATIONS)
}
