//! A log of JSON lines on standard output that never delays a request.
//!
//! Events go through a bounded queue to a writer thread. If the reader of standard output is slow
//! and the queue is full, lines are dropped and counted, and the count is written as soon as there
//! is room. In addition, a rate limit bounds the lines per second under any load.

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

/// Maximum number of queued lines; about half a megabyte.
const MAX_QUEUED_LINES: usize = 2_048;
/// Average rate limit: three lines for each request of a host at its planned load, and some spare.
const LINES_PER_SECOND: u32 = 400;
/// Maximum number of lines in a burst.
const MAX_BURST: u32 = 1_200;
/// Time for which lines are collected before they are written together. Each wake-up of the writer
/// thread takes processor time from the thread that serves requests.
const COLLECT_TIME: Duration = Duration::from_millis(50);
/// How long [`Log::close`] waits for the reader of the output.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Serialize)]
struct Line<'a> {
    unix_ms: u64,
    host: &'a str,
    #[serde(flatten)]
    event: &'a Event,
}

enum Item {
    Line(Vec<u8>),
    Close,
}

/// Writes events as JSON lines.
pub struct Log {
    host: String,
    clock: Arc<dyn Clock>,
    queue: Sender<Item>,
    dropped: Cell<u64>,
    /// Lines that the rate limit allows now.
    credit: Cell<f64>,
    /// When `credit` was last increased.
    last_refill: Cell<Mono>,
    writer: Cell<Option<JoinHandle<()>>>,
    done: Receiver<()>,
}

impl Log {
    /// Starts the writer thread, which writes to `out`.
    pub fn start<W>(host: String, clock: Arc<dyn Clock>, out: W) -> std::io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (queue, items) = bounded(MAX_QUEUED_LINES);
        let (finished, done) = bounded(1);
        let writer = std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                write_all(&items, out);
                // The receiver may no longer be waiting.
                let _ = finished.try_send(());
            })?;
        let last_refill = clock.now();
        Ok(Self {
            host,
            clock,
            queue,
            dropped: Cell::new(0),
            credit: Cell::new(f64::from(MAX_BURST)),
            last_refill: Cell::new(last_refill),
            writer: Cell::new(Some(writer)),
            done,
        })
    }

    /// Logs an event, or counts it as dropped.
    pub fn event(&self, event: &Event) {
        if !self.take_credit() {
            self.count_dropped();
            return;
        }
        let dropped = self.dropped.get();
        if dropped > 0 && self.enqueue(&Event::LinesDropped { count: dropped }) {
            self.dropped.set(0);
        }
        if !self.enqueue(event) {
            self.count_dropped();
        }
    }

    /// Writes the queued lines and stops the writer, unless the reader is too slow.
    pub fn close(&self) {
        let dropped = self.dropped.take();
        let count = self.line(&Event::LinesDropped { count: dropped });
        if let (true, Some(line)) = (dropped > 0, count) {
            // Without a reader, nobody learns of the count.
            let _ = self.queue.send_timeout(Item::Line(line), CLOSE_TIMEOUT);
        }
        if self.queue.send_timeout(Item::Close, CLOSE_TIMEOUT).is_err() {
            return;
        }
        if self.done.recv_timeout(CLOSE_TIMEOUT).is_ok() {
            if let Some(writer) = self.writer.take() {
                // Nothing remains to be done for a writer that panicked.
                let _ = writer.join();
            }
        }
    }

    fn enqueue(&self, event: &Event) -> bool {
        let line = self.line(event);
        line.is_some_and(|line| self.queue.try_send(Item::Line(line)).is_ok())
    }

    /// Encodes a line; none if the event cannot be encoded.
    fn line(&self, event: &Event) -> Option<Vec<u8>> {
        let since = self.clock.wall().duration_since(UNIX_EPOCH);
        let millis = since.unwrap_or_default().as_millis();
        let line = Line {
            unix_ms: u64::try_from(millis).unwrap_or(u64::MAX),
            host: &self.host,
            event,
        };
        let mut bytes = serde_json::to_vec(&line).ok()?;
        bytes.push(b'\n');
        Some(bytes)
    }

    fn take_credit(&self) -> bool {
        let now = self.clock.now();
        let elapsed = now
            .saturating_sub(self.last_refill.replace(now))
            .as_secs_f64();
        let credit = self.credit.get() + elapsed * f64::from(LINES_PER_SECOND);
        let credit = credit.min(f64::from(MAX_BURST));
        let allowed = credit >= 1.0;
        self.credit.set(if allowed { credit - 1.0 } else { credit });
        allowed
    }

    fn count_dropped(&self) {
        self.dropped.set(self.dropped.get() + 1);
        metrics::counter!("log_lines_dropped").increment(1);
    }
}

/// Writes lines until the log is closed, those of [`COLLECT_TIME`] in one call.
fn write_all<W: Write>(items: &Receiver<Item>, mut out: W) {
    let mut buffer = Vec::new();
    while let Ok(item) = items.recv() {
        let mut is_closed = append(item, &mut buffer);
        if !is_closed {
            std::thread::sleep(COLLECT_TIME);
        }
        while let Ok(item) = items.try_recv() {
            is_closed |= append(item, &mut buffer);
        }
        // Without a reader, the error cannot be reported anywhere.
        let _ = out.write_all(&buffer).and_then(|()| out.flush());
        buffer.clear();
        if is_closed {
            return;
        }
    }
}

/// Appends a line to the buffer; returns whether the log is closed.
fn append(item: Item, buffer: &mut Vec<u8>) -> bool {
    match item {
        Item::Line(bytes) => {
            buffer.extend_from_slice(&bytes);
            false
        }
        Item::Close => true,
    }
}
