//! Callers that send much and finish nothing, or read nothing.
//!
//! Guards against a fault that was observed: 120 connections with bodies of 4 MiB that stopped just
//! short of their end drove a gateway with a limit of 260 MB to 492 MB, and the host killed it. Each
//! body was bounded, but not their sum.
//!
//! The tests check only what does not depend on the speed of the machine: the process runs, its
//! memory and its descriptors stay within the limits of its settings, and ordinary callers are
//! answered. Nothing ends a process here that exceeds its memory, so the peak is what is checked.

mod crowd;
mod gateway;
mod router;
mod stopped;

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use primrose_soak::wire::read_message;

use crate::process_stats;
use crowd::Crowd;
use crowd::Script;

/// Callers that hold large bodies or answers; together far more than the memory of the process.
const LARGE_CALLERS: usize = 48;
/// Callers that do not read what a gateway forwards, of which it keeps less than of a body.
const STALLED_READERS: usize = 120;
/// Callers that each hold a descriptor; far more than the process may have open.
const MANY_CALLERS: usize = 200;
/// Bytes in a megabyte of the settings.
const BYTES_PER_MB: u64 = 1_000_000;
/// Descriptors of a process under test that suffice for all callers with large bodies or answers.
const AMPLE_FDS: u32 = 512;
/// Descriptors of a process under test that do not suffice for many callers.
const SCARCE_FDS: u32 = 64;
/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Bytes that a caller sends of a body of legal size before it stops.
const UNFINISHED_BODY_BYTES: usize = 3 << 20;
/// Bytes of a body that a caller writes at a time, if it sends it in pieces.
const PIECE_BYTES: usize = 16 << 10;
/// Size of a large chunk.
const LARGE_CHUNK_BYTES: usize = 256 << 10;
/// Chunks of one byte that a caller sends before it stops. Each takes six bytes on the wire.
const SMALL_CHUNKS: usize = 96 << 10;
/// Bytes of a body far over the limit.
const OVERSIZE_BODY_BYTES: usize = 16 << 20;
/// Size of a large event, somewhat below the largest that is forwarded.
const LARGE_EVENT_BYTES: usize = 900 << 10;
/// Bytes of a head within its limit that a caller sends before it stops.
const HALF_HEAD_BYTES: usize = 12 << 10;

/// Time within which an ordinary caller is answered, far longer than any time limit for heads.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);
/// Pause after a refusal that says that the request has not run.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time for which the memory of a process that has read all must not grow before what the crowd sent
/// counts as received.
const QUIET_TIME: Duration = Duration::from_millis(500);
/// The same for a process that leaves something unread; it must not use much processor time either,
/// since it may take long over what it has read.
const STALL_TIME: Duration = Duration::from_secs(5);
/// Processor time that an idle process does not use within [`STALL_TIME`], in ticks of 10 ms.
const BUSY_TICKS: u64 = 50;
/// Maximum wait for that.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(60);
/// Interval of readings while waiting.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// Runs one of these tests at a time, since each needs much memory and processor time.
fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    // A test that failed before leaves nothing behind that matters here.
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the settings of a process allow.
struct Bounds {
    memory_kb: u64,
    descriptors: usize,
}

impl Bounds {
    fn new(memory_mb: u32, descriptors: usize) -> Self {
        Self {
            memory_kb: u64::from(memory_mb) * BYTES_PER_MB / 1_024,
            descriptors,
        }
    }
}

/// A way of sending, and the requests of ordinary callers.
struct Case {
    name: &'static str,
    callers: usize,
    script: Script,
    /// Request that has to be answered with 200 while the crowd is there and after it left.
    ordinary: Vec<u8>,
    /// Request with a body of the largest legal size, which has to be answered with 200 before.
    largest: Vec<u8>,
}

/// A process under test.
struct Subject {
    pid: u32,
    addr: SocketAddr,
    bounds: Bounds,
}

impl Subject {
    /// Runs a case; returns what is wrong.
    fn check(&self, case: &Case) -> Vec<String> {
        let mut peak_descriptors = 0;
        let mut observe = || {
            let count = process_stats::descriptor_count(self.pid).unwrap_or_default();
            peak_descriptors = peak_descriptors.max(count);
        };
        let mut faults = Vec::new();
        let mut expect_answer = |when: &str, request: &[u8]| {
            faults.extend(
                answer(self.addr, request)
                    .err()
                    .map(|found| format!("{when}: {found}")),
            );
        };
        expect_answer("a body of the largest legal size in calm", &case.largest);
        let mut crowd = Crowd::connect(self.addr, case.callers);
        crowd.send(&case.script, &mut observe);
        self.wait_until_received(&mut observe);
        expect_answer("an ordinary request beside the crowd", &case.ordinary);
        observe();
        let summary = crowd.summary(&case.script);
        drop(crowd);
        expect_answer("an ordinary request after the crowd left", &case.ordinary);
        observe();
        let peak_kb = process_stats::peak_memory_kb(self.pid).unwrap_or_default();
        println!(
            "{}: {peak_kb} kB, {peak_descriptors} descriptors; {summary}",
            case.name
        );
        faults.extend(self.excesses(peak_kb, peak_descriptors));
        let faults = faults.into_iter();
        faults
            .map(|fault| format!("{}: {fault}", case.name))
            .collect()
    }

    /// Returns which bounds the process has exceeded, and whether it has ended.
    fn excesses(&self, peak_kb: u64, peak_descriptors: usize) -> Vec<String> {
        let Bounds {
            memory_kb,
            descriptors,
        } = self.bounds;
        let mut excesses = Vec::new();
        if !process_stats::is_running(self.pid) {
            excesses.push("the process has ended".to_owned());
        }
        if peak_kb > memory_kb {
            excesses.push(format!("{peak_kb} kB of memory, of {memory_kb}"));
        }
        if peak_descriptors > descriptors {
            excesses.push(format!("{peak_descriptors} descriptors, of {descriptors}"));
        }
        excesses
    }

