//! The model engine itself.

use std::time::Duration;

use primrose_emulate::engine::Engine;
use primrose_emulate::engine::EngineConfig;
use primrose_emulate::engine::Made;
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
    let made = engine.advance(now + Duration::from_secs(5));
    let first = made.iter().find(|(_, made)| *made == Made::First(id));
    first.expect("a first token").0 - now
}

#[test]
fn a_kept_part_is_not_read_again() {
    let mut engine = Engine::new(EngineConfig::default());
    let cold = first_token(&mut engine, 1, prompt(7, 3_720), Duration::from_secs(1));
    let warm = first_token(&mut engine, 2, prompt(7, 3_720), Duration::from_secs(10));
    // The sheets: 17,000 tokens take 183 ms with nothing kept and 40 ms with the shared part,
    // beside the steps.
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
fn the_part_used_least_recently_gives_way() {
    let config = EngineConfig {
        memory: 40_000,
        ..EngineConfig::default()
    };
    let mut engine = Engine::new(config);
    for (number, shared) in [1, 2, 1, 3, 1].into_iter().enumerate() {
        let now = Duration::from_secs(1 + 10 * number as u64);
        first_token(&mut engine, number as u64, prompt(shared, 500), now);
    }
    // The first part was found twice; the second gave way to the third.
    assert_eq!(engine.counts.found, 2 * 13_300);
    first_token(&mut engine, 9, prompt(2, 500), Duration::from_secs(90));
    assert_eq!(engine.counts.found, 2 * 13_300);
}

#[test]
fn the_newest_request_starts_anew_when_memory_runs_out() {
    let config = EngineConfig {
        memory: 30_000,
        ..EngineConfig::default()
    };
    let mut engine = Engine::new(config);
    let now = Duration::from_secs(1);
    engine.submit(1, prompt(1, 8_000), 4_000, now);
    engine.submit(2, prompt(1, 1_000), 4_000, now);
    let made = engine.advance(now + Duration::from_secs(120));
    assert!(engine.counts.preempted > 0);
    let last = made
        .iter()
        .filter(|(_, made)| matches!(made, Made::Last(_)));
    let last: Vec<_> = last.map(|(_, made)| *made).collect();
    assert_eq!(last, [Made::Last(1), Made::Last(2)]);
}

#[test]
fn a_crash_loses_what_runs_and_what_is_kept() {
    let mut engine = Engine::new(EngineConfig::default());
    first_token(&mut engine, 1, prompt(7, 500), Duration::from_secs(1));
    engine.submit(2, prompt(7, 500), 10, Duration::from_secs(10));
    assert_eq!(engine.crash(), [2]);
    first_token(&mut engine, 3, prompt(7, 500), Duration::from_secs(20));
    assert_eq!(engine.counts.found, 0);
}
