//! Streams that go on through another router.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;

use primrose_local::chat_body;
use primrose_local::Deployment;

use crate::fixture;

/// Tokens of the stream.
const TOKENS: u64 = 100;

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(fixture::PATIENCE))
        .http_status_as_error(false)
        .build()
        .into()
}

fn bearer(deployment: &Deployment, account: usize) -> String {
    let name = &deployment.shape().accounts[account].name;
    format!("Bearer {}", deployment.bearer(name))
}

/// Numbers of events as they come.
fn numbers(body: ureq::Body) -> impl Iterator<Item = String> {
    let lines = BufReader::new(body.into_reader()).lines();
    let lines = lines.map_while(Result::ok);
    lines.filter(|line| line.starts_with("id: ") || line == "data: [DONE]")
}

fn go_on(
    router: SocketAddr,
    bearer: &str,
    pass: &str,
    after: u64,
) -> ureq::http::Response<ureq::Body> {
    let request = agent().get(format!("http://{router}/v1/streams/{pass}"));
    let request = request.header("authorization", bearer);
    let request = request.header("last-event-id", after.to_string());
    request.call().unwrap()
}

#[test]
fn a_stream_goes_on_through_another_router_when_its_own_dies() {
    let mut deployment = fixture::start(1, 1);
    let mine = bearer(&deployment, 0);
    let url = format!(
        "http://{}/v1/chat/completions",
        deployment.router(0).callers()
    );
    let request = agent().post(url).header("authorization", &mine);
    let answer = request
        .send(chat_body("long notice", TOKENS, None, true))
        .unwrap();
    let pass = answer.headers()["x-stream-pass"]
        .to_str()
        .unwrap()
        .to_owned();
    let mut seen = numbers(answer.into_body());
    for number in 1..=5 {
        assert_eq!(seen.next(), Some(format!("id: {number}")));
    }
    deployment.kill(0);
    let router = deployment.router(1).callers();
    let theirs = go_on(router, &bearer(&deployment, 1), &pass, 5);
    assert_eq!(theirs.status(), 400, "another account read the stream");
    let rest = go_on(router, &mine, &pass, 5);
    assert_eq!(rest.status(), 200);
    let rest: Vec<String> = numbers(rest.into_body()).collect();
    let wanted = (6..=TOKENS).map(|number| format!("id: {number}"));
    assert_eq!(rest[..wanted.clone().count()], wanted.collect::<Vec<_>>());
    assert_eq!(rest.last().map(String::as_str), Some("data: [DONE]"));
    let runs: usize = deployment
        .engines()
        .iter()
        .map(|engine| engine.runs().len())
        .sum();
    assert_eq!(runs, 1);
}
