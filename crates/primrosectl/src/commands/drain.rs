//! `primrosectl drain`: shuts a router down gracefully.

use std::net::SocketAddr;

use bpaf::construct;
use bpaf::positional;
use bpaf::Parser;
use serde::Serialize;

use super::router_failure;
use super::target::target;
use crate::context::Context;
use crate::context::Target;
use crate::exit::Failure;
use crate::ops::status::query_all;

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    /// Host name of the router, or address of its operator listener.
    pub router: String,
    /// The deployment.
    pub target: Target,
}

/// Result as JSON.
#[derive(Debug, Serialize)]
struct View {
    draining: SocketAddr,
}

/// Defines the command line.
pub fn cli() -> impl Parser<Args> {
    let router = positional::<String>("ROUTER").help("Host name, or operator address IP:PORT");
    let target = target();
    construct!(Args { target, router })
        .to_options()
        .descr("Shuts a router down gracefully: it takes no new requests and finishes those in flight.")
        .footer("Example: primrosectl drain 10.0.1.2:8082")
        .command("drain")
}

/// Starts the shutdown of the router.
pub fn exec(context: &mut Context, args: &Args) -> Result<(), Failure> {
    let draining = find(context, &args.router)?;
    let drained = context.fleet.drain(draining);
    drained.map_err(|error| router_failure(draining, &error))?;
    let object = format!(
        "{}; `primrosectl status` shows when it has shut down",
        args.router
    );
    context.shell.progress("Draining", &object);
    context.shell.result(&View { draining }, "");
    Ok(())
}

/// Returns the address of a router that is given by its address or host name.
fn find(context: &Context, router: &str) -> Result<SocketAddr, Failure> {
    if let Ok(addr) = router.parse() {
        return Ok(addr);
    }
    let answers = query_all(context.fleet.as_ref(), context.routers()?);
    let matches_host = |status: &primrose_report::status::RouterStatus| status.host == router;
    let found = answers
        .iter()
        .find(|answer| answer.status.as_ref().is_ok_and(matches_host));
    found.map(|answer| answer.router).ok_or_else(|| {
        Failure::failed(format!("no router that answers is named {router}"))
            .hint("`primrosectl status` lists them; a router can be named by its address too")
    })
}
