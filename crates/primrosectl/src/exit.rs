//! Exit codes, and the one error type that commands end with.

use std::error::Error;
use std::fmt;

use primrose_table::diff::Change;
use primrose_table::ini::Fault;
use primrose_table::ini::Faults;
use serde::Serialize;

/// How the program ends; part of its interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exit {
    /// The command did what it was asked.
    Done,
    /// The command failed and changed nothing.
    Failed,
    /// The arguments or an input file cannot be used; nothing was tried.
    BadInput,
    /// It is unknown whether a change took effect.
    Unknown,
    /// The change took effect, but was not in force on all routers in time.
    Lagging,
}

impl Exit {
    /// Returns the code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::BadInput => 2,
            Self::Unknown => 3,
            Self::Lagging => 4,
        }
    }
}

/// Why a command did not do what it was asked.
#[derive(Debug)]
pub struct Failure {
    /// How the program ends.
    pub exit: Exit,
    /// What went wrong, with its causes.
    pub error: Box<dyn Error>,
    /// What the operator can do next; empty for nothing.
    pub hint: String,
    /// Faults of a document, one by one; empty for none.
    pub faults: Vec<Fault>,
    /// What others changed; empty for nothing.
    pub theirs: Vec<Change>,
    /// Whether the command's result, which was printed, says the same.
    pub told: bool,
}

impl Failure {
    /// Makes a failure that changed nothing.
    pub fn failed(error: impl Into<Box<dyn Error>>) -> Self {
        Self::new(Exit::Failed, error)
    }

    /// Makes a failure by what the operator gave.
    pub fn bad_input(error: impl Into<Box<dyn Error>>) -> Self {
        Self::new(Exit::BadInput, error)
    }

    /// Makes a failure after which it is unknown whether a change took effect.
    pub fn unknown(error: impl Into<Box<dyn Error>>) -> Self {
        Self::new(Exit::Unknown, error)
    }

    /// Makes a failure after a change that is not in force on all routers.
    pub fn lagging(error: impl Into<Box<dyn Error>>) -> Self {
        Self::new(Exit::Lagging, error)
    }

    fn new(exit: Exit, error: impl Into<Box<dyn Error>>) -> Self {
        Self {
            exit,
            error: error.into(),
            hint: String::new(),
            faults: Vec::new(),
            theirs: Vec::new(),
            told: false,
        }
    }

    /// Says that the result, which was printed, tells of the failure.
    pub fn told(mut self) -> Self {
        self.told = true;
        self
    }

    /// Adds the faults of a document.
    pub fn faults(mut self, faults: Faults) -> Self {
        self.faults = faults.0;
        self
    }

    /// Adds what others changed.
    pub fn theirs(mut self, theirs: Vec<Change>) -> Self {
        self.theirs = theirs;
        self
    }

    /// Adds what the operator can do next.
    pub fn hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = hint.into();
        self
    }

    /// Returns the error and its causes, the outermost first.
    pub fn chain(&self) -> Vec<String> {
        let mut chain = vec![self.error.to_string()];
        let mut cause = self.error.source();
        while let Some(error) = cause {
            let text = error.to_string();
            // Some errors repeat their cause in their own text.
            if !chain.last().is_some_and(|last| last.contains(&text)) {
                chain.push(text);
            }
            cause = error.source();
        }
        chain
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "error: {}", self.chain().join("\n  caused by: "))?;
        if !self.theirs.is_empty() {
            write!(out, "\n  what the others changed:")?;
        }
        for change in &self.theirs {
            write!(out, "\n{change}")?;
        }
        if !self.hint.is_empty() {
            write!(out, "\n  hint: {}", self.hint)?;
        }
        Ok(())
    }
}
