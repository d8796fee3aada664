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
const MIN_LATENESS: Duration = Duration::from_millis(120);
/// Late wake-ups in a row: one may be a pause of the host.
const MIN_LATE_WAKEUPS: u32 = 4;
/// How long no new connections are taken: the entry asks once a second and needs two answers.
const BUSY_TIME: Duration = Duration::from_millis(3_000);

/// How late the thread wakes.
#[derive(Debug, Default)]
pub struct BusyDetector {
    late_wakeups: Cell<u32>,
    busy_until: Cell<Option<Mono>>,
}

impl BusyDetector {
    /// Records a wake-up that was wanted `late` sooner; returns whether the gateway became busy.
    pub fn record_wakeup(&self, lateness: Duration, now: Mono) -> bool {
        if lateness < MIN_LATENESS {
            self.late_wakeups.set(0);
            return false;
        }
        self.late_wakeups.set(self.late_wakeups.get() + 1);
        if self.late_wakeups.get() < MIN_LATE_WAKEUPS {
            return false;
        }
        let became_busy = !self.is_busy(now);
        self.busy_until.set(Some(now + BUSY_TIME));
        became_busy
    }

    /// Whether new connections are better taken elsewhere.
    pub fn is_busy(&self, now: Mono) -> bool {
        self.busy_until.get().is_some_and(|until| now < until)
    }
}
