//! Simulates named patterns of heavy load with the gateways' placement code and with a baseline.
//!
//! `cargo run --release -p primrose-emulate --example heavy -- [PATTERN] [--seed N] [--seeds N]
//! [--svg FILE]`; with `--seeds`, the figures cover that many consecutive seeds together.

use std::process::ExitCode;

use plotters::prelude::*;
use primrose_emulate::pattern;
use primrose_emulate::pattern::Pattern;
use primrose_emulate::policy::Policy;
use primrose_emulate::score::Score;
use primrose_emulate::simulation;

struct Options {
    pattern_name: Option<String>,
    seed: u64,
    seeds: u64,
    svg: Option<String>,
}

fn parse_options() -> Result<Options, String> {
    let mut options = Options {
        pattern_name: None,
        seed: 1,
        seeds: 1,
        svg: None,
    };
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--seed" => {
                let text = args.next().ok_or("--seed needs a number")?;
                options.seed = text.parse().map_err(|_| "--seed needs a number")?;
            }
            "--seeds" => {
                let text = args.next().ok_or("--seeds needs a number")?;
                options.seeds = text.parse().map_err(|_| "--seeds needs a number")?;
            }
            "--svg" => options.svg = Some(args.next().ok_or("--svg needs a file")?),
            name if pattern::named_patterns()
                .iter()
                .any(|(known, _)| *known == name) =>
            {
                options.pattern_name = Some(arg);
            }
            name => return Err(format!("no pattern or option is named {name}")),
        }
    }
    Ok(options)
}

fn main() -> ExitCode {
    let options = match parse_options() {
        Ok(options) => options,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(2);
        }
    };
    println!(
        "{:<24}{:<14}{:>7}{:>7}{:>9}{:>7}{:>7}{:>9}{:>9}{:>10}",
        "pattern",
        "policy",
        "worth",
        "served",
        "refused",
        "worst",
        "worst",
        "worst",
        "Mtokens",
        "preempted"
    );
    println!(
        "{:<24}{:<14}{:>7}{:>7}{:>9}{:>7}{:>7}{:>9}{:>9}{:>10}",
        "", "", "", "", "", "acct", "zone", "class", "read", ""
    );
    for (name, pattern) in pattern::named_patterns() {
        if options
            .pattern_name
            .as_ref()
            .is_some_and(|pattern_name| pattern_name != name)
        {
            continue;
        }
        let mut curves = Vec::new();
        for (label, policy) in [
            ("fleet", Policy::Fleet),
            ("least-loaded", Policy::LeastLoaded),
        ] {
            let score = simulate_seeds(&pattern, policy, &options);
            print_row(name, label, &score);
            curves.push((label, score));
        }
        if let Some(file) = &options.svg {
            let result = plot(file, name, &curves);
            if let Err(error) = result {
                eprintln!("error: failed to draw {file}: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

/// Simulates all seeds in parallel and adds up their scores.
fn simulate_seeds(pattern: &Pattern, policy: Policy, options: &Options) -> Score {
    let seeds = options.seed..options.seed + options.seeds;
    let mut total = Score::default();
    std::thread::scope(|scope| {
        let threads: Vec<_> = seeds
            .map(|seed| scope.spawn(move || simulation::simulate(pattern, policy, seed)))
            .collect();
        for thread in threads {
            // A thread that panicked has printed the reason.
            total.merge(&thread.join().unwrap_or_default());
        }
    });
    total
}

fn print_row(name: &str, policy: &str, score: &Score) {
    println!(
        "{name:<24}{policy:<14}{:>7.3}{:>7.3}{:>9}{:>7.3}{:>7.3}{:>9.3}{:>9.2}{:>10}",
        score.all.worth_share(),
        score.all.served_share(),
        score.all.outcomes[2],
        score.worst_account(),
        score.worst_zone(),
        score.worst_class(),
        score.prefill_tokens as f64 / 1e6,
        score.preemptions,
    );
}

/// Plots the received share of worth by second of arrival.
fn plot(
    file: &str,
    name: &str,
    curves: &[(&str, Score)],
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let last = curves
        .iter()
        .filter_map(|(_, score)| score.seconds.keys().max());
    let last = last.max().copied().unwrap_or(1);
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0..last, 0.0..1.05)?;
    chart
        .configure_mesh()
        .x_desc(format!("second of arrival, pattern {name}"))
        .y_desc("share of worth")
        .draw()?;
    for ((_, score), color) in curves.iter().zip([BLUE, RED]) {
        let points = score.seconds.iter();
        let points = points.map(|(second, tally)| (*second, tally.worth_share()));
        chart.draw_series(LineSeries::new(points, color))?;
    }
    area.present()?;
    Ok(())
}
