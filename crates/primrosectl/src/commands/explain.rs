//! `primrosectl explain`: traces one request through log files.

use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;

use bpaf::construct;
use bpaf::positional;
use bpaf::Parser;

use super::target::json;
use crate::context::Context;
use crate::exit::Failure;
use crate::ops::explain::RequestTrace;

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    /// Whether to print JSON.
    pub json: bool,
    /// Id of the request.
    pub request: String,
    /// Paths of the log files; empty for standard input.
    pub logs: Vec<PathBuf>,
}

/// Defines the command line.
pub fn cli() -> impl Parser<Args> {
    let json = json();
    let request = positional::<String>("ID").help("Id of the request, as given by its client");
    let logs = positional::<PathBuf>("LOG")
        .help("Log of a gateway; standard input if none is named")
        .many();
    construct!(Args {
        json,
        request,
        logs
    })
    .to_options()
    .descr("Shows what gateways decided about one request, and why it ended as it did.")
    .footer("Example: primrosectl explain 9c41d07be2a35f68 gateway-*.log")
    .command("explain")
}

/// Reads the logs and prints the trace of the request.
pub fn exec(context: &mut Context, args: &Args) -> Result<(), Failure> {
    let mut trace = RequestTrace::default();
    if args.logs.is_empty() {
        let input = std::io::stdin().lock();
        let read = trace.read(input, &args.request);
        read.map_err(|error| Failure::failed(format!("standard input: {error}")))?;
    }
    for path in &args.logs {
        let failed = |error| Failure::bad_input(format!("{}: {error}", path.display()));
        let file = File::open(path).map_err(failed)?;
        trace
            .read(BufReader::new(file), &args.request)
            .map_err(failed)?;
    }
    if trace.steps.is_empty() {
        let failure = Failure::failed(format!("no line names request {}", args.request));
        return Err(
            failure.hint("check that the files include the logs of all gateways at that time")
        );
    }
    context.shell.result(&trace, &render(&trace));
    Ok(())
}

fn render(trace: &RequestTrace) -> String {
    let first = trace.steps.first().map_or(0, |step| step.unix_ms);
    let mut text = String::new();
    for step in &trace.steps {
        let after = step.unix_ms - first;
        let details = step.details.iter();
        let details = details.map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        });
        let details: Vec<String> = details.collect();
        text.push_str(&format!(
            "+{after} ms  {}  {}  {}\n",
            step.host,
            step.event,
            details.join(" ")
        ));
    }
    let reason = trace.reason();
    text.push_str(&format!(
        "end: {}",
        reason.unwrap_or_else(|| "no line says how it ended".to_owned())
    ));
    if trace.dropped > 0 || trace.unreadable > 0 {
        text.push_str(&format!(
            "\nincomplete: {} lines dropped by gateways, {} unreadable",
            trace.dropped, trace.unreadable
        ));
    }
    text
}
