//! `primrosectl restore`: stores the tables again that the routers have in force.

use bpaf::construct;
use bpaf::Parser;

use super::target::target;
use crate::context::Context;
use crate::context::Target;
use crate::exit::Failure;
use crate::ops::restore::restore;
use crate::ops::restore::RestoreError;
use crate::ops::swap::SwapError;

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    /// The deployment.
    pub target: Target,
}

/// Defines the command line.
pub fn cli() -> impl Parser<Args> {
    let target = target();
    construct!(Args { target })
        .to_options()
        .descr(
            "Restores the newest tables that a router has in force to a service that has lost them.",
        )
        .footer("Example: primrosectl restore --router 10.0.1.2:8082 --router 10.0.2.2:8082")
        .command("restore")
}

/// Restores the tables and prints their header.
pub fn exec(context: &mut Context, _args: &Args) -> Result<(), Failure> {
    let routers = context.routers()?;
    let store = context.store()?;
    let (fleet, sleeper) = (context.fleet.as_ref(), context.sleeper.as_ref());
    let restored = restore(store, sleeper, fleet, routers, &context.keys.tables);
    let header = restored.map_err(failure)?;
    context.shell.progress("Restored", &header.to_string());
    context.shell.result(&header, "");
    Ok(())
}

fn failure(error: RestoreError) -> Failure {
    match &error {
        RestoreError::Swap {
            source: SwapError::Unknown { .. },
        } => Failure::unknown(error).hint("run the command again: it is safe to repeat"),
        _ => Failure::failed(error),
    }
}
