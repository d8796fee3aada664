//! What control costs: bytes, messages, processor time, memory, and calls at the platform.
//!
//! One quantity of a zone at a time is changed around a base size, and a straight line is fitted
//! through the points of each. Then a zone of the planned size runs with short answers, once alone
//! and once while the tables are edited. As many streams as the plan has cannot be run here; what they
//! cost is worked out from the line over running streams and added.
//!
//! Links are counted in both directions, so each byte between two routers counts at both. What the
//! platform sends is not among these bytes; its calls are.

mod callers;
mod fit;
mod memory;
mod point;
mod size;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::measure::figure::Figure;
use crate::measure::figure::Target;
use crate::measure::process;
use crate::measure::Result;
use crate::TablesText;

use fit::Line;
use memory::Memory;
use point::Point;
use point::Run;
use point::Use;
use size::Factor;
use size::BASE;
use size::FACTORS;
use size::PLANNED;

/// Time of the run of the planned size: the longest pause between two looks at the platform.
const PLANNED_RUN: Duration = Duration::from_secs(30);
/// Bytes a second that a router may spend on control.
const ROUTER_BYTES: f64 = 23_000.0;
/// Share of a core that a router may spend on control.
const ROUTER_CORE: f64 = 0.014;
/// Bytes of memory that a router may spend on control.
const ROUTER_MEMORY: f64 = 64e6;
/// Reads a second that the key-value service takes.
const SERVICE_READS: f64 = 2000.0;
/// Writes a second that the key-value service takes: the low end of several hundred.
const SERVICE_WRITES: f64 = 300.0;
/// Least part of the wanted requests that must have been served for a figure to count.
const SERVED_SHARE: f64 = 0.95;
/// Zones of the plan.
const ZONES: f64 = 31.0;
/// Streams that run in a zone of the plan: 2.5 million tokens a second, 36 ms apart, in 31 zones.
const STREAMS: f64 = 2_500_000.0 * 0.036 / ZONES;
/// Edits of the tables a second: 17,000 a day.
const EDITS: f64 = 17_000.0 / 86_400.0;
/// Backend servers of a zone of the plan.
const SERVERS: f64 = 4_700.0 / ZONES;
/// Backend servers of the other zones of the plan.
const ELSEWHERE: f64 = 4_700.0 - SERVERS;
/// Unit of processor time.
const CORE: &str = "% of a core";
/// Accounts of the plan.
const ACCOUNTS: f64 = 450.0;

/// Lines over one quantity.
#[derive(Debug, Clone, Copy)]
struct Lines {
    bytes: Line,
    busiest_bytes: Line,
    cores: Line,
    busiest_core: Line,
}

/// A value as planned, for the mean router and for the busiest.
#[derive(Debug, Clone, Copy)]
struct Planned {
    mean: f64,
    busiest: f64,
}

/// Measures control over several sizes.
pub fn control() -> Result<Vec<Figure>> {
    println!("# load average {}", process::load_average()?);
    let memory = memory::measure()?;
    let lines = slopes()?;
    let mut run = Run::start(PLANNED)?;
    let quiet = run.point(PLANNED_RUN)?;
    println!("# {quiet}");
    let (edited, rate) = run.edited()?;
    println!("# with {rate:.2} edits/s: {edited}");
    run.end();
    println!("# load average {}", process::load_average()?);
    let mut figures = measured(&quiet);
    figures.extend(projected(&quiet, &edited, rate, &lines));
    figures.extend(sizes(memory, &quiet));
    Ok(figures)
}

/// Measures around the base size and fits the lines.
fn slopes() -> Result<BTreeMap<Factor, Lines>> {
    let mut seen: Vec<Point> = Vec::new();
    let mut lines = BTreeMap::new();
    for factor in FACTORS {
        let mut points = Vec::new();
        for size in factor.sizes() {
            let known = seen.iter().find(|point| point.size == size).cloned();
            let point = known.map_or_else(|| point::measure(size), Ok)?;
            seen.push(point.clone());
            points.push(point);
        }
        let over = |value: fn(&Point) -> f64| {
            let pairs = points
                .iter()
                .map(|point| (factor.of(point.size), value(point)));
            Line::fit(&pairs.collect::<Vec<_>>())
        };
        let fitted = Lines {
            bytes: over(|point| point.bytes.total),
            busiest_bytes: over(|point| point.bytes.most),
            cores: over(|point| point.cores.total * 100.0),
            busiest_core: over(|point| point.cores.most * 100.0),
        };
        println!("# fit over {factor}, zone: {} B/s", fitted.bytes);
        println!("# fit over {factor}, busiest: {} B/s", fitted.busiest_bytes);
        println!("# fit over {factor}, zone: {} % of a core", fitted.cores);
        println!(
            "# fit over {factor}, busiest: {} % of a core",
            fitted.busiest_core
        );
        println!(
            "# fit over {factor}, zone: {} messages/s",
            over(|point| point.messages.total)
        );
        lines.insert(factor, fitted);
    }
    Ok(lines)
}

/// Figures of the zone of the planned size, as it ran.
fn measured(point: &Point) -> Vec<Figure> {
    let least = PLANNED.rate * SERVED_SHARE;
    let mut figures = vec![Figure::new(
        "zone as run: short requests served",
        point.served,
        "1/s",
        Target::AtLeast(least),
    )];
    figures.extend(traffic("zone as run", mean_of(point.bytes)));
    figures.extend(processor("zone as run", mean_of(point.cores)));
    figures.push(Figure::new(
        "zone as run: messages of the mean router",
        mean_of(point.messages).mean,
        "1/s",
        Target::None,
    ));
    let service = |what: &str, value: f64, target| {
        let name = format!("key-value {what}, zone as run x 31");
        Figure::new(name, value * ZONES, "1/s", target)
    };
    figures.push(service("reads", point.reads, Target::AtMost(SERVICE_READS)));
    figures.push(service(
        "writes",
        point.writes,
        Target::AtMost(SERVICE_WRITES),
    ));
    figures.push(Figure::new(
        "host list calls, zone as run x 31",
        point.lists * ZONES,
        "1/s",
        Target::None,
    ));
    figures
}

