//! Detection of requests that crash servers.
//!
//! Occasionally one request crashes every server that starts to run it, and its caller retries it
//! at any gateway. Each gateway counts, by the fingerprint of the request, the runs with the outcome
//! [`AttemptOutcome::Broken`](crate::AttemptOutcome::Broken), and publishes its counts. A request
//! whose count over the fleet reaches the threshold is refused.
//!
//! A request that succeeded recently is not taken for a crashing one, however many of its runs
//! break: popular lookups share a fingerprint, and when links fail, each gateway sees some of them
//! broken. Successes are published too: a gateway that has just started knows of none, and would
//! refuse the request before it could see one.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::fingerprint::Fingerprint;

/// Broken runs over the fleet at which a request is refused.
const REFUSAL_THRESHOLD: u32 = 3;
/// Time for which a count is kept after its last broken run; later the request may run again.
const COUNT_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum number of fingerprints in a digest; the newest are preferred.
const MAX_PUBLISHED: usize = 16;
/// Time for which a count is published after its last broken run. Most requests break one
/// connection and are not sent again.
const PUBLISH_TIME: Duration = Duration::from_secs(15);

/// Published in place of a count when the request has succeeded.
const CLEARED: u32 = 0;
/// Minimum time for which a success is remembered, unless [`MAX_SUCCESSES`] is reached; the maximum
/// is twice that.
const SUCCESS_ROTATION_TIME: Duration = Duration::from_secs(30);
/// Maximum number of successes remembered from one rotation period, which bounds their memory to
/// about 100 KB.
const MAX_SUCCESSES: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Count {
    runs: u32,
    last: Mono,
}

/// Fingerprints of requests that succeeded recently, in two rotating sets.
#[derive(Debug, Default)]
struct RecentSuccesses {
    current: HashSet<Fingerprint>,
    previous: HashSet<Fingerprint>,
    rotated_at: Mono,
}

impl RecentSuccesses {
    fn record(&mut self, fingerprint: Fingerprint, now: Mono) {
        self.expire(now);
        if self.current.len() >= MAX_SUCCESSES {
            self.rotate(now);
        }
        self.current.insert(fingerprint);
    }

    fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }

    fn expire(&mut self, now: Mono) {
        if now.saturating_sub(self.rotated_at) >= SUCCESS_ROTATION_TIME {
            self.rotate(now);
        }
    }

    fn rotate(&mut self, now: Mono) {
        self.previous = std::mem::take(&mut self.current);
        self.rotated_at = now;
    }
}

/// Counts of broken runs by request, at this gateway and at the others.
#[derive(Debug, Default)]
pub struct CrashTracker {
    local: HashMap<Fingerprint, Count>,
    remote: HashMap<(u64, Fingerprint), Count>,
    successes: RecentSuccesses,
    /// Requests with broken runs that then succeeded at this gateway, to be published.
    cleared: HashMap<Fingerprint, Mono>,
}

impl CrashTracker {
    /// Records a run that ended in a broken connection.
    pub fn record_broken(&mut self, fingerprint: Fingerprint, now: Mono) {
        if self.successes.contains(fingerprint) {
            return;
        }
        let count = self
            .local
            .entry(fingerprint)
            .or_insert(Count { runs: 0, last: now });
        count.runs += 1;
        count.last = now;
    }

    /// Records a run that succeeded, which clears the counts of the request.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Mono) {
        if self.broken_runs(fingerprint) > 0 {
            self.clear(fingerprint);
            self.cleared.insert(fingerprint, now);
        }
        self.successes.record(fingerprint, now);
    }

    /// Merges the counts that another gateway published.
    pub fn merge(&mut self, writer: u64, counts: &[(Fingerprint, u32)], now: Mono) {
        for (fingerprint, runs) in counts {
            if *runs == CLEARED {
                self.clear(*fingerprint);
                self.successes.record(*fingerprint, now);
                continue;
            }
            let count = Count {
                runs: *runs,
                last: now,
            };
            self.remote.insert((writer, *fingerprint), count);
        }
    }

    fn clear(&mut self, fingerprint: Fingerprint) {
        self.local.remove(&fingerprint);
        self.remote
            .retain(|(_, counted), _| *counted != fingerprint);
    }

    /// Whether the request is refused.
    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        !self.successes.contains(fingerprint) && self.broken_runs(fingerprint) >= REFUSAL_THRESHOLD
    }

    /// Returns the number of broken runs over the fleet.
    pub fn broken_runs(&self, fingerprint: Fingerprint) -> u32 {
        let local = self.local.get(&fingerprint).map_or(0, |count| count.runs);
        let mut runs = local;
        for ((_, counted), count) in &self.remote {
            if *counted == fingerprint {
                runs += count.runs;
            }
        }
        runs
    }

    /// Returns the counts to publish, newest first.
    pub fn to_publish(&self, now: Mono) -> Vec<(Fingerprint, u32)> {
        let counts = self.local.iter();
        let counts = counts.map(|(fingerprint, count)| (count.last, *fingerprint, count.runs));
        let cleared = self.cleared.iter();
        let cleared = cleared.map(|(fingerprint, last)| (*last, *fingerprint, CLEARED));
        let mut rows: Vec<_> = counts
            .chain(cleared)
            .filter(|(last, ..)| now.saturating_sub(*last) < PUBLISH_TIME)
            .collect();
        rows.sort_by_key(|(last, fingerprint, _)| (std::cmp::Reverse(*last), *fingerprint));
        rows.truncate(MAX_PUBLISHED);
        rows.into_iter()
            .map(|(_, fingerprint, runs)| (fingerprint, runs))
            .collect()
    }

    /// Drops expired counts and successes.
    pub fn expire(&mut self, now: Mono) {
        self.successes.expire(now);
        self.cleared
            .retain(|_, last| now.saturating_sub(*last) < PUBLISH_TIME);
        let is_fresh = |count: &Count| now.saturating_sub(count.last) < COUNT_LIFETIME;
        self.local.retain(|_, count| is_fresh(count));
        self.remote.retain(|_, count| is_fresh(count));
    }
}
