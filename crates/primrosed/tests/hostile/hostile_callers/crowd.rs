//! Many callers on one thread, each with its own connection, that all send the same bytes.

use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Time to connect. A process that accepts no more connections leaves the excess in its backlog.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which callers stop sending, whatever the process has taken.
const SEND_TIME: Duration = Duration::from_secs(20);
/// Time without a byte taken after which callers stop sending.
const STALL_TIME: Duration = Duration::from_secs(2);
/// Maximum wait for the beginning of an answer before the next caller sends.
const ANSWER_WAIT: Duration = Duration::from_millis(500);
/// Pause after a round in which the process took nothing.
const PAUSE: Duration = Duration::from_millis(2);

/// What each caller sends before it stops and keeps its connection open.
#[derive(Clone)]
pub(super) struct Script {
    /// Sent first.
    pub(super) head: Vec<u8>,
    /// Sent after the head, `repeats` times.
    pub(super) block: Vec<u8>,
    pub(super) repeats: usize,
    /// Maximum number of bytes that a caller writes before the turn of the next.
    pub(super) piece: usize,
    /// Whether a caller sends once the answer to the one before it has begun, rather than all at once.
    pub(super) one_by_one: bool,
}

impl Script {
    /// Returns the script without what follows the head.
    pub(super) fn head_only(&self) -> Self {
        Self {
            repeats: 0,
            ..self.clone()
        }
    }

    fn len(&self) -> usize {
        self.head.len() + self.block.len() * self.repeats
    }

    /// Returns the bytes that follow the first `sent`, as far as they are contiguous.
    fn next_bytes(&self, sent: usize) -> &[u8] {
        let Some(after_head) = sent.checked_sub(self.head.len()) else {
            return &self.head[sent..];
        };
        if sent >= self.len() {
            return &[];
        }
        &self.block[after_head % self.block.len()..]
    }
}

/// Result of a caller's turn.
enum Turn {
    Wrote,
    Blocked,
    /// The script is complete, or the process has closed the connection.
    Over,
}

struct Caller {
    stream: TcpStream,
    sent: usize,
    is_cut_off: bool,
}

impl Caller {
    fn connect(addr: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?;
        stream.set_nonblocking(true).ok()?;
        // Small pieces must arrive as they are sent.
        stream.set_nodelay(true).ok()?;
        Some(Self {
            stream,
            sent: 0,
            is_cut_off: false,
        })
    }

    /// Returns whether something can be read, or the connection has ended.
    fn has_answer(&self) -> bool {
        let peeked = self.stream.peek(&mut [0; 1]);
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    fn take_turn(&mut self, script: &Script) -> Turn {
        let mut written = 0;
        while written < script.piece && !self.is_cut_off {
            let bytes = script.next_bytes(self.sent);
            let bytes = &bytes[..bytes.len().min(script.piece - written)];
            if bytes.is_empty() {
                break;
            }
            match self.stream.write(bytes) {
                Ok(length) if length > 0 => {
                    self.sent += length;
                    written += length;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return if written > 0 {
                        Turn::Wrote
                    } else {
                        Turn::Blocked
                    };
                }
                _ => self.is_cut_off = true,
            }
        }
        if written > 0 {
            Turn::Wrote
        } else {
            Turn::Over
        }
    }
}

/// Callers whose connections stay open until this is dropped.
pub(super) struct Crowd {
    callers: Vec<Caller>,
}

impl Crowd {
    /// Connects `count` callers, which send nothing yet.
    pub(super) fn connect(addr: SocketAddr, count: usize) -> Self {
        let callers = (0..count).filter_map(|_| Caller::connect(addr));
        Self {
            callers: callers.collect(),
        }
    }

    /// Sends the script; `observe` is called again and again meanwhile.
    pub(super) fn send(&mut self, script: &Script, mut observe: impl FnMut()) {
        if !script.one_by_one {
            return send_in_turns(&mut self.callers, script, &mut observe);
        }
        for caller in &mut self.callers {
            send_in_turns(std::slice::from_mut(caller), script, &mut observe);
            let begun = Instant::now();
            while !caller.has_answer() && begun.elapsed() < ANSWER_WAIT {
                std::thread::sleep(PAUSE);
            }
        }
    }

    /// Describes what became of the callers.
    pub(super) fn summary(&self, script: &Script) -> String {
        let count = |holds: fn(&Caller, usize) -> bool| {
            let callers = self.callers.iter();
            callers.filter(|caller| holds(caller, script.len())).count()
        };
        let all = self.callers.len();
        let through = count(|caller, length| caller.sent == length);
        let cut_off = count(|caller, _| caller.is_cut_off);
        format!("{all} callers, {through} sent all, {cut_off} cut off")
    }
}

/// Sends the script in turns until every caller is through or the process takes nothing more;
/// `observe` is called after each round.
fn send_in_turns(callers: &mut [Caller], script: &Script, observe: &mut impl FnMut()) {
    let begun = Instant::now();
    let mut last_write = begun;
    while begun.elapsed() < SEND_TIME && last_write.elapsed() < STALL_TIME {
        let mut has_blocked = false;
        let mut has_written = false;
        for caller in callers.iter_mut() {
            match caller.take_turn(script) {
                Turn::Wrote => has_written = true,
                Turn::Blocked => has_blocked = true,
                Turn::Over => {}
            }
        }
        observe();
        if has_written {
            last_write = Instant::now();
        } else if has_blocked {
            std::thread::sleep(PAUSE);
        } else {
            return;
        }
    }
}
