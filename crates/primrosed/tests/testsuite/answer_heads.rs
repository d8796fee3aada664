//! Servers in trouble whose answers have odd or incomplete heads, or are cut off while the request is
//! still being sent.
//!
//! Guards against answers that reach callers as complete although a part is missing, and against
//! responses whose head the server must not choose.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use primrose_soak::wire::signed_headers;

use crate::gateway_fixture::call_stream;
use crate::gateway_fixture::config;
use crate::gateway_fixture::request;
use crate::gateway_fixture::server_entry;
use crate::gateway_fixture::signed_headers_for;
use crate::gateway_fixture::GatewayFixture;
use crate::gateway_fixture::Server;
use crate::gateway_fixture::PROMPT;

/// Routes of the fixture, and whether they return streams.
const ROUTES: [(&str, bool); 4] = [
    ("once", false),
    ("again", false),
    ("stream", true),
    ("resumed", true),
];
/// Events of a whole stream; the server sends the first one only.
const FIRST_EVENT: &str = "id: 1\ndata: token\n\n";
/// Beginning of a body that is not whole.
const PART: &str = "{\"half\":";
/// Size of an upload, in bytes.
const UPLOAD_BYTES: usize = 1_500_000;

/// Returns the response status line of an answer.
fn status_line(answer: &str) -> &str {
    answer.lines().next().unwrap_or_default()
}

/// Whether the caller can tell that the answer is not whole.
fn is_visibly_incomplete(answer: &str, is_whole: bool) -> bool {
    let head = answer.split("\r\n\r\n").next().unwrap_or_default();
    let is_failure = status_line(answer).starts_with("HTTP/1.1 502");
    let is_chunked = head.to_lowercase().contains("transfer-encoding: chunked");
    let is_broken_off = status_line(answer).starts_with("HTTP/1.1 200") && is_chunked && !is_whole;
    is_failure || is_broken_off
}

/// Sends a request on each route to a gateway whose only server writes `answer`, with `{signed}`,
/// `{type}` and `{part}` filled in, and closes the connection; returns the answers that callers got.
fn answers(answer: &'static str) -> Vec<(&'static str, String, bool)> {
    let server = Server::start(move |seen, stream| {
        let is_stream = ROUTES.iter().any(|(route, is_stream)| {
            *is_stream && seen.second_word().starts_with(&format!("/{route}/"))
        });
        let media = if is_stream {
            "text/event-stream"
        } else {
            "application/json"
        };
        let part = if is_stream { FIRST_EVENT } else { PART };
        let text = answer
            .replace("{signed}", &signed_headers_for(seen))
            .replace("{type}", &format!("content-type: {media}\r\n"))
            .replace("{part}", part);
        let _ = stream.write_all(text.as_bytes());
        false
    });
    let fixture = GatewayFixture::start(&[("models", &server), ("plain", &server)]);
    let calls = ROUTES.iter().map(|(route, is_stream)| {
        let headers = if *is_stream { PROMPT } else { "" };
        let text = request("POST", route, headers, "x").replace("r1", route);
        let text = text.replace("Content-Length", "Connection: close\r\nContent-Length");
        let (answer, is_whole) = call_stream(fixture.front, &text);
        (*route, answer, is_whole)
    });
    calls.collect()
}

/// Guards against answers that end early and look complete, since the version of the server's response
/// is used for the caller's: over HTTP/1.0 there are no chunks, and a response may end with its connection.
#[test]
fn an_answer_that_ends_early_does_not_look_complete() {
    const CASES: [&str; 13] = [
        "HTTP/1.0 200 OK\r\n{signed}{type}content-length: 900\r\n\r\n{part}",
        "HTTP/1.1 200 OK\r\n{signed}{type}content-length: 900\r\n\r\n{part}",
        "HTTP/1.1 200 OK\r\n{signed}{type}transfer-encoding: chunked\r\n\r\n13\r\n{part}",
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.0 200 OK\r\n{signed}{type}content-length: 900\r\n\r\n{part}",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.0 200 OK\r\n",
        "HTTP/1.1 200 OK\r\n{signed}",
        "HTTP/1.1 200 OK\r\n{signed}content-le",
        "HTTP/1.1 200 OK\r\n{signed}content-length: ",
        "HTTP/1.1 200 OK\r\n{signed}content-length: 0\r\n",
        "HTTP/1.1 200 OK\r\n{signed}content-length: 0\r\n\r",
        "HTTP/1.0 200 OK\r\n{signed}{type}\r",
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n{signed}",
    ];
    for case in CASES {
        for (route, answer, is_whole) in answers(case) {
            let is_right = is_visibly_incomplete(&answer, is_whole);
            assert!(is_right, "{case:?}, {route}: {answer:?}");
        }
    }
}

