//! Whether the one thread of a gateway keeps up with its work.
//!
//! Callers are spread by a hash, so that one host may get many times the load of the others, and
//! hosts differ in size. A thread that wakes late several times in a row has more to do than its
//! host's processor allows; the gateway then says that it takes no new connections, and the entry
//! gives them to other hosts. What it has read is still answered.

use std::cell::Cell;
use std::time::Duration;

use primrose_core::clock::Mono;

/// Lateness that counts. A processor share may be a quota, which stops a thread for up to the
/// rest of a tenth of a second.
const LATE: Duration = Duration::from_millis(120);
/// Late wake-ups in a row: one may be a pause of the host.
const IN_A_ROW: u32 = 4;
/// How long no new connections are taken: the entry asks once a second and needs two answers.
const REST: Duration = Duration::from_millis(3_000);

/// How late the thread wakes.
#[derive(Debug, Default)]
pub struct BusyDetector {
    late: Cell<u32>,
    until: Cell<Option<Mono>>,
}

impl BusyDetector {
    /// Records a wake-up that was wanted `late` sooner; returns whether the gateway became busy.
    pub fn record_wakeup(&self, late: Duration, now: Mono) -> bool {
        if late < LATE {
            self.late.set(0);
            return false;
        }
        self.late.set(self.late.get() + 1);
        if self.late.get() < IN_A_ROW {
            return false;
        }
        let began = !self.is_busy(now);
        self.until.set(Some(now + REST));
        began
    }

    /// Whether new connections are better taken elsewhere.
    pub fn is_busy(&self, now: Mono) -> bool {
        self.until.get().is_some_and(|until| now < until)
    }
}
