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

/// Arguments.
#[derive(Debug, Clone)]
pub struct Args {
    /// Host name or operator address of the router.
    pub router: String,
    /// The deployment.
    pub target: Target,
}

/// Which router drains.
#[derive(Debug, Serialize)]
struct View {
    draining: SocketAddr,
}

/// Accepts the command.
pub fn cli() -> impl Parser<Args> {
    let router = positional::<String>("ROUTER").help("Host name, or operator address IP:PORT");
    let target = target();
    construct!(Args { target, router })
        .to_options()
        .descr("Shuts a router down gracefully: no new work, what is in flight is finished.")
        .footer("Example: primrosectl drain 10.0.1.2:8082")
        .command("drain")
}

/// Begins the shutdown.
pub fn exec(context: &mut Context, args: &Args) -> Result<(), Failure> {
    let draining = find(context, &args.router)?;
    let drained = context.fleet.drain(draining);
    drained.map_err(|error| router_failure(draining, &error))?;
    let object = format!(
        "{}; `primrosectl status` shows when it is gone",
        args.router
    );
    context.shell.progress("Draining", &object);
    context.shell.result(&View { draining }, "");
    Ok(())
}

/// Finds a router by its address or by its host name.
fn find(context: &Context, router: &str) -> Result<SocketAddr, Failure> {
    if let Ok(addr) = router.parse() {
        return Ok(addr);
    }
    let answers = query_all(context.fleet.as_ref(), context.routers()?);
    let named = |status: &primrose_report::status::RouterStatus| status.host == router;
    let found = answers
        .iter()
        .find(|answer| answer.status.as_ref().is_ok_and(named));
    found.map(|answer| answer.router).ok_or_else(|| {
        Failure::failed(format!("no router that answers is named {router}"))
            .hint("`primrosectl status` lists them; a router can be named by its address too")
    })
}
