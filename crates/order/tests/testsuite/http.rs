//! The whole path over HTTP: writer, Consul adapter, and stand-ins for Consul and the engines.

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

/// Maximum wait for an event that must occur.
const TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn engines_converge_to_the_desired_state_over_http() {
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

    let converged = |engine: &Engine| {
        let state = engine.order_state();
        state.version == "2" && state.role == "prefill"
    };
    let end = Instant::now() + TIMEOUT;
    while !engines.iter().all(converged) {
        assert!(Instant::now() < end, "the engines did not converge");
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
fn a_refused_connection_is_distinguished_from_a_timeout() {
    let runtime = Runtime::new().unwrap();
    let engine = Engine::start(&runtime, EngineConfig::default()).unwrap();
    let addr = engine.addr();
    engine.hang(true);
    let short_timeout = HttpServerClient::new(Duration::from_millis(50));
    assert!(!short_timeout.observe(addr).unwrap_err().refused);
    engine.crash();
    let long_timeout = HttpServerClient::new(TIMEOUT);
    assert!(long_timeout.observe(addr).unwrap_err().refused);
}
