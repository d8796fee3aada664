//! Faults of a document with their locations.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The line is neither a section header, a `key = value` pair nor a comment.
    Syntax,
    /// The section is not known.
    UnknownSection,
    /// The key is not known in its section.
    UnknownKey,
    /// A required section is missing.
    MissingSection,
    /// A required key is missing.
    MissingKey,
    /// A section, key or name occurs twice.
    Duplicate,
    /// The value cannot be parsed or is out of range.
    BadValue,
    /// A name does not refer to anything in the document.
    Reference,
}

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Name of the file or document.
    pub file: String,
    /// Line number, from 1; 0 for the document as a whole.
    pub line: u32,
    /// Header of the section; empty outside of all sections.
    pub section: String,
    /// Key; empty if the fault does not concern one key.
    pub key: String,
    /// Description of the expected value.
    pub expected: String,
    /// Description of the value that was found.
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

/// All faults of a document, sorted by line; never empty.
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
