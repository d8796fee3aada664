//! Time that a router adds to the first token, side by side with the engine alone.
//!
//! Single requests go in turn straight to an engine and through a router, while the router carries
//! a number of other streams at the pace that engines are run at. The single requests have an
//! engine of their own that steps finely, so that the wait for an engine's next step does not hide
//! what the router adds.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_standin::engine::EngineConfig;
use primrose_standin::engine::Pace;

use crate::client::model_body;
use crate::client::Client;
use crate::deployment::Deployment;
use crate::measure::fairness::percentile;
use crate::measure::figure::Figure;
use crate::measure::figure::Target;
use crate::measure::load::Crowd;
use crate::measure::load::Lengths;
use crate::measure::load::Load;
use crate::measure::Result;
use crate::shape::Shape;
use crate::shape::PROBE_MODEL;

/// Counts of streams that the router carries, the single request included.
const STREAMS: [usize; 3] = [1, 16, 256];
/// Single requests of each way.
const PROBES: usize = 400;
/// Output tokens of a single request.
const TOKENS: u64 = 4;
/// Time between tokens of the other streams: the target that engines are run at.
const TOKEN_TIME: Duration = Duration::from_millis(36);
/// Time between steps of the engine for single requests.
const PROBE_TIME: Duration = Duration::from_millis(1);
/// Time until the other streams have begun.
const WARM_UP: Duration = Duration::from_secs(2);
/// Largest median of the added time, in milliseconds.
const ADDED_MS: f64 = 2.0;
/// Seed of the other callers.
const SEED: u64 = 3;
/// Lengths of the other answers.
const LENGTHS: Lengths = Lengths {
    short: 100,
    long: 200,
    long_every: 4,
};

/// Measures the added time at several counts of streams.
pub fn first_token() -> Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for streams in STREAMS {
        let deployment = Deployment::start(shape(streams))?;
        let router = deployment.router(0).callers();
        let crowd = Crowd {
            account: deployment.shape().accounts[1].name.clone(),
            router,
            callers: streams - 1,
            lengths: LENGTHS,
        };
        let load = Load::start(&deployment, &[crowd], SEED)?;
        std::thread::sleep(WARM_UP);
        let (mut direct, mut routed) = probe(&deployment, router)?;
        drop(load.stop());
        for (percent, target) in [(50, Target::AtMost(ADDED_MS)), (99, Target::None)] {
            let direct = percentile(&mut direct, percent).as_secs_f64() * 1000.0;
            let routed = percentile(&mut routed, percent).as_secs_f64() * 1000.0;
            let name = |way: &str| format!("first token p{percent}, {streams} streams, {way}");
            figures.push(Figure::new(
                name("engine alone"),
                direct,
                "ms",
                Target::None,
            ));
            figures.push(Figure::new(
                name("through a router"),
                routed,
                "ms",
                Target::None,
            ));
            figures.push(Figure::new(name("added"), routed - direct, "ms", target));
        }
    }
    Ok(figures)
}

/// One zone with one engine that has room for all streams.
fn shape(streams: usize) -> Shape {
    let mut shape = Shape::three_zones();
    shape.zones.truncate(1);
    let slots = u32::try_from(streams * 2).unwrap_or(u32::MAX);
    let paced = |token| Pace::Timed {
        token,
        slowdown: 0.0,
        prefill: Duration::ZERO,
    };
    Shape {
        slots: (slots, slots),
        queue: 1000,
        engine: EngineConfig {
            batch: streams * 2,
            pace: paced(TOKEN_TIME),
            ..shape.engine.clone()
        },
        probe: Some(EngineConfig {
            model: PROBE_MODEL.to_owned(),
            pace: paced(PROBE_TIME),
            ..shape.engine.clone()
        }),
        ..shape
    }
}

/// Times of single requests, straight to the engine and through the router in turn.
fn probe(deployment: &Deployment, router: SocketAddr) -> Result<(Vec<Duration>, Vec<Duration>)> {
    let account = &deployment.shape().accounts[0].name;
    let client = Client::new(&deployment.bearer(account));
    let clock = deployment.clock();
    let engine = deployment.probe().map(|engine| engine.addr());
    let engine = engine.expect("the shape has an engine for single requests");
    let (mut direct, mut routed) = (Vec::new(), Vec::new());
    for number in 0..PROBES {
        let key = format!("{account}/probe-{number}");
        let body = model_body(PROBE_MODEL, &key, TOKENS, None, true);
        for (addr, times) in [(engine, &mut direct), (router, &mut routed)] {
            let begun = clock.now();
            let answer = client.stream(addr, &body, &key, &**clock, |_| {})?;
            times.extend(answer.times.first().map(|at| at.saturating_sub(begun)));
        }
    }
    Ok((direct, routed))
}
