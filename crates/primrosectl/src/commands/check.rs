//! `primrosectl check`: validates a file and lists all its faults.

use std::path::PathBuf;

use bpaf::construct;
use bpaf::Parser;
use primrose_table::document::Document;
use serde::Serialize;

use super::target::file;
use super::target::json;
use crate::context::read_file;
use crate::context::Context;
use crate::exit::Failure;

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    /// Path of the file.
    pub file: PathBuf,
    /// Whether to print JSON.
    pub json: bool,
}

/// Contents of a valid file, as JSON.
#[derive(Debug, Serialize)]
struct View {
    generation: u64,
    routes: usize,
    pools: usize,
}

/// Defines the command line.
pub fn cli() -> impl Parser<Args> {
    let json = json();
    let file = file();
    construct!(Args { json, file })
        .to_options()
        .descr("Checks a document with the tables; nothing is sent anywhere.")
        .footer("Example: primrosectl check tables.ini")
        .command("check")
}

/// Checks the file and prints a summary.
pub fn exec(context: &mut Context, args: &Args) -> Result<(), Failure> {
    let text = read_file(&args.file)?;
    let name = args.file.display().to_string();
    let document = Document::parse(&name, &text)
        .map_err(|faults| Failure::bad_input(faults.clone()).faults(faults))?;
    let view = View {
        generation: document.table.generation,
        routes: document.table.routes.len(),
        pools: document.table.pools.len(),
    };
    let View { routes, pools, .. } = view;
    let shown = format!("{name}: {routes} routes and {pools} pools, no faults");
    context.shell.result(&view, &shown);
    Ok(())
}
