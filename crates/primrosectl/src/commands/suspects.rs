//! `primrosectl suspects`: requests that are suspected of crashing backend servers.

use std::collections::BTreeMap;

use bpaf::construct;
use bpaf::positional;
use bpaf::Parser;
use primrose_core::fingerprint::Fingerprint;
use primrose_report::status::SuspectStatus;
use serde::Serialize;

use super::router_failure;
use super::target::target;
use crate::context::Context;
use crate::context::Target;
use crate::exit::Failure;
use crate::ops::fleet::FleetError;

/// Arguments of the command.
#[derive(Debug, Clone)]
pub enum Args {
    /// Lists the suspected requests.
    List {
        /// The deployment.
        target: Target,
    },
    /// Allows a refused request again.
    Lift {
        /// The deployment.
        target: Target,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
}

impl Args {
    pub(super) fn target(&self) -> &Target {
        match self {
            Self::List { target } | Self::Lift { target, .. } => target,
        }
    }
}

/// A request that was allowed again, as JSON.
#[derive(Debug, Serialize)]
struct Lifted {
    fingerprint: String,
    routers: usize,
}

/// Defines the command line.
pub fn cli() -> impl Parser<Args> {
    let list = list_cli();
    let lift = lift_cli();
    construct!([list, lift])
        .to_options()
        .descr("Lists requests suspected of crashing servers, and allows one again.")
        .footer("Example: primrosectl suspects list")
        .command("suspects")
}

fn list_cli() -> impl Parser<Args> {
    let target = target();
    construct!(Args::List { target })
        .to_options()
        .descr("Lists suspected and refused requests with their fingerprints.")
        .footer("Example: primrosectl suspects list")
        .command("list")
}

fn lift_cli() -> impl Parser<Args> {
    let fingerprint = positional::<String>("FINGERPRINT")
        .help("Fingerprint of 16 hexadecimal digits, as `suspects list` shows it")
        .parse(|text| Fingerprint::from_str_radix(&text, 16));
    let target = target();
    construct!(Args::Lift {
        target,
        fingerprint
    })
    .to_options()
    .descr("Allows a refused request again, on the whole fleet.")
    .footer("Example: primrosectl suspects lift 00c0ffee00c0ffee")
    .command("lift")
}

/// Runs the command.
pub fn exec(context: &mut Context, args: &Args) -> Result<(), Failure> {
    match args {
        Args::List { .. } => exec_list(context),
        Args::Lift { fingerprint, .. } => exec_lift(context, *fingerprint),
    }
}

fn exec_list(context: &mut Context) -> Result<(), Failure> {
    // Routers learn of suspects at different times; each is listed once, with its most strikes.
    let mut found: BTreeMap<String, SuspectStatus> = BTreeMap::new();
    for router in context.routers()? {
        let suspects = context.fleet.suspects(*router);
        for suspect in suspects.map_err(|error| router_failure(*router, &error))? {
            let known = found.entry(suspect.fingerprint.clone());
            let known = known.or_insert_with(|| suspect.clone());
            if suspect.strikes > known.strikes {
                *known = suspect;
            }
        }
    }
    let rows: Vec<SuspectStatus> = found.into_values().collect();
    let lines: Vec<String> = rows.iter().map(render).collect();
    context.shell.result(&rows, &lines.join("\n"));
    Ok(())
}

fn render(suspect: &SuspectStatus) -> String {
    let SuspectStatus {
        fingerprint,
        account,
        route,
        strikes,
        state,
        expires,
    } = suspect;
    format!("{fingerprint} {state}, {strikes} servers lost, account {account}, route {route}, ends in {expires}s")
}

fn exec_lift(context: &mut Context, fingerprint: Fingerprint) -> Result<(), Failure> {
    let fingerprint = format!("{fingerprint:016x}");
    let mut routers = 0;
    let mut last_failure = None;
    for router in context.routers()? {
        match context.fleet.lift(*router, &fingerprint) {
            Ok(()) => routers += 1,
            // A router that does not know the fingerprint does not refuse the request.
            Err(FleetError::Refused { status: 404, .. }) => {}
            Err(error) => last_failure = Some(router_failure(*router, &error)),
        }
    }
    if let Some(failure) = last_failure {
        return Err(failure.hint("lifting is idempotent: run the command again"));
    }
    if routers == 0 {
        return Err(Failure::failed(format!("no router knows {fingerprint}")));
    }
    context.shell.progress("Lifted", &fingerprint);
    let lifted = Lifted {
        fingerprint,
        routers,
    };
    context.shell.result(&lifted, "");
    Ok(())
}
