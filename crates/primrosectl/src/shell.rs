//! Output of the commands: results, progress and failures, as text or as JSON.

use std::io::Write;

use primrose_table::diff::Change;
use primrose_table::ini::Fault;
use serde::Serialize;

use crate::exit::Exit;
use crate::exit::Failure;

/// Width of the verb before a progress line, in characters.
const VERB_WIDTH: usize = 12;

/// Prints the output of a command.
///
/// Results go to the first writer, progress and failures to the second. With JSON, exactly one
/// value goes to the first, also for a failure. A closed writer is not an error: its reader, such as
/// `head`, has read enough.
pub struct Shell {
    out: Box<dyn Write>,
    err: Box<dyn Write>,
    json: bool,
}

/// A failure as JSON.
#[derive(Debug, Serialize)]
struct FailureView<'a> {
    error: &'a str,
    causes: &'a [String],
    #[serde(skip_serializing_if = "str::is_empty")]
    hint: &'a str,
    #[serde(skip_serializing_if = "<[Fault]>::is_empty")]
    faults: &'a [Fault],
    #[serde(skip_serializing_if = "<[Change]>::is_empty")]
    theirs: &'a [Change],
    exit: Exit,
}

impl Shell {
    /// Creates a shell that prints to these writers.
    pub fn new(out: Box<dyn Write>, err: Box<dyn Write>, json: bool) -> Self {
        Self { out, err, json }
    }

    /// Creates a shell that prints to standard output and standard error.
    pub fn standard(json: bool) -> Self {
        let out = Box::new(std::io::stdout());
        Self::new(out, Box::new(std::io::stderr()), json)
    }

    /// Prints a result: the value as JSON, or the text, which may have several lines.
    pub fn result(&mut self, value: &impl Serialize, text: &str) {
        if self.json {
            match serde_json::to_string_pretty(value) {
                Ok(json) => print(&mut self.out, &json),
                Err(error) => print(&mut self.err, &format!("error: {error}")),
            }
        } else if !text.is_empty() {
            print(&mut self.out, text);
        }
    }

    /// Prints a progress line of a verb and its object; nothing with JSON.
    pub fn progress(&mut self, verb: &str, object: &str) {
        if !self.json {
            print(&mut self.err, &format!("{verb:>VERB_WIDTH$} {object}"));
        }
    }

    /// Prints why a command failed.
    pub fn failure(&mut self, failure: &Failure) {
        if !self.json {
            print(&mut self.err, &failure.to_string());
            return;
        }
        if failure.reported {
            return;
        }
        let chain = failure.chain();
        let (error, causes) = match chain.split_first() {
            Some((error, causes)) => (error.as_str(), causes),
            None => ("", &[][..]),
        };
        let view = FailureView {
            error,
            causes,
            hint: &failure.hint,
            faults: &failure.faults,
            theirs: &failure.theirs,
            exit: failure.exit,
        };
        self.result(&view, "");
    }
}

fn print(writer: &mut dyn Write, text: &str) {
    let text = text.trim_end_matches('\n');
    // This fails only if the reader has closed the stream.
    let _ = writeln!(writer, "{text}").and_then(|()| writer.flush());
}
