//! Router processes in two availability zones: serving streams and shutting down.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;

use crate::router_fixture::Process;
use crate::router_fixture::RouterFixture;
use crate::router_fixture::KEY;
use crate::router_fixture::TIMEOUT;

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into()
}

fn wait_ready(fixture: &RouterFixture, process: &Process) {
    let url = format!("http://{}/readyz", process.addrs.callers);
    let end = fixture.clock.now() + TIMEOUT;
    while !agent()
        .get(&url)
        .call()
        .is_ok_and(|answer| answer.status() == 200)
    {
        assert!(fixture.clock.now() < end, "the router did not become ready");
        std::thread::yield_now();
    }
}

/// Starts a stream of a number of tokens; returns its lines.
fn open_stream(router: SocketAddr, tokens: u32) -> impl Iterator<Item = String> {
    let body = format!(
        "{{\"model\":\"linen-7b\",\"stream\":true,\"metadata\":{{\"tokens\":\"{tokens}\"}},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"rota\"}}]}}"
    );
    let request = agent().post(format!("http://{router}/v1/chat/completions"));
    let request = request.header("authorization", format!("Bearer {KEY}"));
    let answer = request.send(&body).unwrap();
    assert_eq!(answer.status(), 200);
    BufReader::new(answer.into_body().into_reader())
        .lines()
        .map_while(Result::ok)
}

#[test]
fn routers_serve_streams_and_shut_down_gracefully() {
    let fixture = RouterFixture::start("serve");
    let routers = [
        fixture.router(1, "north"),
        fixture.router(2, "north"),
        fixture.router(3, "south"),
    ];
    for router in &routers {
        wait_ready(&fixture, router);
    }
    // The only engine is in zone north; zone south uses its slots on loan.
    for router in &routers {
        let last = open_stream(router.addrs.callers, 5)
            .filter(|line| !line.is_empty())
            .last();
        assert_eq!(last.as_deref(), Some("data: [DONE]"));
    }
    // A signal during a stream does not cut it off.
    let [first, second, third] = routers;
    let mut lines = open_stream(first.addrs.callers, 50);
    assert!(lines.any(|line| line == "id: 1"));
    first.terminate();
    let last = lines.filter(|line| !line.is_empty()).last();
    assert_eq!(last.as_deref(), Some("data: [DONE]"));
    assert_eq!(first.wait_for_exit(), Some(0));
    // The other routers keep serving, and a drain request of an operator shuts them down like a signal.
    let last = open_stream(second.addrs.callers, 3)
        .filter(|line| !line.is_empty())
        .last();
    assert_eq!(last.as_deref(), Some("data: [DONE]"));
    for router in [second, third] {
        let drain = format!("http://{}/drain", router.addrs.operators);
        agent().post(drain).send_empty().unwrap();
        assert_eq!(router.wait_for_exit(), Some(0));
    }
    assert_eq!(fixture.engine.crashes(), 0);
}

#[test]
fn a_second_signal_cuts_off_streams_and_sets_the_exit_code() {
    let fixture = RouterFixture::start("cut");
    let router = fixture.router(11, "north");
    wait_ready(&fixture, &router);
    let mut lines = open_stream(router.addrs.callers, 5000);
    assert!(lines.any(|line| line == "id: 1"));
    router.terminate();
    // The stream continues after the first signal.
    assert!(lines.any(|line| line == "id: 20"));
    router.terminate();
    let rest: Vec<String> = lines.collect();
    assert!(rest.iter().any(|line| line == "event: error"), "{rest:?}");
    assert!(!rest.iter().any(|line| line == "data: [DONE]"));
    assert_eq!(router.wait_for_exit(), Some(3));
}
