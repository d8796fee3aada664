//! Attacks on the listening port: wrong keys, idle connections, garbage, replayed connections.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Instant;

use primrose_link::handshake::HandshakeError;
use primrose_link::DownReason;
use primrose_link::LinkEvent;
use primrose_link::RefusedReason;

use crate::tools::config;
use crate::tools::keys;
use crate::tools::member;
use crate::tools::Router;
use crate::tools::EVENT_TIMEOUT;
use crate::tools::QUIET_PERIOD;

/// HTTP upgrade request that opens a WebSocket connection.
const UPGRADE: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n\
Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n\
Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

/// Refused connections in the test of the log; far more than the log lines allowed for them.
const REFUSED_TRIES: usize = 60;
/// Log lines about wrong keys that other tests may add.
const OTHER_LINES: usize = 6;

/// Bytes recorded in one direction.
type Recording = Arc<Mutex<Vec<u8>>>;

/// Copies bytes from one stream to the other and records them; can damage them.
fn copy(mut from: TcpStream, mut to: TcpStream, recording: Recording, damage: Arc<Mutex<bool>>) {
    let mut buffer = [0; 4096];
    while let Ok(read @ 1..) = from.read(&mut buffer) {
        if *damage.lock().unwrap() {
            buffer[read - 1] ^= 1;
        }
        recording.lock().unwrap().extend_from_slice(&buffer[..read]);
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

/// Starts a proxy to a router for one connection that records the bytes sent by the dialer.
fn recorder(to: SocketAddr) -> (SocketAddr, Recording, Arc<Mutex<bool>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let recording = Recording::default();
    let damage = Arc::new(Mutex::new(false));
    let (out, flip) = (Arc::clone(&recording), Arc::clone(&damage));
    thread::spawn(move || {
        let (dialer, _) = listener.accept().unwrap();
        let acceptor = TcpStream::connect(to).unwrap();
        let (dialer_copy, acceptor_copy) =
            (dialer.try_clone().unwrap(), acceptor.try_clone().unwrap());
        thread::spawn(move || {
            copy(
                acceptor_copy,
                dialer_copy,
                Recording::default(),
                Arc::default(),
            )
        });
        copy(dialer, acceptor, out, flip);
    });
    (addr, recording, damage)
}

#[test]
fn a_wrong_key_is_refused_at_both_ends() {
    let a = Router::start_named("a");
    let mut wrong_key_config = config(member("b", 1), "barasat");
    wrong_key_config.keys = keys(&[2]);
    let b = Router::start(wrong_key_config);
    a.connect("b", &b);
    let wrong_key = RefusedReason::Handshake(HandshakeError::WrongKey);
    assert_eq!(a.wait_refused(), wrong_key);
    // The dialer sends the acceptor the reason of the close.
    let close_reason = b.wait_refused();
    assert_eq!(close_reason, RefusedReason::Closed(wrong_key.to_string()));
    assert!(a.endpoint.stats().links.is_empty());
    assert!(b.endpoint.stats().links.is_empty());
    assert!(a.endpoint.stats().refused >= 1);
}

/// Logger that collects the warnings of all tests in this binary.
struct Warnings {
    lines: Mutex<Vec<String>>,
}

static WARNINGS: Warnings = Warnings {
    lines: Mutex::new(Vec::new()),
};

impl log::Log for Warnings {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::Level::Warn
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            let line = record.args().to_string();
            self.lines.lock().unwrap().push(line);
        }
    }

    fn flush(&self) {}
}

#[test]
fn a_wrong_key_is_logged_but_does_not_fill_the_log() {
    log::set_logger(&WARNINGS).unwrap();
    log::set_max_level(log::LevelFilter::Warn);
    let a = Router::start_named("logged");
    let mut wrong_key_config = config(member("b", 1), "barasat");
    wrong_key_config.keys = keys(&[2]);
    let b = Router::start(wrong_key_config);
    a.connect("b", &b);
    let start = Instant::now();
    (0..REFUSED_TRIES).for_each(|_| drop(a.wait_refused()));
    // One line per second from each end, and a few from other tests.
    let seconds = usize::try_from(start.elapsed().as_secs()).unwrap();
    let max_lines = 2 * (seconds + 2) + OTHER_LINES;
    let lines = WARNINGS.lines.lock().unwrap();
    let text = HandshakeError::WrongKey.to_string();
    let logged = lines.iter().filter(|line| line.contains(&text)).count();
    assert!(logged >= 1);
    assert!(logged <= max_lines, "{logged} lines in {seconds} s");
}

