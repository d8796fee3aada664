//! JSON lines on standard output that never hold a request up.
//!
//! Events go through a bounded ring to a thread that writes. When the reader of standard output is
//! slow or the ring is full, lines are dropped and counted, and the count is written as soon as
//! there is room. A second bound limits lines a second, whatever the load.

use std::cell::Cell;
use std::io::Write;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use crossbeam_channel::bounded;
use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use serde::Serialize;

use crate::event::Event;

/// Lines that may wait to be written; about half a megabyte.
const RING: usize = 2_048;
/// Lines a second, on average: three for each request of a host at its planned load, and some.
const LINES_A_SECOND: u32 = 400;
/// Lines that may come at once.
const BURST: u32 = 1_200;
/// Longest time that an end of the process waits for the reader.
const END_TIME: Duration = Duration::from_millis(200);

#[derive(Serialize)]
struct Line<'a> {
    unix_ms: u64,
    host: &'a str,
    #[serde(flatten)]
    event: &'a Event,
}

enum Item {
    Line(Vec<u8>),
    End,
}

/// Writes events.
pub struct Log {
    host: String,
    clock: Arc<dyn Clock>,
    ring: Sender<Item>,
    dropped: Cell<u64>,
    credit: Cell<f64>,
    last: Cell<Mono>,
    writer: Cell<Option<JoinHandle<()>>>,
    done: Receiver<()>,
}

impl Log {
    /// Starts a thread that writes to `out`.
    pub fn start<W>(host: String, clock: Arc<dyn Clock>, out: W) -> std::io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (ring, items) = bounded(RING);
        let (finished, done) = bounded(1);
        let writer = std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                write_all(&items, out);
                // Nobody may be waiting any more.
                let _ = finished.try_send(());
            })?;
        let last = clock.now();
        Ok(Self {
            host,
            clock,
            ring,
            dropped: Cell::new(0),
            credit: Cell::new(f64::from(BURST)),
            last: Cell::new(last),
            writer: Cell::new(Some(writer)),
            done,
        })
    }

    /// Logs an event, or counts it as dropped.
    pub fn event(&self, event: &Event) {
        if !self.take_credit() {
            self.drop_line();
            return;
        }
        let missed = self.dropped.get();
        if missed > 0 && self.push(&Event::LinesDropped { count: missed }) {
            self.dropped.set(0);
        }
        if !self.push(event) {
            self.drop_line();
        }
    }

    /// Writes what waits, if the reader takes it in time.
    pub fn close(&self) {
        if self.ring.send_timeout(Item::End, END_TIME).is_err() {
            return;
        }
        if self.done.recv_timeout(END_TIME).is_ok() {
            if let Some(writer) = self.writer.take() {
                // A writer that panicked has nothing left to say.
                let _ = writer.join();
            }
        }
    }

    fn push(&self, event: &Event) -> bool {
        let since = self.clock.wall().duration_since(UNIX_EPOCH);
        let millis = since.unwrap_or_default().as_millis();
        let line = Line {
            unix_ms: u64::try_from(millis).unwrap_or(u64::MAX),
            host: &self.host,
            event,
        };
        let Ok(mut bytes) = serde_json::to_vec(&line) else {
            return false;
        };
        bytes.push(b'\n');
        self.ring.try_send(Item::Line(bytes)).is_ok()
    }

    fn take_credit(&self) -> bool {
        let now = self.clock.now();
        let passed = now.saturating_sub(self.last.replace(now)).as_secs_f64();
        let credit = self.credit.get() + passed * f64::from(LINES_A_SECOND);
        let credit = credit.min(f64::from(BURST));
        let allowed = credit >= 1.0;
        self.credit.set(if allowed { credit - 1.0 } else { credit });
        allowed
    }

    fn drop_line(&self) {
        self.dropped.set(self.dropped.get() + 1);
        metrics::counter!("log_lines_dropped").increment(1);
    }
}

/// Writes lines in as few calls as they come in.
fn write_all<W: Write>(items: &Receiver<Item>, mut out: W) {
    let mut block = Vec::new();
    while let Ok(item) = items.recv() {
        let mut ended = take(item, &mut block);
        while let Ok(item) = items.try_recv() {
            ended |= take(item, &mut block);
        }
        // Without a reader there is no place to report this.
        let _ = out.write_all(&block).and_then(|()| out.flush());
        block.clear();
        if ended {
            return;
        }
    }
}

fn take(item: Item, block: &mut Vec<u8>) -> bool {
    match item {
        Item::Line(bytes) => {
            block.extend_from_slice(&bytes);
            false
        }
        Item::End => true,
    }
}
