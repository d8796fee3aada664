//! Measures the time that one log line costs the thread that serves requests.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use primrose_gateway::event::Event;
use primrose_gateway::log::Log;
use primrose_util::clock::SystemClock;

/// Number of rounds; the pauses between them keep the log within its rate limit.
const ROUNDS: u32 = 20;
/// Lines per round, few enough for the log's burst limit.
const LINES: u32 = 300;

fn main() -> std::io::Result<()> {
    let log = Log::start(
        "front-a-1".to_owned(),
        Arc::new(SystemClock::default()),
        std::io::sink(),
    )?;
    let mut elapsed = Duration::ZERO;
    for round in 0..ROUNDS {
        let began = Instant::now();
        for line in 0..LINES {
            log.event(&Event::Sent {
                request: format!("{round:08x}{line:08x}"),
                account: Some("account-17".to_owned()),
                route: "r-9t5iywb".to_owned(),
                server: "i-0135a4d924".to_owned(),
                resumes: None,
                tried: 0,
                predicted_ms: 121,
                waiting_tokens: 13_300,
                generation: 117,
                list_version: 1_000_022,
                fleet: 380,
                share: None,
                limits: None,
                view_age_ms: 0,
            });
        }
        elapsed += began.elapsed();
        std::thread::sleep(Duration::from_secs(1));
    }
    log.close();
    let per_line = elapsed / (ROUNDS * LINES);
    println!("a line: {:.1} microseconds", per_line.as_secs_f64() * 1e6);
    Ok(())
}
