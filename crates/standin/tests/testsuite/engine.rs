//! Tests of the engine: streaming, batching, resuming, cancelling, caching and orders.

use std::time::Duration;

use primrose_standin::engine::answer_text;
use primrose_standin::engine::Engine;
use primrose_standin::engine::EngineConfig;
use primrose_standin::engine::Load;
use primrose_standin::engine::Pace;
use primrose_standin::engine::RunState;
use primrose_standin::runtime::Runtime;
use serde_json::Value;

use crate::client::agent;
use crate::client::chat;
use crate::client::get;
use crate::client::open_stream;
use crate::client::post_chat;
use crate::client::wait_until;

fn manual_config() -> EngineConfig {
    EngineConfig {
        pace: Pace::Manual,
        ..EngineConfig::default()
    }
}

fn fast_config() -> EngineConfig {
    EngineConfig {
        pace: Pace::Timed {
            token: Duration::from_micros(100),
            slowdown: 0.0,
            prefill: Duration::ZERO,
        },
        load_lag: Duration::ZERO,
        event_lag: Duration::ZERO,
        ..EngineConfig::default()
    }
}

fn content(data: &str) -> String {
    let chunk: Value = serde_json::from_str(data).expect("a chunk is JSON");
    let text = chunk["choices"][0]["delta"]["content"].as_str();
    text.unwrap_or_default().to_owned()
}

