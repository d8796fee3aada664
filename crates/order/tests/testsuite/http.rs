//! The whole path over HTTP: the writer, the Consul adapter and the stand-ins.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use primrose_core::clock::Clock;
use primrose_order::Desired;
use primrose_order::Executor;
use primrose_order::HttpServerClient;
use primrose_order::OrderConfig;
use primrose_order::ServerClient;
use primrose_order::Target;
use primrose_order::Writer;
use primrose_standin::engine::Engine;
use primrose_standin::engine::EngineConfig;
use primrose_standin::kv::Kv;
use primrose_standin::kv::KvConfig;
use primrose_standin::runtime::Runtime;
use primrose_store::consul::ConsulConfig;
use primrose_store::consul::ConsulStore;
use primrose_support::clock::FakeClock;

/// Longest wait for an event that must come.
const TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn engines_are_ordered_over_http_until_they_are_as_the_table_says() {
    let runtime = Runtime::new().unwrap();
    let clock = Arc::new(FakeClock::new());
    let kv_config = KvConfig {
        clock: clock.clone(),
        ..KvConfig::default()
    };
    let kv = Kv::start(&runtime, kv_config).unwrap();
    let engines: Vec<Engine> = [true, false]
        .into_iter()
        .map(|checks_fence| {
            let config = EngineConfig {
                checks_fence,
                ..EngineConfig::default()
            };
            Engine::start(&runtime, config).unwrap()
        })
        .collect();
    let targets = engines.iter().enumerate().map(|(number, engine)| Target {
        server: format!("engine-{number}"),
        addr: engine.addr(),
        desired: Desired {
            model: "linen-7b".into(),
            version: "2".into(),
            role: "prefill".into(),
        },
        checks_fence: number == 0,
    });
    let mut writer = Writer::new(OrderConfig::new("fleet", "host-1", 1));
    writer.set_targets(targets.collect(), clock.now());
    let executor = Executor::new(
        Arc::new(ConsulStore::new(ConsulConfig::new(vec![kv.addr()]))),
        Arc::new(HttpServerClient::new(TIMEOUT)),
        clock.clone(),
    );

    let done = |engine: &Engine| {
        let state = engine.order_state();
        state.version == "2" && state.role == "prefill"
    };
    let end = Instant::now() + TIMEOUT;
    while !engines.iter().all(done) {
        assert!(Instant::now() < end, "engines were not ordered");
        executor.run(&mut writer, 50);
        clock.advance(Duration::from_millis(100));
        thread::yield_now();
    }
    for engine in &engines {
        let orders = engine.orders();
        assert_eq!(orders.len(), 2);
        assert!(orders
            .iter()
            .all(|order| order.accepted && order.fence == 1));
    }
}

#[test]
fn a_server_that_is_gone_is_told_apart_from_one_that_does_not_answer() {
    let runtime = Runtime::new().unwrap();
    let engine = Engine::start(&runtime, EngineConfig::default()).unwrap();
    let addr = engine.addr();
    engine.hang(true);
    let impatient = HttpServerClient::new(Duration::from_millis(50));
    assert!(!impatient.observe(addr).unwrap_err().refused);
    engine.crash();
    let patient = HttpServerClient::new(TIMEOUT);
    assert!(patient.observe(addr).unwrap_err().refused);
}
