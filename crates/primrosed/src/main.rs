//! Command line entry point of the router daemon.

use std::process::ExitCode;

use primrosed::cli;
use primrosed::ops;

/// Exit code for invalid command line options.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let options = match cli::options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            let is_error = matches!(failure, bpaf::ParseFailure::Stderr(_));
            failure.print_message(100);
            return ExitCode::from(if is_error { EXIT_USAGE } else { 0 });
        }
    };
    let result = ops::start(&options);
    match result {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("error: {}", snafu::Report::from_error(&error));
            ExitCode::from(error.exit_code())
        }
    }
}
