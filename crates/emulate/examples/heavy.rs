//! Plays named patterns of heavy load through the real decisions and a baseline.
//!
//! `cargo run --release -p primrose-emulate --example heavy -- [PATTERN] [--seed N] [--seeds N]
//! [--svg FILE]`; with `--seeds`, the figures are of that many seeds together.

use std::process::ExitCode;

use plotters::prelude::*;
use primrose_emulate::pattern;
use primrose_emulate::pattern::Pattern;
use primrose_emulate::policy::Policy;
use primrose_emulate::score::Score;
use primrose_emulate::world;

struct Options {
    only: Option<String>,
    seed: u64,
    seeds: u64,
    svg: Option<String>,
}

fn options() -> Result<Options, String> {
    let mut options = Options {
        only: None,
        seed: 1,
        seeds: 1,
        svg: None,
    };
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        match word.as_str() {
            "--seed" => {
                let text = words.next().ok_or("--seed needs a number")?;
                options.seed = text.parse().map_err(|_| "--seed needs a number")?;
            }
            "--seeds" => {
                let text = words.next().ok_or("--seeds needs a number")?;
                options.seeds = text.parse().map_err(|_| "--seeds needs a number")?;
            }
            "--svg" => options.svg = Some(words.next().ok_or("--svg needs a file")?),
            name if pattern::named().iter().any(|(known, _)| *known == name) => {
                options.only = Some(word);
            }
            name => return Err(format!("no pattern or option is named {name}")),
        }
    }
    Ok(options)
}

fn main() -> ExitCode {
    let options = match options() {
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
    for (name, pattern) in pattern::named() {
        if options.only.as_ref().is_some_and(|only| only != name) {
            continue;
        }
        let mut curves = Vec::new();
        for (label, policy) in [
            ("fleet", Policy::Fleet),
            ("least-loaded", Policy::LeastLoaded),
        ] {
            let score = play(&pattern, policy, &options);
            print(name, label, &score);
            curves.push((label, score));
        }
        if let Some(file) = &options.svg {
            let drawn = draw(file, name, &curves);
            if let Err(error) = drawn {
                eprintln!("error: failed to draw {file}: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

/// Plays all seeds, side by side.
fn play(pattern: &Pattern, policy: Policy, options: &Options) -> Score {
    let seeds = options.seed..options.seed + options.seeds;
    let mut total = Score::default();
    std::thread::scope(|scope| {
        let plays: Vec<_> = seeds
            .map(|seed| scope.spawn(move || world::play(pattern, policy, seed)))
            .collect();
        for play in plays {
            // A play that panicked has said why.
            total.merge(&play.join().unwrap_or_default());
        }
    });
    total
}

fn print(name: &str, policy: &str, score: &Score) {
    println!(
        "{name:<24}{policy:<14}{:>7.3}{:>7.3}{:>9}{:>7.3}{:>7.3}{:>9.3}{:>9.2}{:>10}",
        score.all.share(),
        score.all.served(),
        score.all.ends[2],
        score.worst_account(),
        score.worst_zone(),
        score.worst_class(),
        score.read as f64 / 1e6,
        score.preempted,
    );
}

/// Draws the share of worth got by second.
fn draw(
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
        let points = points.map(|(second, tally)| (*second, tally.share()));
        chart.draw_series(LineSeries::new(points, color))?;
    }
    area.present()?;
    Ok(())
}
