//! Exit codes, and the error type that all commands return.

use std::error::Error;
use std::fmt;

use primrose_table::diff::Change;
use primrose_table::ini::Fault;
use primrose_table::ini::Faults;
use serde::Serialize;

/// Result of the program, reported as its exit code; part of its interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed and changed nothing.
    Failed,
    /// The arguments or an input file are invalid; nothing was attempted.
    BadInput,
    /// It is unknown whether a change took effect.
    Unknown,
    /// The change took effect, but was not in force on all routers within the time limit.
    Lagging,
}

impl Exit {
    /// Returns the exit code of the process.
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

/// Why a command failed.
#[derive(Debug)]
pub struct Failure {
    /// Exit code of the program.
    pub exit: Exit,
    /// The error, with its causes as sources.
    pub error: Box<dyn Error>,
    /// What the operator can do next; may be empty.
    pub hint: String,
    /// Faults of a document; may be empty.
    pub faults: Vec<Fault>,
    /// Changes by others that conflict with the operator's edit; may be empty.
    pub theirs: Vec<Change>,
    /// Whether the command's result, already printed, contains the failure.
    pub reported: bool,
}

impl Failure {
    /// Creates a failure that changed nothing.
    pub fn failed(error: impl Into<Box<dyn Error>>) -> Self {
        Self::new(Exit::Failed, error)
    }

    /// Creates a failure caused by invalid arguments or input.
    pub fn bad_input(error: impl Into<Box<dyn Error>>) -> Self {
        Self::new(Exit::BadInput, error)
    }

    /// Creates a failure after which it is unknown whether a change took effect.
    pub fn unknown(error: impl Into<Box<dyn Error>>) -> Self {
        Self::new(Exit::Unknown, error)
    }

    /// Creates a failure after a change that is not yet in force on all routers.
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
            reported: false,
        }
    }

    /// Marks the failure as contained in the command's result, so that JSON output does not repeat it.
    pub fn reported(mut self) -> Self {
        self.reported = true;
        self
    }

    /// Adds the faults of a document.
    pub fn faults(mut self, faults: Faults) -> Self {
        self.faults = faults.0;
        self
    }

    /// Adds the changes by others.
    pub fn theirs(mut self, theirs: Vec<Change>) -> Self {
        self.theirs = theirs;
        self
    }

    /// Adds a hint on what the operator can do next.
    pub fn hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = hint.into();
        self
    }

    /// Returns the messages of the error and its causes, outermost first.
    pub fn chain(&self) -> Vec<String> {
        let mut chain = vec![self.error.to_string()];
        let mut cause = self.error.source();
        while let Some(error) = cause {
            let text = error.to_string();
            // Skips a cause whose message the error already includes.
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
