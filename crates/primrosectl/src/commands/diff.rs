//! `primrosectl diff`: compares a file with the stored tables.

use std::path::PathBuf;

use bpaf::construct;
use bpaf::Parser;
use primrose_table::diff::Change;
use serde::Serialize;

use super::target::file;
use super::target::target;
use crate::context::read_file;
use crate::context::Context;
use crate::context::Target;
use crate::exit::Failure;
use crate::ops::tables::compare;
use crate::ops::tables::TablesError;

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    /// Path of the file.
    pub file: PathBuf,
    /// The deployment.
    pub target: Target,
}

/// Result as JSON.
#[derive(Debug, Serialize)]
struct View<'a> {
    changes: &'a [Change],
}

/// Defines the command line.
pub fn cli() -> impl Parser<Args> {
    let target = target();
    let file = file();
    construct!(Args { target, file })
        .to_options()
        .descr("Shows what applying a file would change.")
        .footer("Example: primrosectl diff tables.ini")
        .command("diff")
}

/// Renders changes as text.
pub(super) fn render(changes: &[Change]) -> String {
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Compares the file with the stored tables and prints the changes.
pub fn exec(context: &mut Context, args: &Args) -> Result<(), Failure> {
    let text = read_file(&args.file)?;
    let name = args.file.display().to_string();
    let store = context.store()?;
    let key = &context.keys.tables;
    let changes = compare(store, context.sleeper.as_ref(), key, &name, &text);
    let changes = changes.map_err(|error| match error {
        TablesError::File { ref source } => {
            let faults = source.clone();
            Failure::bad_input(error).faults(faults)
        }
        _ => Failure::failed(error),
    })?;
    let shown = match changes.is_empty() {
        true => "no difference".to_owned(),
        false => render(&changes),
    };
    context.shell.result(&View { changes: &changes }, &shown);
    Ok(())
}
