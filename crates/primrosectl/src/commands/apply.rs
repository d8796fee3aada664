//! `primrosectl apply`: replaces the stored tables with an edited file.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::construct;
use bpaf::long;
use bpaf::Parser;
use primrose_core::id::Generation;
use primrose_table::diff::Change;
use primrose_table::header::Header;
use primrose_table::value::duration;
use serde::Serialize;

use super::diff::render;
use super::target::file;
use super::target::target;
use crate::context::read_file;
use crate::context::Context;
use crate::context::Target;
use crate::exit::Failure;
use crate::ops::apply::apply;
use crate::ops::apply::Applied;
use crate::ops::apply::ApplyError;
use crate::ops::apply::Edit;
use crate::ops::status::newest_generation;
use crate::ops::status::query_all;
use crate::ops::status::wait_in_force;
use crate::ops::swap::SwapError;
use crate::ops::swap::SwapOutcome;

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    /// Time limit of the wait until the edit is in force on all routers; `None` does not wait.
    pub wait: Option<Duration>,
    /// Path of the edited file.
    pub file: PathBuf,
    /// The deployment.
    pub target: Target,
}

/// Result as JSON.
#[derive(Debug, Serialize)]
struct View<'a> {
    #[serde(flatten)]
    header: Header,
    changes: &'a [Change],
    written: bool,
    followed: bool,
    /// Routers on which the edit is not in force yet; `None` without a wait.
    lagging: Option<&'a [String]>,
}

/// Defines the command line.
pub fn cli() -> impl Parser<Args> {
    let wait = long("wait")
        .help("Wait up to this time until the edit is in force on all routers")
        .argument::<String>("DURATION")
        .parse(|text| duration(&text).map_err(|expected| format!("expected {expected}")))
        .optional();
    let target = target();
    let file = file();
    construct!(Args { wait, target, file })
        .to_options()
        .descr("Applies an edited document, if nobody else has changed the tables since it was read.")
        .footer("Example: primrosectl show > tables.ini, edit it, primrosectl apply --wait 11s tables.ini")
        .command("apply")
}

/// Applies the file and prints the result.
pub fn exec(context: &mut Context, args: &Args) -> Result<(), Failure> {
    let text = read_file(&args.file)?;
    let file = args.file.display().to_string();
    let change = context.random.change().map_err(Failure::failed)?;
    if context.routers.is_empty() {
        let object = "no router is named; checking against the key-value service alone";
        context.shell.progress("Note", object);
    }
    let fleet_generation = newest_generation(&query_all(context.fleet.as_ref(), &context.routers));
    let edit = Edit {
        file: &file,
        text: &text,
        change,
        fleet_generation,
    };
    let store = context.store()?;
    let key = &context.keys.tables;
    let applied = apply(store, context.sleeper.as_ref(), key, &edit).map_err(failure)?;
    report_result(context, args, &applied)
}

fn report_result(context: &mut Context, args: &Args, applied: &Applied) -> Result<(), Failure> {
    let generation = applied.header.generation;
    match applied.outcome {
        None => context
            .shell
            .progress("Unchanged", &applied.header.to_string()),
        Some(SwapOutcome::Newest) => context
            .shell
            .progress("Applied", &applied.header.to_string()),
        Some(SwapOutcome::Superseded) => {
            let object = format!("{}; a later change has already replaced it", applied.header);
            context.shell.progress("Applied", &object);
        }
    }
    let lagging = args.wait.map(|limit| {
        let fleet = context.fleet.as_ref();
        let sleeper = context.sleeper.as_ref();
        let late = wait_in_force(fleet, sleeper, &context.routers, generation, limit);
        late.iter()
            .map(ToString::to_string)
            .collect::<Vec<String>>()
    });
    let view = View {
        header: applied.header,
        changes: &applied.changes,
        written: applied.outcome.is_some(),
        followed: applied.outcome == Some(SwapOutcome::Superseded),
        lagging: lagging.as_deref(),
    };
    context.shell.result(&view, &render(&applied.changes));
    report_wait(context, generation, lagging)
}

fn report_wait(
    context: &mut Context,
    generation: Generation,
    lagging: Option<Vec<String>>,
) -> Result<(), Failure> {
    match lagging {
        None => Ok(()),
        Some(late) if late.is_empty() => {
            let count = context.routers.len();
            let object = format!("generation {generation} on {count} routers");
            context.shell.progress("In force", &object);
            Ok(())
        }
        Some(late) => {
            let late = late.join(", ");
            let error = format!("generation {generation} is stored but not in force on {late}");
            Err(Failure::lagging(error)
                .hint("`primrosectl status` shows why a router lags")
                .reported())
        }
    }
}

fn failure(error: ApplyError) -> Failure {
    match error {
        ApplyError::File { ref source } => {
            let faults = source.clone();
            Failure::bad_input(error).faults(faults)
        }
        ApplyError::TooLarge { .. } => Failure::bad_input(error),
        ApplyError::Conflict { ref theirs, .. } => {
            let theirs = theirs.clone().unwrap_or_default();
            Failure::failed(error).theirs(theirs).hint(
                "nothing was changed; run `primrosectl show`, make the edit on that, and apply it",
            )
        }
        ApplyError::StoreBehind { .. } => Failure::failed(error)
            .hint("run `primrosectl restore` to store again what the routers have in force"),
        ApplyError::Swap {
            source: SwapError::Unknown { change, .. },
        } => {
            let hint = format!(
                "the change may have taken effect or may still do so; in the output of \
                 `primrosectl show`, look for change = {change:016x}"
            );
            Failure::unknown(error).hint(hint)
        }
        ApplyError::Store { .. } | ApplyError::Swap { .. } => Failure::failed(error),
    }
}
