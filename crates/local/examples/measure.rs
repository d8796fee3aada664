//! Prints a line for each measured figure: name, value, unit, target, and whether it is met.
//!
//! Ends with exit code 1 if any figure is short of its target.

use std::process::ExitCode;

use bpaf::Parser;
use primrose_local::measure;
use primrose_local::measure::Figure;
use primrose_local::Shape;

/// What to measure.
#[derive(Debug, Clone, Copy)]
enum What {
    Fairness,
    Utilisation,
    FirstToken,
    Control,
    Config,
}

fn what() -> impl Parser<What> {
    let command = |name: &'static str, help: &'static str, what| {
        bpaf::pure(what).to_options().descr(help).command(name)
    };
    let fairness = command(
        "fairness",
        "Service gap between client accounts, beside baselines",
        What::Fairness,
    );
    let utilisation = command(
        "utilisation",
        "Slots busy while work waits, beside baselines",
        What::Utilisation,
    );
    let first_token = command(
        "first-token",
        "Time that a router adds to the first token",
        What::FirstToken,
    );
    let control = command(
        "control",
        "Control traffic, processor time and memory, by the size of a zone",
        What::Control,
    );
    let config = command(
        "config",
        "Time until an edit of the tables is in force everywhere",
        What::Config,
    );
    bpaf::construct!([fairness, utilisation, first_token, control, config])
}

/// What to measure, and where.
#[derive(Debug, Clone)]
struct Options {
    deployment: Option<String>,
    what: What,
}

fn options() -> impl Parser<Options> {
    let deployment = bpaf::long("deployment")
        .help("Measure only this deployment: utility or co-op")
        .argument::<String>("NAME")
        .optional();
    let what = what();
    bpaf::construct!(Options { deployment, what })
}

fn main() -> ExitCode {
    primrose_util::logger::init(log::LevelFilter::Error);
    let options = options()
        .to_options()
        .descr("Measures a deployment in this process against its targets")
        .run();
    match run(&options) {
        Ok(figures) => {
            let short = figures.iter().filter(|figure| !figure.is_ok()).count();
            for figure in &figures {
                println!("{figure}");
            }
            println!("{} figures, {short} short", figures.len());
            ExitCode::from(u8::from(short > 0))
        }
        Err(error) => {
            eprintln!("error: {}", snafu::Report::from_error(error));
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> measure::Result<Vec<Figure>> {
    let mut deployments = vec![("utility", Shape::utility()), ("co-op", Shape::co_op())];
    if let Some(wanted) = &options.deployment {
        deployments.retain(|(name, _)| name == wanted);
    }
    let mut figures = Vec::new();
    match options.what {
        What::FirstToken => figures = measure::first_token()?,
        What::Control => figures = measure::control()?,
        What::Config => {
            for (name, shape) in &deployments {
                figures.extend(measure::config(name, shape)?);
            }
        }
        What::Fairness => {
            for (name, shape) in &deployments {
                figures.extend(measure::fairness(name, shape)?);
            }
        }
        What::Utilisation => {
            for (name, shape) in &deployments {
                figures.extend(measure::utilisation(name, shape)?);
            }
        }
    }
    Ok(figures)
}
