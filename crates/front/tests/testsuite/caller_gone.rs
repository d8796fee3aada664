//! Callers that disconnect before their answer is complete.

use primrose_front::Limits;
use primrose_request::AttemptResult;
use primrose_standin::engine::Engine;
use primrose_standin::engine::EngineConfig;
use primrose_standin::engine::Pace;
use primrose_standin::engine::RunState;
use primrose_standin::runtime::Runtime;

use crate::fixture;
use crate::fixture::Seen;

#[test]
fn a_caller_that_disconnects_while_queued_is_withdrawn() {
    let fixture = fixture::start(Limits::default());
    let stream = fixture::open(fixture.front.addr(), &fixture::chat(true, 5));
    fixture
        .broker
        .wait(|seen| matches!(seen, Seen::Enqueue { .. }));
    drop(stream);
    fixture.broker.wait(|seen| *seen == Seen::Withdraw);
}

#[test]
fn a_caller_that_disconnects_mid_stream_cancels_the_run_and_reports_the_attempt() {
    let runtime = Runtime::new().unwrap();
    let config = EngineConfig {
        model: "draft".to_owned(),
        pace: Pace::Manual,
        ..EngineConfig::default()
    };
    let engine = Engine::start(&runtime, config).unwrap();
    let fixture = fixture::start(Limits::default());
    fixture.broker.grant(engine.addr());
    let stream = fixture::open(fixture.front.addr(), &fixture::chat(true, 1000));
    while engine.runs().iter().all(|run| run.produced < 2) {
        engine.step();
    }
    drop(stream);
    fixture
        .broker
        .wait(|seen| *seen == Seen::Report(AttemptResult::Cancelled));
    let end = std::time::Instant::now() + fixture::TIMEOUT;
    while engine.runs()[0].state != RunState::Cancelled {
        assert!(std::time::Instant::now() < end, "{:?}", engine.runs());
        std::thread::yield_now();
    }
}
