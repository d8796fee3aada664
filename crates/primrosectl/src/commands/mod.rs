//! The commands: their arguments and output.

pub mod account;
pub mod apply;
pub mod check;
pub mod diff;
pub mod drain;
pub mod explain;
pub mod restore;
pub mod show;
pub mod status;
pub mod suspects;
pub mod target;
pub mod today;

use std::net::SocketAddr;

use bpaf::construct;
use bpaf::OptionParser;
use bpaf::Parser;

use crate::context::Context;
use crate::context::Target;
use crate::exit::Failure;
use crate::ops::fleet::FleetError;

/// Footer of the main help text.
const FOOTER: &str = "\
Exit codes: 0 done; 1 failed, nothing was changed; 2 bad arguments or input; \
3 unknown whether the change took effect; 4 applied, but not in force everywhere in time. \
Shell completion: add the output of `primrosectl --bpaf-complete-style-bash` \
(or -zsh, -fish, -elvish) to the shell's start-up file.";

/// One command with its arguments.
#[derive(Debug, Clone)]
pub enum Command {
    /// Checks a file.
    Check(check::Args),
    /// Prints the stored tables.
    Show(show::Args),
    /// Compares a file with the stored tables.
    Diff(diff::Args),
    /// Replaces the stored tables with a file.
    Apply(apply::Args),
    /// Restores the tables that the routers have in force.
    Restore(restore::Args),
    /// Prints the state of the routers.
    Status(status::Args),
    /// Shuts a router down gracefully.
    Drain(drain::Args),
    /// Prints the daily page.
    Today(today::Args),
    /// Changes the client accounts.
    Account(account::Args),
    /// Lists suspected requests, or allows one again.
    Suspects(suspects::Args),
    /// Traces one request through the logs.
    Explain(explain::Args),
}

impl Command {
    /// Returns the deployment that the command acts on.
    pub fn target(&self) -> Target {
        match self {
            Self::Check(args) => Target {
                json: args.json,
                ..Target::default()
            },
            Self::Explain(args) => Target {
                json: args.json,
                ..Target::default()
            },
            Self::Show(args) => args.target.clone(),
            Self::Diff(args) => args.target.clone(),
            Self::Apply(args) => args.target.clone(),
            Self::Restore(args) => args.target.clone(),
            Self::Status(args) => args.target.clone(),
            Self::Drain(args) => args.target.clone(),
            Self::Today(args) => args.target.clone(),
            Self::Account(args) => args.target().clone(),
            Self::Suspects(args) => args.target().clone(),
        }
    }
}

/// Defines the whole command line.
pub fn cli() -> OptionParser<Command> {
    let check = check::cli().map(Command::Check);
    let show = show::cli().map(Command::Show);
    let diff = diff::cli().map(Command::Diff);
    let apply = apply::cli().map(Command::Apply);
    let restore = restore::cli().map(Command::Restore);
    let status = status::cli().map(Command::Status);
    let drain = drain::cli().map(Command::Drain);
    let today = today::cli().map(Command::Today);
    let account = account::cli().map(Command::Account);
    let suspects = suspects::cli().map(Command::Suspects);
    let explain = explain::cli().map(Command::Explain);
    construct!([
        check, show, diff, apply, restore, status, drain, today, account, suspects, explain
    ])
    .to_options()
    .descr("Operates a primrosehall router fleet: its tables, accounts and state.")
    .footer(FOOTER)
    .version(env!("CARGO_PKG_VERSION"))
}

/// Creates a failure that names the router that caused it.
fn router_failure(router: SocketAddr, error: &FleetError) -> Failure {
    let failure = Failure::failed(format!("router {router}: {error}"));
    match error {
        FleetError::Refused { status: 404, .. } => {
            failure.hint("the router does not know this resource; it may run an older version")
        }
        _ => failure,
    }
}

/// Runs a command.
pub fn exec(context: &mut Context, command: &Command) -> Result<(), Failure> {
    match command {
        Command::Check(args) => check::exec(context, args),
        Command::Show(args) => show::exec(context, args),
        Command::Diff(args) => diff::exec(context, args),
        Command::Apply(args) => apply::exec(context, args),
        Command::Restore(args) => restore::exec(context, args),
        Command::Status(args) => status::exec(context, args),
        Command::Drain(args) => drain::exec(context, args),
        Command::Today(args) => today::exec(context, args),
        Command::Account(args) => account::exec(context, args),
        Command::Explain(args) => explain::exec(context, args),
        Command::Suspects(args) => suspects::exec(context, args),
    }
}