/// Guards against answers whose status is none, or no final one.
#[test]
fn callers_get_no_answer_with_an_unusable_head() {
    const CASES: [&str; 11] = [
        "HTTP/1.1 000 OK\r\n{signed}{type}content-length: 0\r\n\r\n",
        "HTTP/1.1 020 OK\r\n{signed}{type}content-length: 0\r\n\r\n",
        "HTTP/1.1 099 OK\r\n{signed}{type}content-length: 0\r\n\r\n",
        "HTTP/1.1 20 OK\r\n{signed}{type}content-length: 0\r\n\r\n",
        "HTTP/1.1 2000 OK\r\n{signed}{type}content-length: 0\r\n\r\n",
        "HTTP/1.1 101 Switching\r\n{signed}{type}upgrade: x\r\nconnection: upgrade\r\n\r\n",
        "HTTP/1.1 600 Odd\r\n{signed}{type}content-length: 0\r\n\r\n",
        "HTTP/1.1 999 Odd\r\n{signed}{type}content-length: 0\r\n\r\n",
        "HTTP/1.1 600 Odd\r\n{signed}primrosehall-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n{signed}{type}content-length: 1\r\ncontent-length: 2\r\n\r\n{part}",
        "HTTP/1.0 200 OK\r\n{signed}{type}transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    ];
    for case in CASES {
        for (route, answer, is_whole) in answers(case) {
            let is_right = is_visibly_incomplete(&answer, is_whole);
            assert!(is_right, "{case:?}, {route}: {answer:?}");
        }
    }
}

/// Guards against a success without the server's signature, since the server lists that as a header of the
/// connection.
#[test]
fn callers_get_no_answer_whose_signature_concerns_the_connection_only() {
    let case = "HTTP/1.1 200 OK\r\n{signed}{type}connection: primrosehall-response-signature\r\n\
                content-length: 19\r\n\r\n{part}";
    for (route, answer, is_whole) in answers(case) {
        let is_right = is_visibly_incomplete(&answer, is_whole);
        assert!(is_right, "{route}: {answer:?}");
    }
}

/// Guards against a reason phrase or a version that a server chooses for the gateway's response.
#[test]
fn the_head_of_a_response_is_the_gateways_own() {
    for version in ["HTTP/1.0", "HTTP/1.1"] {
        let server = Server::start(move |seen, stream| {
            let signed = signed_headers_for(seen);
            let text = format!("{version} 200 Odd\r\n{signed}content-length: 4\r\n\r\ndone");
            let _ = stream.write_all(text.as_bytes());
            false
        });
        let fixture = GatewayFixture::start(&[("plain", &server)]);
        let text = request("GET", "once", "", "");
        let text = text.replace("Content-Length", "Connection: close\r\nContent-Length");
        let (answer, _) = call_stream(fixture.front, &text);
        assert_eq!(status_line(&answer), "HTTP/1.1 200 OK", "{version}");
        assert!(answer.ends_with("\r\n\r\ndone"), "{version}: {answer}");
    }
}

/// Reads the head of a request.
fn read_head(reader: &mut BufReader<TcpStream>) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") && matches!(reader.read_line(&mut head), Ok(1..)) {}
    head
}

