//! Faults of a document, each with its place.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// What kind of fault it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The line is neither a header, a `key = value` nor a comment.
    Syntax,
    /// No such section exists.
    UnknownSection,
    /// No such key exists in the section.
    UnknownKey,
    /// A section that must be there is not.
    MissingSection,
    /// A key that must be there is not.
    MissingKey,
    /// A section, key or name stands twice.
    Duplicate,
    /// The value cannot be read or is out of bounds.
    BadValue,
    /// A name refers to something that is not in the document.
    Reference,
}

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// What kind of fault it is.
    pub kind: FaultKind,
    /// Name of the file or document.
    pub file: String,
    /// Line number, from 1; 0 for the document as a whole.
    pub line: u32,
    /// Header of the section; empty outside of any.
    pub section: String,
    /// Key; empty if the fault is not about one key.
    pub key: String,
    /// What was expected.
    pub expected: String,
    /// What was found instead.
    pub found: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}:", self.file)?;
        if self.line > 0 {
            write!(out, "{}:", self.line)?;
        }
        if !self.section.is_empty() {
            write!(out, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(out, " {}:", self.key)?;
        }
        write!(out, " expected {}, found {}", self.expected, self.found)
    }
}

/// All faults of a document, by line; never empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(out)?;
            }
            write!(out, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
