//! `primrosectl show`: prints the stored tables, ready to be edited and applied.

use std::net::SocketAddr;

use bpaf::construct;
use bpaf::long;
use bpaf::Parser;
use primrose_table::header::peek;
use primrose_table::header::Header;
use serde::Serialize;

use super::router_failure;
use super::target::target;
use crate::context::Context;
use crate::context::Target;
use crate::exit::Failure;
use crate::ops::tables::show;

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    /// Router whose document in force is printed instead of the stored one.
    pub in_force: Option<SocketAddr>,
    /// The deployment.
    pub target: Target,
}

/// The document as JSON.
#[derive(Debug, Serialize)]
struct View<'a> {
    header: Option<Header>,
    text: &'a str,
}

/// Defines the command line.
pub fn cli() -> impl Parser<Args> {
    let in_force = long("in-force")
        .help("Print what the router with this operator address has in force instead")
        .argument::<SocketAddr>("IP:PORT")
        .optional();
    let target = target();
    construct!(Args { in_force, target })
        .to_options()
        .descr("Prints the stored tables with the generation that an edit is based on.")
        .footer("Example: primrosectl show > tables.ini")
        .command("show")
}

/// Prints the document.
pub fn exec(context: &mut Context, args: &Args) -> Result<(), Failure> {
    let text = match args.in_force {
        Some(router) => {
            let text = context.fleet.tables(router);
            text.map_err(|error| router_failure(router, &error))?
        }
        None => stored(context)?,
    };
    let header = peek(&text);
    let view = View {
        header,
        text: &text,
    };
    context.shell.result(&view, &text);
    Ok(())
}

fn stored(context: &Context) -> Result<String, Failure> {
    let store = context.store()?;
    let key = &context.keys.tables;
    let stored = show(store, context.sleeper.as_ref(), key).map_err(Failure::failed)?;
    if stored.version == 0 {
        return Err(Failure::failed(format!("no tables are stored under {key}"))
            .hint("apply a first document with generation = 0, or check --prefix"));
    }
    Ok(stored.text)
}
