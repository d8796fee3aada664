//! One line of a table as text.
//!
//! [`render`](crate::document::Document::render) writes rows, and [`diff`](crate::diff) compares
//! them.

/// A key with its value as an operator writes them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
}

impl Row {
    /// Creates a row.
    pub fn new(key: impl Into<String>, value: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            value: value.into(),
        }
    }
}