#[test]
fn a_frame_beyond_the_limit_of_the_receiver_ends_its_link() {
    let mut small_frames = config(member("b", 1), "barasat");
    small_frames.limits.max_frame_bytes = 4000;
    let b = Router::start(small_frames);
    let a = Router::start_named("a");
    a.connect("b", &b);
    b.wait_up();
    a.wait_up();
    a.send("b", &"x".repeat(3000));
    b.wait_message();
    a.send("b", &"x".repeat(5000));
    let down = b.wait(|e| matches!(e, LinkEvent::Down { .. }));
    let failed = matches!(
        &down,
        LinkEvent::Down {
            reason: DownReason::Failed(_),
            ..
        }
    );
    assert!(failed, "{down:?}");
}

#[test]
fn a_recorded_connection_cannot_be_replayed() {
    let (a, b) = (Router::start_named("a"), Router::start_named("b"));
    let (addr, recording, _) = recorder(b.addr());
    a.endpoint.connect(&"b".to_owned(), addr);
    b.wait_up();
    a.wait_up();
    a.send("b", "order 1");
    assert_eq!(b.wait_message(), "order 1");
    a.endpoint.stop();
    b.wait(|e| matches!(e, LinkEvent::Down { .. }));
    let recorded = recording.lock().unwrap().clone();
    let end = recorded.windows(4).position(|w| w == b"\r\n\r\n").unwrap();
    let (upgrade, rest) = recorded.split_at(end + 4);
    let _stream = send_raw(b.addr(), upgrade, rest);
    let refused = b.wait_refused();
    let wrong_key = RefusedReason::Handshake(HandshakeError::WrongKey);
    assert_eq!(refused, wrong_key);
    let message = |e: LinkEvent<String>| matches!(e, LinkEvent::Message { .. });
    assert!(!b.events.try_iter().any(message));
}

#[test]
fn damaged_frame_closes_only_its_link() {
    let (a, b, c) = (
        Router::start_named("a"),
        Router::start_named("b"),
        Router::start_named("c"),
    );
    c.connect("b", &b);
    assert_eq!(b.wait_up(), member("c", 1));
    let (addr, _, damage) = recorder(b.addr());
    a.endpoint.connect(&"b".to_owned(), addr);
    assert_eq!(b.wait_up(), member("a", 1));
    *damage.lock().unwrap() = true;
    // Even if a keepalive comes first, the next frame is damaged.
    let down = b.wait(|e| matches!(e, LinkEvent::Down { .. }));
    let LinkEvent::Down {
        member: down_member,
        reason,
    } = down
    else {
        unreachable!();
    };
    assert_eq!(down_member, member("a", 1));
    assert!(matches!(reason, DownReason::Frame(_)), "{reason}");
    c.send("b", "still here");
    assert_eq!(b.wait_message(), "still here");
}

#[test]
fn a_message_of_another_kind_closes_the_link_with_a_typed_reason() {
    let (sender, events) = crossbeam_channel::bounded(64);
    let config_a = config(member("a", 1), "barasat");
    let a = primrose_link::Endpoint::<u64>::start(config_a, sender).unwrap();
    let b = Router::start_named("b");
    a.connect(&"b".to_owned(), b.addr());
    events.recv_timeout(EVENT_TIMEOUT).unwrap();
    a.send(&"b".to_owned(), &7).unwrap();
    let down = b.wait(|e| matches!(e, LinkEvent::Down { .. }));
    let codec = matches!(
        &down,
        LinkEvent::Down {
            reason: DownReason::Codec(_),
            ..
        }
    );
    assert!(codec, "{down:?}");
}

/// Opens a connection, sends the opening bytes, and sends the rest after a reply.
fn send_raw(addr: SocketAddr, opening: &[u8], rest: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(opening).unwrap();
    if !rest.is_empty() {
        let mut answer = [0; 512];
        assert!(stream.read(&mut answer).unwrap() > 0);
        stream.write_all(rest).unwrap();
    }
    stream
}

struct Case {
    name: &'static str,
    opening: &'static [u8],
    rest: Vec<u8>,
    reason: fn(&RefusedReason) -> bool,
}

/// Builds a masked binary WebSocket frame with a zero mask.
fn client_frame(payload: &[u8]) -> Vec<u8> {
    let length = u16::try_from(payload.len()).unwrap().to_be_bytes();
    let mut frame = vec![0x82, 0xfe, length[0], length[1], 0, 0, 0, 0];
    frame.extend_from_slice(payload);
    frame
}