/// Starts a server that writes an answer without length as soon as it has the head of a request, and
/// resets the connection, from which it has not read the body.
fn start_resetting(version: &'static str, media: &'static str, pause: Duration) -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let accepting = listener.try_clone().expect("a copy");
    std::thread::spawn(move || {
        for stream in accepting.incoming() {
            let mut stream = stream.expect("a connection");
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
                let head = read_head(&mut reader);
                let id = head.lines().find_map(|line| {
                    let (name, value) = line.split_once(": ")?;
                    let is_id = name.eq_ignore_ascii_case("primrosehall-request-id");
                    is_id.then(|| value.to_owned())
                });
                let signed = signed_headers(&id.unwrap_or_default());
                let part = if media == "text/event-stream" {
                    FIRST_EVENT
                } else {
                    PART
                };
                let text = format!(
                    "{version} 200 OK\r\n{signed}content-type: {media}\r\nconnection: close\r\n\r\n{part}"
                );
                let _ = stream.write_all(text.as_bytes());
                std::thread::sleep(pause);
                // The bytes that are left unread reset the connection.
            });
        }
    });
    listener
}

/// Guards against the part of an answer that is taken for all of it when its server resets the
/// connection while the request is still being sent.
#[test]
fn an_answer_that_is_reset_during_the_upload_does_not_look_complete() {
    struct Case {
        version: &'static str,
        route: &'static str,
        pause: Duration,
        /// Whether the upload has a length rather than chunks.
        has_length: bool,
    }
    let cases = ["HTTP/1.0", "HTTP/1.1"].into_iter().flat_map(|version| {
        ROUTES.into_iter().flat_map(move |(route, _)| {
            [(0, true), (120, true), (120, false)].map(|(pause, has_length)| Case {
                version,
                route,
                pause: Duration::from_millis(pause),
                has_length,
            })
        })
    });
    for case in cases {
        let is_stream = ROUTES.contains(&(case.route, true));
        let (pool, media, headers) = if is_stream {
            ("models", "text/event-stream", PROMPT)
        } else {
            ("plain", "application/json", "")
        };
        let listener = start_resetting(case.version, media, case.pause);
        let fixture = GatewayFixture::start_empty();
        let mut tables = config(1);
        tables["limits"]["maxBodyBytes"] = (2 * UPLOAD_BYTES).into();
        fixture.store.put("op/config", &tables);
        let addr = listener.local_addr().expect("its address");
        fixture
            .store
            .put("servers/first", &server_entry(addr, pool));
        fixture.wait_ready(1);
        let body = "x".repeat(UPLOAD_BYTES);
        let mut text = request("POST", case.route, headers, &body);
        if !case.has_length {
            let length = format!("Content-Length: {UPLOAD_BYTES}\r\n\r\n{body}");
            let chunks = format!("{UPLOAD_BYTES:x}\r\n{body}\r\n0\r\n\r\n");
            text = text.replace(
                &length,
                &format!("Transfer-Encoding: chunked\r\n\r\n{chunks}"),
            );
        }
        let text = text.replacen("Host: example", "Connection: close\r\nHost: example", 1);
        let (answer, is_whole) = call_stream(fixture.front, &text);
        let name = format!(
            "{} {} {:?} {}",
            case.version, case.route, case.pause, case.has_length
        );
        let is_right = is_visibly_incomplete(&answer, is_whole);
        assert!(is_right, "{name}: {answer:?}");
    }
}

/// Guards against a resumed stream that goes on with an answer of this kind and ends as complete.
#[test]
fn a_stream_that_is_resumed_does_not_end_early_as_complete() {
    let runs = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&runs);
    let server = move || {
        let count = Arc::clone(&count);
        Server::start(move |seen, stream| {
            let signed = signed_headers_for(seen);
            let run = count.fetch_add(1, Ordering::SeqCst) + 1;
            let event = FIRST_EVENT.replace('1', &run.to_string());
            let text = format!(
                "HTTP/1.0 200 OK\r\n{signed}content-type: text/event-stream\r\n\
                 content-length: 900\r\n\r\n{event}"
            );
            let _ = stream.write_all(text.as_bytes());
            false
        })
    };
    let (one, two) = (server(), server());
    let fixture = GatewayFixture::start(&[("models", &one), ("models", &two)]);
    let text = request("POST", "resumed", PROMPT, "x");
    let text = text.replace("Content-Length", "Connection: close\r\nContent-Length");
    let (answer, is_whole) = call_stream(fixture.front, &text);
    assert!(is_visibly_incomplete(&answer, is_whole), "{answer:?}");
    assert!(answer.contains("id: 1"), "{answer:?}");
}
