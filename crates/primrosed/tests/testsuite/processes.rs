//! Three router processes in two availability zones.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;

use crate::world::Process;
use crate::world::World;
use crate::world::KEY;
use crate::world::PATIENCE;

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(PATIENCE))
        .http_status_as_error(false)
        .build()
        .into()
}

fn wait_ready(world: &World, process: &Process) {
    let url = format!("http://{}/readyz", process.addrs.callers);
    let end = world.clock.now() + PATIENCE;
    while !agent()
        .get(&url)
        .call()
        .is_ok_and(|answer| answer.status() == 200)
    {
        assert!(world.clock.now() < end, "the router did not become ready");
        std::thread::yield_now();
    }
}

/// Begins a stream of some tokens; returns its lines.
fn stream(router: SocketAddr, tokens: u32) -> impl Iterator<Item = String> {
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
fn processes_serve_a_stream_and_end_well_on_a_signal() {
    let world = World::start("serve");
    let routers = [
        world.router(1, "north"),
        world.router(2, "north"),
        world.router(3, "south"),
    ];
    for router in &routers {
        wait_ready(&world, router);
    }
    // The only engine is in the north: the south gets its slots on loan.
    for router in &routers {
        let last = stream(router.addrs.callers, 5)
            .filter(|line| !line.is_empty())
            .last();
        assert_eq!(last.as_deref(), Some("data: [DONE]"));
    }
    // A signal in the middle of a stream does not cut it off.
    let [first, second, third] = routers;
    let mut lines = stream(first.addrs.callers, 50);
    assert!(lines.any(|line| line == "id: 1"));
    first.terminate();
    let last = lines.filter(|line| !line.is_empty()).last();
    assert_eq!(last.as_deref(), Some("data: [DONE]"));
    assert_eq!(first.end(), Some(0));
    // The others go on, and an operator's word ends them as a signal does.
    let last = stream(second.addrs.callers, 3)
        .filter(|line| !line.is_empty())
        .last();
    assert_eq!(last.as_deref(), Some("data: [DONE]"));
    for router in [second, third] {
        let drain = format!("http://{}/drain", router.addrs.operators);
        agent().post(drain).send_empty().unwrap();
        assert_eq!(router.end(), Some(0));
    }
    assert_eq!(world.engine.crashes(), 0);
}

#[test]
fn a_second_signal_cuts_off_what_is_left_and_says_so() {
    let world = World::start("cut");
    let router = world.router(11, "north");
    wait_ready(&world, &router);
    let mut lines = stream(router.addrs.callers, 5000);
    assert!(lines.any(|line| line == "id: 1"));
    router.terminate();
    // The stream goes on after the first signal.
    assert!(lines.any(|line| line == "id: 20"));
    router.terminate();
    let rest: Vec<String> = lines.collect();
    assert!(rest.iter().any(|line| line == "event: error"), "{rest:?}");
    assert!(!rest.iter().any(|line| line == "data: [DONE]"));
    assert_eq!(router.end(), Some(3));
}
