//! The router daemon.

use std::process::ExitCode;

use primrosed::cli;
use primrosed::ops;

/// Exit code for bad options.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let options = match cli::options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            let bad = matches!(failure, bpaf::ParseFailure::Stderr(_));
            failure.print_message(100);
            return ExitCode::from(if bad { USAGE } else { 0 });
        }
    };
    let ended = ops::start(&options);
    match ended {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("error: {}", snafu::Report::from_error(&error));
            ExitCode::from(error.exit_code())
        }
    }
}
