//! Prompt parts that crash every server that begins to answer a request with them.
//!
//! Guards against the loss of one server after another to requests that differ in all but one part
//! of their prompts, and against refusals of the sound requests that share their other parts.

use std::io::BufReader;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use primrose_soak::wire::read_message;
use primrose_soak::wire::Message;

use crate::gateway_fixture::begin_stream;
use crate::gateway_fixture::call_stream;
use crate::gateway_fixture::chunk;
use crate::gateway_fixture::request;
use crate::gateway_fixture::server_entry;
use crate::gateway_fixture::signed_headers_for;
use crate::gateway_fixture::GatewayFixture;

/// Part that crashes servers.
const POISON: &str = "bad0";
/// Servers of the pool.
const SERVERS: usize = 14;
/// Servers that may end: five, and those of three more requests.
const MAX_ENDED: u32 = 8;
/// Time between the first byte of an answer and the crash.
const CRASH_DELAY: Duration = Duration::from_millis(100);
/// Pause between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);

/// How a server frames the answer during which it crashes.
#[derive(Debug, Clone, Copy)]
enum Framing {
    /// In chunks.
    Chunked,
    /// By the end of the connection, before the first event.
    UntilClose,
    /// By the end of the connection, after a whole event.
    UntilCloseAfterEvent,
}

/// A server that crashes when it begins to answer a request with the part [`POISON`].
struct CrashingServer {
    addr: SocketAddr,
}

impl CrashingServer {
    fn start(framing: Framing, ended: &Arc<AtomicU32>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("its address");
        listener.set_nonblocking(true).expect("non-blocking");
        let ended = Arc::clone(ended);
        std::thread::spawn(move || {
            let crashed = Arc::new(AtomicBool::new(false));
            let mut streams: Vec<TcpStream> = Vec::new();
            while !crashed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).expect("blocking");
                streams.push(stream.try_clone().expect("a copy"));
                let crashed = Arc::clone(&crashed);
                std::thread::spawn(move || serve(stream, framing, &crashed));
            }
            // Nothing listens any more when the connections end.
            drop(listener);
            ended.fetch_add(1, Ordering::SeqCst);
            for stream in streams {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        Self { addr }
    }
}

fn serve(mut stream: TcpStream, framing: Framing, crashed: &AtomicBool) {
    let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
    while let Some(seen) = read_message(&mut reader) {
        if has_poison(&seen) {
            match framing {
                Framing::Chunked => begin_stream(&mut stream, &seen),
                Framing::UntilClose => begin_unframed(&mut stream, &seen, ""),
                Framing::UntilCloseAfterEvent => {
                    begin_unframed(&mut stream, &seen, "id: 1\ndata: token\n\n");
                }
            }
            std::thread::sleep(CRASH_DELAY);
            crashed.store(true, Ordering::SeqCst);
            return;
        }
        begin_stream(&mut stream, &seen);
        chunk(&mut stream, "id: 1\ndata: token\n\n");
        chunk(&mut stream, "");
    }
}

fn has_poison(seen: &Message) -> bool {
    let parts = seen.header("primrosehall-prompt-prefix");
    parts.is_some_and(|parts| parts.contains(POISON))
}

fn begin_unframed(stream: &mut TcpStream, seen: &Message, events: &str) {
    let headers = signed_headers_for(seen);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\nconnection: close\r\n\r\n\
         {events}"
    );
    std::io::Write::write_all(stream, head.as_bytes()).expect("written");
}

/// Returns a request whose prompt has these shared parts and an own part of its number.
fn prompt_request(shared: &[&str], number: usize) -> String {
    let parts: Vec<String> = shared.iter().map(|part| format!("{part}:200")).collect();
    let headers = format!(
        "Primrosehall-Model: m\r\nPrimrosehall-Token-Usage: 1000,80\r\n\
         Primrosehall-Prompt-Prefix: {},f{number:x}:400\r\nConnection: close\r\n",
        parts.join(",")
    );
    request("POST", "resumed", &headers, &format!("body {number}"))
}

fn start_gateway(framing: Framing, ended: &Arc<AtomicU32>) -> GatewayFixture {
    let fixture = GatewayFixture::start_empty();
    let config = crate::gateway_fixture::config(1);
    fixture.store.put("op/config", &config);
    for number in 0..SERVERS {
        let server = CrashingServer::start(framing, ended);
        let key = format!("servers/i-{number}");
        fixture
            .store
            .put(&key, &server_entry(server.addr, "models"));
    }
    fixture.wait_ready(SERVERS);
    fixture
}

#[test]
fn requests_that_share_only_a_part_that_crashes_servers_are_stopped_and_others_served() {
    struct Case {
        name: &'static str,
        framing: Framing,
        /// Shared parts of the requests that crash servers.
        bad: &'static [&'static str],
        /// Shared parts of the sound requests.
        sound: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "after a part that sound requests share",
            framing: Framing::Chunked,
            bad: &["a1", POISON],
            sound: &["a1", "b1"],
        },
        Case {
            name: "as the first part",
            framing: Framing::Chunked,
            bad: &[POISON, "b1"],
            sound: &["a1", "b1"],
        },
        Case {
            name: "as the only shared part",
            framing: Framing::Chunked,
            bad: &[POISON],
            sound: &["a1"],
        },
        Case {
            name: "in answers that end with their connection",
            framing: Framing::UntilClose,
            bad: &["a1", POISON],
            sound: &["a1", "b1"],
        },
        Case {
            name: "in such answers after an event",
            framing: Framing::UntilCloseAfterEvent,
            bad: &["a1", POISON],
            sound: &["a1", "b1"],
        },
    ];
    for case in &cases {
        let ended = Arc::new(AtomicU32::new(0));
        let fixture = start_gateway(case.framing, &ended);
        for number in 0..12 {
            call_stream(fixture.front, &prompt_request(case.sound, number));
            call_stream(fixture.front, &prompt_request(case.bad, number));
            std::thread::sleep(REQUEST_PAUSE);
        }
        let ended = ended.load(Ordering::SeqCst);
        assert!(
            ended <= MAX_ENDED,
            "{}: {ended} servers have ended",
            case.name
        );
        for number in 20..30 {
            let (answer, whole) = call_stream(fixture.front, &prompt_request(case.sound, number));
            assert!(whole, "{}: a sound request got {answer}", case.name);
        }
    }
}

#[test]
fn a_quarantine_outlasts_the_restart_of_all_gateways() {
    let ended = Arc::new(AtomicU32::new(0));
    let mut fixture = start_gateway(Framing::Chunked, &ended);
    let parts: &[&str] = &["a1", POISON];
    for number in 0..8 {
        call_stream(fixture.front, &prompt_request(&["a1", "b1"], number));
        call_stream(fixture.front, &prompt_request(parts, number));
        std::thread::sleep(REQUEST_PAUSE);
    }
    let before = ended.load(Ordering::SeqCst);
    fixture.restart();
    fixture.wait_ready(SERVERS);
    for number in 10..14 {
        call_stream(fixture.front, &prompt_request(parts, number));
    }
    let after = ended.load(Ordering::SeqCst);
    assert_eq!(after, before, "servers have ended after the restart");
}
