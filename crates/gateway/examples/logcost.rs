//! Prints what one log line costs the thread that serves requests.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use primrose_gateway::event::Event;
use primrose_gateway::log::Log;
use primrose_util::clock::SystemClock;

/// Lines that are measured, in rounds that the bounds let pass.
const ROUNDS: u32 = 20;
/// Lines of a round: what may come at once.
const LINES: u32 = 300;

fn main() -> std::io::Result<()> {
    let log = Log::start(
        "front-a-1".to_owned(),
        Arc::new(SystemClock::default()),
        std::io::sink(),
    )?;
    let mut spent = Duration::ZERO;
    for round in 0..ROUNDS {
        let began = Instant::now();
        for line in 0..LINES {
            log.event(&Event::Sent {
                request: format!("{round:08x}{line:08x}"),
                account: Some("account-17".to_owned()),
                route: "r-9t5iywb".to_owned(),
                server: "i-0135a4d924".to_owned(),
                tried: 0,
                predicted_ms: 121,
                waiting_tokens: 13_300,
                generation: 117,
                list_version: 1_000_022,
                fleet: 380,
            });
        }
        spent += began.elapsed();
        std::thread::sleep(Duration::from_secs(1));
    }
    log.close();
    let each = spent / (ROUNDS * LINES);
    println!("a line: {:.1} microseconds", each.as_secs_f64() * 1e6);
    Ok(())
}
