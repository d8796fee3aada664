//! Detects that the single thread of a gateway does not keep up with its work.
//!
//! The load balancer spreads callers by a hash, so one host may get many times the load of the
//! others, and hosts differ in size. A thread that wakes late several times in a row has more work
//! than its host's processor can do. The gateway then reports that it accepts no new connections,
//! and the load balancer sends them to other hosts. Requests that were already read are still
//! served.

use std::cell::Cell;
use std::time::Duration;

use primrose_core::clock::Mono;

/// Minimum lateness that counts. A CPU quota may stop a thread for up to the rest of a period of a
/// tenth of a second.
const MIN_LATENESS: Duration = Duration::from_millis(120);
/// Consecutive late wake-ups that make the gateway busy; a single one may be a pause of the host.
const MIN_LATE_WAKEUPS: u32 = 4;
/// How long the gateway stays busy. The load balancer checks readiness once a second and reacts to
/// the second result.
const BUSY_TIME: Duration = Duration::from_millis(3_000);

/// Detects overload of the thread by how late it wakes from sleeping.
#[derive(Debug, Default)]
pub struct BusyDetector {
    late_wakeups: Cell<u32>,
    busy_until: Cell<Option<Mono>>,
}

impl BusyDetector {
    /// Records a wake-up that came `lateness` after its time; returns whether the gateway became
    /// busy.
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

    /// Returns whether new connections should go to other gateways.
    pub fn is_busy(&self, now: Mono) -> bool {
        self.busy_until.get().is_some_and(|until| now < until)
    }
}
