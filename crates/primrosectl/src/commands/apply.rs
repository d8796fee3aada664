//! `primrosectl apply`: replaces the stored tables by an edited file.

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

use super::diff::lines;
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
use crate::ops::swap::Swapped;

/// Arguments.
#[derive(Debug, Clone)]
pub struct Args {
    /// Wait this long for the edit to be in force on all routers.
    pub wait: Option<Duration>,
    /// The file.
    pub file: PathBuf,
    /// The deployment.
    pub target: Target,
}

/// What came of it.
#[derive(Debug, Serialize)]
struct View<'a> {
    #[serde(flatten)]
    header: Header,
    changes: &'a [Change],
    written: bool,
    followed: bool,
    /// Routers on which it is not in force yet; nothing if nobody waited.
    lagging: Option<&'a [String]>,
}

/// Accepts the command.
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
        .descr("Applies an edited document, if nobody has changed the tables in between.")
        .footer("Example: primrosectl show > tables.ini, edit it, primrosectl apply --wait 11s tables.ini")
        .command("apply")
}

/// Applies the file and prints what came of it.
pub fn exec(context: &mut Context, args: &Args) -> Result<(), Failure> {
    let text = read_file(&args.file)?;
    let file = args.file.display().to_string();
    let change = context.random.change().map_err(Failure::failed)?;
    if context.routers.is_empty() {
        let object = "no router is named; going by the key-value service alone";
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
    report(context, args, &applied)
}

fn report(context: &mut Context, args: &Args, applied: &Applied) -> Result<(), Failure> {
    let generation = applied.header.generation;
    match applied.swapped {
        None => context
            .shell
            .progress("Unchanged", &applied.header.to_string()),
        Some(Swapped::Newest) => context
            .shell
            .progress("Applied", &applied.header.to_string()),
        Some(Swapped::Followed) => {
            let object = format!("{}; a later change has followed", applied.header);
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
        written: applied.swapped.is_some(),
        followed: applied.swapped == Some(Swapped::Followed),
        lagging: lagging.as_deref(),
    };
    context.shell.result(&view, &lines(&applied.changes));
    settle_wait(context, generation, lagging)
}

fn settle_wait(
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
                .hint("`primrosectl status` shows what holds a router back")
                .told())
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
            .hint("run `primrosectl restore` to put back what the routers have in force"),
        ApplyError::Swap {
            source: SwapError::Unknown { change, .. },
        } => {
            let hint = format!(
                "the change may have taken effect or may yet; `primrosectl show` tells: \
                 look for change = {change:016x}"
            );
            Failure::unknown(error).hint(hint)
        }
        ApplyError::Store { .. } | ApplyError::Swap { .. } => Failure::failed(error),
    }
}