/// Figures with the streams, the edits and the servers of other zones of the plan added.
fn projected(
    quiet: &Point,
    edited: &Point,
    rate: f64,
    lines: &BTreeMap<Factor, Lines>,
) -> Vec<Figure> {
    let running = lines[&Factor::Running];
    let elsewhere = lines[&Factor::Elsewhere];
    let routers = PLANNED.routers as f64;
    let streams = Planned {
        mean: running.bytes.slope * STREAMS / routers,
        busiest: running.busiest_bytes.slope * STREAMS,
    };
    let stream_cores = Planned {
        mean: running.cores.slope * STREAMS / routers / 100.0,
        busiest: running.busiest_core.slope * STREAMS / 100.0,
    };
    let list_cores = Planned {
        mean: elsewhere.cores.slope * ELSEWHERE / BASE.routers as f64 / 100.0,
        busiest: elsewhere.busiest_core.slope * ELSEWHERE / 100.0,
    };
    let edit = per_edit(edited.bytes, quiet.bytes, rate);
    let work = per_edit(edited.cores, quiet.cores, rate);
    let text = TablesText::new(&PLANNED.shape()).render(1);
    let mut figures = vec![
        shown("tables document", text.len() as f64 / 1e3, "KB"),
        shown("one edit, mean router", edit.mean / 1e3, "KB"),
        shown("one edit, busiest router", edit.busiest / 1e3, "KB"),
        shown(
            "17,000 edits a day, mean router",
            edit.mean * EDITS / 1e3,
            "KB/s",
        ),
        shown(
            "17,000 edits a day, busiest router",
            edit.busiest * EDITS / 1e3,
            "KB/s",
        ),
        shown("2,903 streams, mean router", streams.mean / 1e3, "KB/s"),
        shown(
            "2,903 streams, busiest router",
            streams.busiest / 1e3,
            "KB/s",
        ),
    ];
    for (what, cores) in [
        ("17,000 edits a day", times(work, EDITS)),
        ("2,903 streams", stream_cores),
        ("4,548 servers elsewhere", list_cores),
    ] {
        figures.extend([
            shown(&format!("{what}, mean router"), cores.mean * 100.0, CORE),
            shown(
                &format!("{what}, busiest router"),
                cores.busiest * 100.0,
                CORE,
            ),
        ]);
    }
    let bytes = sum(&[mean_of(quiet.bytes), streams, times(edit, EDITS)]);
    figures.extend(traffic("with all of these", bytes));
    let parts = [
        mean_of(quiet.cores),
        stream_cores,
        list_cores,
        times(work, EDITS),
    ];
    figures.extend(processor("with all of these", sum(&parts)));
    figures
}

fn shown(name: &str, value: f64, unit: &'static str) -> Figure {
    Figure::new(name, value, unit, Target::None)
}

/// What one edit adds.
fn per_edit(with: Use, without: Use, rate: f64) -> Planned {
    let (with, without) = (mean_of(with), mean_of(without));
    Planned {
        mean: (with.mean - without.mean) / rate,
        busiest: (with.busiest - without.busiest) / rate,
    }
}

fn times(planned: Planned, count: f64) -> Planned {
    Planned {
        mean: planned.mean * count,
        busiest: planned.busiest * count,
    }
}

fn sum(parts: &[Planned]) -> Planned {
    Planned {
        mean: parts.iter().map(|part| part.mean).sum(),
        busiest: parts.iter().map(|part| part.busiest).sum(),
    }
}

fn mean_of(used: Use) -> Planned {
    Planned {
        mean: used.total / PLANNED.routers as f64,
        busiest: used.most,
    }
}

fn traffic(what: &str, bytes: Planned) -> Vec<Figure> {
    let target = Target::AtMost(ROUTER_BYTES / 1e3);
    let name = |which: &str| format!("{what}: links of the {which} router");
    vec![
        Figure::new(name("mean"), bytes.mean / 1e3, "KB/s", target),
        Figure::new(name("busiest"), bytes.busiest / 1e3, "KB/s", target),
    ]
}

fn processor(what: &str, cores: Planned) -> Vec<Figure> {
    let target = Target::AtMost(ROUTER_CORE * 100.0);
    let name = |which: &str| format!("{what}: control of the {which} router");
    vec![
        Figure::new(name("mean"), cores.mean * 100.0, CORE, target),
        Figure::new(
            name("busiest"),
            cores.busiest * 100.0,
            "% of a core",
            target,
        ),
    ]
}

/// Figures of the memory of a router.
fn sizes(memory: Memory, point: &Point) -> Vec<Figure> {
    println!("# fit over routers: {} B", memory.router);
    println!("# fit over accounts, a router: {} B", memory.account);
    println!("# fit over servers, a router: {} B", memory.server);
    let planned =
        memory.router.slope + memory.account.slope * ACCOUNTS + memory.server.slope * SERVERS;
    let target = Target::AtMost(ROUTER_MEMORY / 1e6);
    let all = point.resident / PLANNED.routers as f64;
    vec![
        shown("memory of an idle router", memory.router.slope / 1e6, "MB"),
        Figure::new(
            "memory of an idle router, planned zone",
            planned / 1e6,
            "MB",
            target,
        ),
        shown(
            "whole process, zone as run, over 12 routers",
            all / 1e6,
            "MB",
        ),
    ]
}