    /// Waits until the process has read what was sent to it, or reads no more, and its memory grows
    /// no more.
    fn wait_until_received(&self, mut observe: impl FnMut()) {
        let begun = Instant::now();
        let mut last_change = begun;
        let mut last = (0, 0, 0);
        loop {
            observe();
            let unread = process_stats::unread_bytes(self.addr);
            let peak_kb = process_stats::peak_memory_kb(self.pid).unwrap_or(0);
            let used = process_stats::processor_ticks(self.pid).unwrap_or(0) / BUSY_TICKS;
            let now = (unread, peak_kb, used);
            if now != last {
                last = now;
                last_change = Instant::now();
            }
            let quiet_time = if unread == 0 { QUIET_TIME } else { STALL_TIME };
            if last_change.elapsed() > quiet_time || begun.elapsed() > MAX_SETTLE_TIME {
                return;
            }
            std::thread::sleep(READ_INTERVAL);
        }
    }
}

/// Sends a request and reads its answer, again after each refusal that says that it has not run;
/// returns what came instead of a 200.
fn answer(addr: SocketAddr, request: &[u8]) -> Result<(), String> {
    let end = Instant::now() + ANSWER_TIMEOUT;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("only refusals".to_owned());
        }
        let line = call(addr, request, left)?;
        let status = line.split(' ').nth(1).unwrap_or_default();
        match status {
            "200" => return Ok(()),
            "408" | "421" | "429" | "503" => std::thread::sleep(RETRY_PAUSE),
            _ => return Err(format!("answered with {line:?}")),
        }
    }
}

/// Sends a request on a new connection; returns the status line of its answer.
fn call(addr: SocketAddr, request: &[u8], timeout: Duration) -> Result<String, String> {
    let failed = |error: std::io::Error| format!("failed: {error}");
    let mut stream = TcpStream::connect_timeout(&addr, timeout).map_err(failed)?;
    stream.set_read_timeout(Some(timeout)).map_err(failed)?;
    stream.set_write_timeout(Some(timeout)).map_err(failed)?;
    // A process that refuses the request may close the connection before it was sent whole; the
    // answer tells.
    let sent = stream.write_all(request);
    match read_message(&mut BufReader::new(stream)) {
        Some(answer) => Ok(answer.line.trim_end().to_owned()),
        None => Err(format!("not answered (sent: {sent:?})")),
    }
}

/// Asserts that no case showed a fault.
fn assert_none(faults: &[String]) {
    assert!(faults.is_empty(), "\n{}\n", faults.join("\n"));
}

/// Returns the header of a body with a length.
fn content_length(length: usize) -> String {
    format!("Content-Length: {length}\r\n\r\n")
}

/// Header of a body in chunks.
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";

/// Returns `length` bytes in chunks of `size`.
fn chunks(size: usize, length: usize) -> Vec<u8> {
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + size, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(length / size)
}

/// A way of sending a body, by any caller.
struct BodyCase {
    name: &'static str,
    /// Headers that frame the body.
    framing: String,
    block: Vec<u8>,
    repeats: usize,
    piece: usize,
}

/// Bodies of legal size that stop short of their end.
fn large_bodies() -> Vec<BodyCase> {
    let case = |name, piece| BodyCase {
        name,
        framing: content_length(UNFINISHED_BODY_BYTES + 1),
        block: vec![b'x'; UNFINISHED_BODY_BYTES],
        repeats: 1,
        piece,
    };
    vec![
        case("sent whole", usize::MAX),
        case("in pieces", PIECE_BYTES),
    ]
}

/// Bodies in chunks that stop short of their end.
fn chunked_bodies() -> Vec<BodyCase> {
    let case = |name, block: Vec<u8>, repeats, piece| BodyCase {
        name,
        framing: CHUNKED.to_owned(),
        block,
        repeats,
        piece,
    };
    let large = chunks(LARGE_CHUNK_BYTES, LARGE_CHUNK_BYTES);
    let count = UNFINISHED_BODY_BYTES / LARGE_CHUNK_BYTES;
    vec![
        case("large chunks", large, count, PIECE_BYTES),
        case(
            "chunks of one byte",
            chunks(1, SMALL_CHUNKS),
            1,
            PIECE_BYTES,
        ),
    ]
}

/// Bodies far over the limit.
fn oversize_bodies() -> Vec<BodyCase> {
    let case = |name, framing: String, block: Vec<u8>| BodyCase {
        name,
        framing,
        repeats: OVERSIZE_BODY_BYTES / LARGE_CHUNK_BYTES,
        block,
        piece: PIECE_BYTES,
    };
    vec![
        case(
            "announced",
            content_length(OVERSIZE_BODY_BYTES + 1),
            vec![b'x'; LARGE_CHUNK_BYTES],
        ),
        case(
            "just sent",
            CHUNKED.to_owned(),
            chunks(LARGE_CHUNK_BYTES, LARGE_CHUNK_BYTES),
        ),
    ]
}

/// Returns a script of callers that send this and nothing more.
fn only(head: impl Into<Vec<u8>>) -> Script {
    Script {
        head: head.into(),
        block: Vec::new(),
        repeats: 0,
        piece: usize::MAX,
        one_by_one: false,
    }
}

/// Connections without a complete head.
fn unfinished_heads(request_line: &str) -> Vec<(&'static str, Script)> {
    let mut half = format!("{request_line}\r\nHost: example\r\nX-Long: ");
    half.push_str(&"x".repeat(HALF_HEAD_BYTES));
    vec![("no head", only("")), ("half a head", only(half))]
}
