//! Measures the load that the stand-ins can handle on their single thread.
//!
//! A measurement of a router is valid only while the stand-ins behind it keep their pace. This prints
//! the CPU time of the stand-ins' thread, idle and with running streams, and the time between two
//! tokens of a stream as seen by a client on the loopback address.
//!
//! Run with `cargo run --release -p primrose-standin --example capacity`.

use std::error::Error;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use primrose_standin::engine::Engine;
use primrose_standin::engine::EngineConfig;
use primrose_standin::engine::Pace;
use primrose_standin::runtime::Runtime;

const ENGINES: usize = 200;
const TOKENS: usize = 200;
const TOKEN_TIME: Duration = Duration::from_millis(20);
const IDLE_TIME: Duration = Duration::from_secs(3);
/// Name of the thread that runs all stand-ins.
const STANDIN_THREAD: &str = "standin";
/// Unit in which the kernel reports CPU time.
const TICK: Duration = Duration::from_millis(10);

fn main() -> Result<(), Box<dyn Error>> {
    let runtime = Runtime::new()?;
    let config = EngineConfig {
        pace: Pace::Timed {
            token: TOKEN_TIME,
            slowdown: 0.0,
            prefill: Duration::ZERO,
        },
        batch: 64,
        ..EngineConfig::default()
    };
    let engines: io::Result<Vec<Engine>> = (0..ENGINES)
        .map(|_| Engine::start(&runtime, config.clone()))
        .collect();
    let engines = engines?;
    let before = processor_time()?;
    thread::sleep(IDLE_TIME);
    let idle = processor_time()? - before;
    println!(
        "{ENGINES} idle engines: {:.2} % of a core",
        percent_of_core(idle, IDLE_TIME)
    );

    for streams in [16, 64, 256, 512] {
        let before = processor_time()?;
        let start = Instant::now();
        let gaps = measure_streams(&engines, streams)?;
        let used = processor_time()? - before;
        let percentile =
            |percent: usize| gaps[(gaps.len() - 1) * percent / 100].as_secs_f64() * 1e3;
        println!(
            "{streams:>4} streams: {:>5.1} % of a core, between tokens {:.1} ms median, {:.1} ms 99th percentile",
            percent_of_core(used, start.elapsed()),
            percentile(50),
            percentile(99),
        );
    }
    Ok(())
}

fn percent_of_core(used: Duration, elapsed: Duration) -> f64 {
    used.as_secs_f64() / elapsed.as_secs_f64() * 100.0
}

/// Runs streams that are spread over the engines; returns the sorted times between tokens.
fn measure_streams(engines: &[Engine], streams: usize) -> io::Result<Vec<Duration>> {
    let clients: Vec<_> = (0..streams)
        .map(|number| {
            let addr = engines[number % engines.len()].addr();
            thread::spawn(move || measure_gaps(addr))
        })
        .collect();
    let mut gaps = Vec::new();
    for client in clients {
        gaps.extend(client.join().expect("a client does not panic")?);
    }
    gaps.sort();
    Ok(gaps)
}

fn measure_gaps(addr: SocketAddr) -> io::Result<Vec<Duration>> {
    let body = format!(
        r#"{{"model":"linen-7b","stream":true,"messages":[{{"role":"user","content":"draft"}}],"metadata":{{"tokens":"{TOKENS}"}}}}"#
    );
    let mut stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    write!(
        stream,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: engine\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut gaps = Vec::with_capacity(TOKENS);
    let mut last: Option<Instant> = None;
    for line in BufReader::new(stream).lines() {
        let line = line?;
        if line.starts_with("id: ") {
            let now = Instant::now();
            gaps.extend(last.map(|last| now - last));
            last = Some(now);
        }
        if line == "data: [DONE]" {
            break;
        }
    }
    Ok(gaps)
}

/// Returns the CPU time that the stand-ins' thread has used so far.
fn processor_time() -> io::Result<Duration> {
    for task in fs::read_dir("/proc/self/task")? {
        let stat = fs::read_to_string(task?.path().join("stat"))?;
        let Some((head, tail)) = stat.rsplit_once(") ") else {
            continue;
        };
        if !head.ends_with(STANDIN_THREAD) {
            continue;
        }
        // `tail` starts with field 3 of the line; user and system time are fields 14 and 15.
        let fields: Vec<&str> = tail.split(' ').collect();
        let ticks: u32 = fields[11..=12]
            .iter()
            .filter_map(|text| text.parse::<u32>().ok())
            .sum();
        return Ok(TICK * ticks);
    }
    Err(io::Error::other("the stand-ins' thread was not found"))
}
