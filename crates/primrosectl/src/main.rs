//! The operators' command line.

use std::process::ExitCode;

use bpaf::Args;
use bpaf::ParseFailure;
use log::LevelFilter;
use primrosectl::commands;
use primrosectl::commands::Command;
use primrosectl::context::Context;
use primrosectl::exit::Exit;
use primrosectl::shell::Shell;

/// Width of help texts, in characters.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    primrose_util::logger::init(LevelFilter::Warn);
    match commands::cli().run_inner(Args::current_args()) {
        Ok(command) => ExitCode::from(run(&command).code()),
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let requested = !matches!(failure, ParseFailure::Stderr(_));
            let exit = if requested {
                Exit::Done
            } else {
                Exit::BadInput
            };
            ExitCode::from(exit.code())
        }
    }
}

fn run(command: &Command) -> Exit {
    let target = command.target();
    let context = Context::open(&target);
    match context.and_then(|mut context| commands::exec(&mut context, command)) {
        Ok(()) => Exit::Done,
        Err(failure) => {
            Shell::standard(target.json).failure(&failure);
            failure.exit
        }
    }
}