#[test]
fn invalid_connections_are_refused_without_affecting_links() {
    let huge_header = [
        0x82, 0xff, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0,
    ];
    let cases = [
        Case {
            name: "silent from the start",
            opening: b"",
            rest: Vec::new(),
            reason: |r| *r == RefusedReason::Timeout,
        },
        Case {
            name: "half an upgrade",
            opening: &UPGRADE[..40],
            rest: Vec::new(),
            reason: |r| *r == RefusedReason::Timeout,
        },
        Case {
            name: "silent after the upgrade",
            opening: UPGRADE,
            rest: Vec::new(),
            reason: |r| *r == RefusedReason::Timeout,
        },
        Case {
            name: "not HTTP",
            opening: &[0; 200],
            rest: Vec::new(),
            reason: |r| matches!(r, RefusedReason::Failed(_)),
        },
        Case {
            name: "garbage in a frame",
            opening: UPGRADE,
            rest: client_frame(&[0xff; 200]),
            reason: |r| {
                let undecodable =
                    |e: &HandshakeError| matches!(e, HandshakeError::Undecodable { .. });
                matches!(r, RefusedReason::Handshake(e) if undecodable(e))
            },
        },
        Case {
            name: "oversized hello",
            opening: UPGRADE,
            rest: client_frame(&[0; 2000]),
            reason: |r| *r == RefusedReason::Handshake(HandshakeError::TooLarge { bytes: 2000 }),
        },
        Case {
            name: "a frame that claims a terabyte",
            opening: UPGRADE,
            rest: huge_header.to_vec(),
            reason: |r| matches!(r, RefusedReason::Failed(_)),
        },
    ];
    let (a, b) = (Router::start_named("a"), Router::start_named("b"));
    a.connect("b", &b);
    b.wait_up();
    for case in cases {
        let _stream = send_raw(b.addr(), case.opening, &case.rest);
        let reason = b.wait_refused();
        assert!((case.reason)(&reason), "{}: {reason:?}", case.name);
        a.send("b", case.name);
        assert_eq!(b.wait_message(), case.name);
    }
    assert_eq!(b.endpoint.stats().links.len(), 1);
}

#[test]
fn peer_links_despite_a_flood_of_idle_connections() {
    let mut few_pending = config(member("b", 1), "barasat");
    few_pending.limits.max_pending = 4;
    let b = Router::start(few_pending);
    let flood: Vec<TcpStream> = (0..50)
        .map(|_| TcpStream::connect(b.addr()).unwrap())
        .collect();
    thread::sleep(QUIET_PERIOD);
    let a = Router::start_named("a");
    a.connect("b", &b);
    // The peer retries until the idle connections time out.
    assert_eq!(a.wait_up(), member("b", 1));
    drop(flood);
}

#[test]
fn peer_that_stops_reading_is_detected_by_both_ends() {
    let (a, b) = (Router::start_named("a"), Router::start_named("b"));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let to = b.addr();
    let stalled = Arc::new(Mutex::new(false));
    let stall = Arc::clone(&stalled);
    // A proxy that forwards bytes until `stalled` is set, then leaves the connections open.
    thread::spawn(move || {
        let (dialer, _) = listener.accept().unwrap();
        let acceptor = TcpStream::connect(to).unwrap();
        let (dialer_copy, acceptor_copy) =
            (dialer.try_clone().unwrap(), acceptor.try_clone().unwrap());
        for (mut from, mut to) in [(dialer, acceptor), (acceptor_copy, dialer_copy)] {
            let stall = Arc::clone(&stall);
            thread::spawn(move || {
                let mut buffer = [0; 4096];
                while let Ok(read @ 1..) = from.read(&mut buffer) {
                    if *stall.lock().unwrap() {
                        thread::sleep(EVENT_TIMEOUT);
                    }
                    let _ = to.write_all(&buffer[..read]);
                }
            });
        }
    });
    a.endpoint.connect(&"b".to_owned(), addr);
    a.wait_up();
    b.wait_up();
    *stalled.lock().unwrap() = true;
    let half_open = [DownReason::Silent, DownReason::Slow, DownReason::Closed];
    for router in [&a, &b] {
        let down = router.wait(|e| matches!(e, LinkEvent::Down { .. }));
        let LinkEvent::Down { reason, .. } = down else {
            unreachable!();
        };
        assert!(half_open.contains(&reason), "{reason}");
    }
}