#[test]
fn streamed_and_unstreamed_answers_have_the_same_text() {
    let runtime = Runtime::new().unwrap();
    let engine = Engine::start(&runtime, fast_config()).unwrap();
    let body = chat("draft a notice", 5, true);
    let expected = answer_text(body.as_bytes(), 0).unwrap();

    let (status, text) = post_chat(engine.addr(), "a1", &body).unwrap();
    assert_eq!(status, 200);
    let data: Vec<&str> = text
        .lines()
        .filter_map(|l| l.strip_prefix("data: "))
        .collect();
    assert_eq!(data.last(), Some(&"[DONE]"));
    let tokens = &data[..data.len() - 2];
    assert_eq!(tokens.len(), 5);
    let streamed: String = tokens.iter().map(|data| content(data)).collect();
    assert_eq!(streamed, expected);
    let usage: Value = serde_json::from_str(data[data.len() - 2]).unwrap();
    assert_eq!(usage["usage"]["completion_tokens"], 5);
    assert_eq!(usage["usage"]["prompt_tokens"], 4);

    let (status, text) = post_chat(
        engine.addr(),
        "a2",
        &body.replace(r#""stream":true"#, r#""stream":false"#),
    )
    .unwrap();
    let completion: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(status, 200);
    assert_eq!(
        completion["choices"][0]["message"]["content"],
        expected.as_str()
    );
}

#[test]
fn every_event_is_sent_as_soon_as_it_is_generated() {
    let runtime = Runtime::new().unwrap();
    let engine = Engine::start(&runtime, manual_config()).unwrap();
    let body = chat("draft", 3, true);
    let mut lines = open_stream(engine.addr(), "a1", &body);
    for number in 1..=3 {
        engine.step();
        // The next token does not exist before the next step, so this one was not buffered.
        let text = content(&lines.next_data().unwrap());
        assert!(text.ends_with(&format!(".{number} ")), "{text}");
    }
}

#[test]
fn requests_beyond_the_batch_are_queued_in_order() {
    let runtime = Runtime::new().unwrap();
    let config = EngineConfig {
        batch: 2,
        load_lag: Duration::ZERO,
        ..manual_config()
    };
    let engine = Engine::start(&runtime, config).unwrap();
    let _streams: Vec<_> = ["a", "b", "c", "d"]
        .iter()
        .map(|name| open_stream(engine.addr(), name, &chat(name, 2, true)))
        .collect();
    let load = engine.load();
    assert_eq!((load.running, load.waiting), (2, 2));
    let (_, report) = get(engine.addr(), "/load").unwrap();
    let report: Value = serde_json::from_str(&report).unwrap();
    assert_eq!(
        (&report["running"], &report["waiting"]),
        (&2.into(), &2.into())
    );

    engine.step();
    engine.step();
    let states: Vec<RunState> = engine.runs().iter().map(|run| run.state).collect();
    let (finished, running) = (RunState::Finished, RunState::Running);
    assert_eq!(states, [finished, finished, running, running]);
}

#[test]
fn a_load_report_is_delayed() {
    let runtime = Runtime::new().unwrap();
    let config = EngineConfig {
        load_lag: Duration::from_secs(3600),
        ..manual_config()
    };
    let engine = Engine::start(&runtime, config).unwrap();
    let _stream = open_stream(engine.addr(), "a", &chat("a", 2, true));
    assert_eq!(engine.load().running, 1);
    let (_, report) = get(engine.addr(), "/load").unwrap();
    let empty = serde_json::to_string(&Load::default()).unwrap();
    assert_eq!(report, empty);
}

#[test]
fn a_held_stream_resumes_after_the_given_event() {
    let runtime = Runtime::new().unwrap();
    let engine = Engine::start(&runtime, manual_config()).unwrap();
    let body = chat("draft", 4, true);
    let mut lines = open_stream(engine.addr(), "a1", &body);
    engine.step();
    engine.step();
    lines.next_data().unwrap();
    engine.drop_connections();
    engine.step();
    engine.step();

    let (status, rest) = get(engine.addr(), "/v1/streams/a1?after=1").unwrap();
    assert_eq!(status, 200);
    let ids: Vec<&str> = rest
        .lines()
        .filter_map(|l| l.strip_prefix("id: "))
        .collect();
    assert_eq!(ids, ["2", "3", "4", "5"]);
    assert!(rest.ends_with("data: [DONE]\n\n"));
    assert_eq!(engine.runs_of("a1"), 1);
    let (status, _) = get(engine.addr(), "/v1/streams/a2?after=0").unwrap();
    assert_eq!(status, 404);
}

#[test]
fn a_detached_stream_is_cancelled_at_once_if_the_detached_time_is_zero() {
    let runtime = Runtime::new().unwrap();
    let config = EngineConfig {
        detached_time: Duration::ZERO,
        ..manual_config()
    };
    let engine = Engine::start(&runtime, config).unwrap();
    let lines = open_stream(engine.addr(), "a1", &chat("draft", 4, true));
    drop(lines);
    wait_until("the stream has ended", || engine.load().running == 0);
    assert_eq!(engine.runs()[0].state, RunState::Cancelled);
}

#[test]
fn cancelling_a_stream_frees_its_place_in_the_batch() {
    let runtime = Runtime::new().unwrap();
    let config = EngineConfig {
        batch: 1,
        ..manual_config()
    };
    let engine = Engine::start(&runtime, config).unwrap();
    let _first = open_stream(engine.addr(), "a1", &chat("one", 4, true));
    let _second = open_stream(engine.addr(), "a2", &chat("two", 4, true));
    let url = format!("http://{}/v1/streams/a1", engine.addr());
    let cancelled = agent().delete(&url).call().unwrap();
    assert_eq!(cancelled.status(), 200);
    let states: Vec<RunState> = engine.runs().iter().map(|run| run.state).collect();
    assert_eq!(states, [RunState::Cancelled, RunState::Running]);
    assert_eq!(agent().delete(&url).call().unwrap().status(), 404);
}

#[test]
fn a_prompt_prefix_is_cached_until_it_is_evicted() {
    let runtime = Runtime::new().unwrap();
    let config = EngineConfig {
        cache_blocks: 2,
        event_gap: 3,
        ..fast_config()
    };
    let engine = Engine::start(&runtime, config).unwrap();
    let long = |word: &str| vec![word; 40].join(" ");
    for (attempt, word) in [
        ("a", "linen"),
        ("b", "linen"),
        ("c", "teff"),
        ("d", "linen"),
    ] {
        post_chat(engine.addr(), attempt, &chat(&long(word), 1, true)).unwrap();
    }
    let cached: Vec<u64> = engine.runs().iter().map(|run| run.cached).collect();
    assert_eq!(cached, [0, 32, 0, 0]);
    let (_, events) = get(engine.addr(), "/cache-events?after=1").unwrap();
    let events: Value = serde_json::from_str(&events).unwrap();
    let seqs: Vec<u64> = events["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|event| event["seq"].as_u64().unwrap())
        .collect();
    assert_eq!(seqs, [2, 4, 5, 7, 8, 10]);
}

#[test]
fn a_stale_fence_is_refused_only_by_engines_that_check_it() {
    struct Case {
        checks: bool,
        status: u16,
        version: &'static str,
    }
    let cases = [
        Case {
            checks: true,
            status: 409,
            version: "2",
        },
        Case {
            checks: false,
            status: 200,
            version: "1",
        },
    ];
    let runtime = Runtime::new().unwrap();
    for case in cases {
        let config = EngineConfig {
            checks_fence: case.checks,
            ..manual_config()
        };
        let engine = Engine::start(&runtime, config).unwrap();
        let order = |fence: u64, version: &str| {
            let body = format!(r#"{{"fence":{fence},"model":"m","version":"{version}"}}"#);
            let url = format!("http://{}/orders", engine.addr());
            agent().post(url).send(body).unwrap().status().as_u16()
        };
        assert_eq!(order(7, "2"), 200);
        assert_eq!(order(6, "1"), case.status);
        let (_, state) = get(engine.addr(), "/orders/state").unwrap();
        let state: Value = serde_json::from_str(&state).unwrap();
        assert_eq!(state["version"], case.version);
        assert_eq!(state["fence"], 7);
        assert_eq!(engine.orders().len(), 2);
    }
}
