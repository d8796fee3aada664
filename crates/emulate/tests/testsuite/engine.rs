//! Behavior of the simulated engine.

use std::time::Duration;

use primrose_emulate::engine::Engine;
use primrose_emulate::engine::EngineConfig;
use primrose_emulate::engine::EngineEvent;
use primrose_fleet::place::Prompt;

fn prompt(shared: u64, own_tokens: u64) -> Prompt {
    Prompt {
        shared,
        shared_tokens: 13_300,
        own_tokens,
        output_tokens: 50,
    }
}

fn first_token(engine: &mut Engine, id: u64, prompt: Prompt, now: Duration) -> Duration {
    engine.submit(id, prompt, 10, now);
    let events = engine.advance(now + Duration::from_secs(5));
    let first = events
        .iter()
        .find(|(_, event)| *event == EngineEvent::FirstToken(id));
    first.expect("a first token").0 - now
}

#[test]
fn a_cached_prefix_is_not_prefilled_again() {
    let mut engine = Engine::new(EngineConfig::default());
    let cold = first_token(&mut engine, 1, prompt(7, 3_720), Duration::from_secs(1));
    let warm = first_token(&mut engine, 2, prompt(7, 3_720), Duration::from_secs(10));
    // The data sheets give 183 ms to prefill 17,000 tokens with an empty cache and 40 ms with the
    // shared prefix cached, not counting the steps themselves.
    assert!(
        cold > Duration::from_millis(183) && cold < Duration::from_millis(300),
        "{cold:?}"
    );
    assert!(
        warm > Duration::from_millis(40) && warm < Duration::from_millis(80),
        "{warm:?}"
    );
}

#[test]
fn the_least_recently_used_prefix_is_evicted() {
    let config = EngineConfig {
        memory: 40_000,
        ..EngineConfig::default()
    };
    let mut engine = Engine::new(config);
    for (number, shared) in [1, 2, 1, 3, 1].into_iter().enumerate() {
        let now = Duration::from_secs(1 + 10 * number as u64);
        first_token(&mut engine, number as u64, prompt(shared, 500), now);
    }
    // Prefix 1 was cached on two of its three uses; prefix 2 was evicted in favor of prefix 3.
    assert_eq!(engine.counts.cached_tokens, 2 * 13_300);
    first_token(&mut engine, 9, prompt(2, 500), Duration::from_secs(90));
    assert_eq!(engine.counts.cached_tokens, 2 * 13_300);
}

#[test]
fn the_newest_request_is_preempted_when_memory_runs_out() {
    let config = EngineConfig {
        memory: 30_000,
        ..EngineConfig::default()
    };
    let mut engine = Engine::new(config);
    let now = Duration::from_secs(1);
    engine.submit(1, prompt(1, 8_000), 4_000, now);
    engine.submit(2, prompt(1, 1_000), 4_000, now);
    let events = engine.advance(now + Duration::from_secs(120));
    assert!(engine.counts.preemptions > 0);
    let last = events
        .iter()
        .filter(|(_, event)| matches!(event, EngineEvent::LastToken(_)));
    let last: Vec<_> = last.map(|(_, event)| *event).collect();
    assert_eq!(last, [EngineEvent::LastToken(1), EngineEvent::LastToken(2)]);
}

#[test]
fn a_crash_loses_running_requests_and_cached_prefixes() {
    let mut engine = Engine::new(EngineConfig::default());
    first_token(&mut engine, 1, prompt(7, 500), Duration::from_secs(1));
    engine.submit(2, prompt(7, 500), 10, Duration::from_secs(10));
    assert_eq!(engine.crash(), [2]);
    first_token(&mut engine, 3, prompt(7, 500), Duration::from_secs(20));
    assert_eq!(engine.counts.cached_tokens, 0);
}
