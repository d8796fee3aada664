//! Tests of the engine's faults: crash, refusal, hang and cut connections.

use primrose_standin::engine::Engine;
use primrose_standin::engine::EngineConfig;
use primrose_standin::engine::Pace;
use primrose_standin::engine::RunState;
use primrose_standin::runtime::Runtime;

use crate::client::agent;
use crate::client::chat;
use crate::client::get;
use crate::client::open_stream;
use crate::client::post_chat;
use crate::client::wait_until;

fn manual_config() -> EngineConfig {
    EngineConfig {
        pace: Pace::Manual,
        crash_marker: "poison".into(),
        ..EngineConfig::default()
    }
}

#[test]
fn a_marked_request_crashes_the_engine_until_it_is_restarted() {
    let runtime = Runtime::new().unwrap();
    let engine = Engine::start(&runtime, manual_config()).unwrap();
    let mut unmarked = open_stream(engine.addr(), "a1", &chat("draft", 9, true));
    engine.step();
    unmarked.next_data().unwrap();
    let mut marked = open_stream(engine.addr(), "a2", &chat("poison", 9, true));
    engine.step();
    assert_eq!(unmarked.next_data(), None);
    assert_eq!(marked.next_data(), None);
    wait_until("the listener is closed", || {
        get(engine.addr(), "/healthz").is_none()
    });
    assert_eq!(engine.crashes(), 1);

    engine.restart().unwrap();
    assert_eq!(get(engine.addr(), "/healthz").unwrap().0, 200);
    assert_eq!(get(engine.addr(), "/v1/streams/a1?after=0").unwrap().0, 404);
    let states: Vec<RunState> = engine.runs().iter().map(|run| run.state).collect();
    assert_eq!(states, [RunState::Crashed, RunState::Crashed]);
}

#[test]
fn a_refused_request_does_not_run_and_the_reply_says_so() {
    let runtime = Runtime::new().unwrap();
    let engine = Engine::start(&runtime, manual_config()).unwrap();
    engine.refuse(true);
    let url = format!("http://{}/v1/chat/completions", engine.addr());
    let reply = agent().post(url).send(chat("draft", 1, true)).unwrap();
    assert_eq!(reply.status(), 503);
    assert_eq!(reply.headers()["x-not-run"], "true");
    assert_eq!((engine.runs().len(), engine.refused()), (0, 1));
}

#[test]
fn a_stream_is_cut_after_the_set_number_of_events_and_resumes() {
    let runtime = Runtime::new().unwrap();
    let engine = Engine::start(&runtime, manual_config()).unwrap();
    engine.cut_next(2);
    let mut lines = open_stream(engine.addr(), "a1", &chat("draft", 3, true));
    for _ in 0..3 {
        engine.step();
    }
    assert!(lines.next_data().is_some());
    assert!(lines.next_data().is_some());
    assert_eq!(lines.next_data(), None);
    let (_, rest) = get(engine.addr(), "/v1/streams/a1?after=2").unwrap();
    assert!(rest.starts_with("id: 3\n"), "{rest}");
}

#[test]
fn a_hanging_engine_generates_nothing_until_it_is_released() {
    let runtime = Runtime::new().unwrap();
    let engine = Engine::start(&runtime, manual_config()).unwrap();
    let mut lines = open_stream(engine.addr(), "a1", &chat("draft", 1, true));
    engine.hang(true);
    engine.step();
    assert_eq!(engine.runs()[0].produced, 0);
    engine.hang(false);
    engine.step();
    assert!(lines.next_data().is_some());
    assert_eq!(engine.runs()[0].produced, 1);
}

#[test]
fn a_malformed_body_gets_an_error_reply() {
    let runtime = Runtime::new().unwrap();
    let engine = Engine::start(&runtime, manual_config()).unwrap();
    let (status, text) = post_chat(engine.addr(), "a1", "{\"model\":").unwrap();
    assert_eq!(status, 400);
    assert!(text.contains("not a completion request"), "{text}");
    assert!(engine.runs().is_empty());
}
