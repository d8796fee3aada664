//! Requests that broke the connection of each server that ran them.
//!
//! Now and then one request crashes every server that begins to run it, and its caller sends it
//! again, at any gateway. A request is known by its fingerprint; each gateway counts the runs that
//! ended in a broken connection before any answer, tells its counts, and refuses a fingerprint
//! whose count over the fleet reaches the limit.
//!
//! A request that ended well lately crashes no servers, however many of its runs break: popular
//! lookups share a fingerprint, and where links break, each gateway sees some of them broken.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::fingerprint::Fingerprint;

/// Broken runs over the fleet after which a fingerprint is refused.
const LIMIT: u32 = 3;
/// How long a broken run counts; a caller that comes back later is heard again.
const MEMORY: Duration = Duration::from_secs(60);
/// Fingerprints that a digest names; the newest matter.
const TOLD: usize = 16;
/// How long after its last broken run a fingerprint is told: most break one and never come again.
const WORTH_TELLING: Duration = Duration::from_secs(15);

/// How long a good end is remembered at least, and twice that at most.
const GOOD_TIME: Duration = Duration::from_secs(30);
/// Good ends remembered from one such time, which bounds their memory to about 100 KB.
const GOOD_MOST: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Count {
    runs: u32,
    last: Mono,
}

/// Fingerprints of requests that ended well lately.
#[derive(Debug, Default)]
struct Good {
    newer: HashSet<Fingerprint>,
    older: HashSet<Fingerprint>,
    since: Mono,
}

impl Good {
    fn record(&mut self, print: Fingerprint, now: Mono) {
        self.forget(now);
        if self.newer.len() >= GOOD_MOST {
            self.turn(now);
        }
        self.newer.insert(print);
    }

    fn contains(&self, print: Fingerprint) -> bool {
        self.newer.contains(&print) || self.older.contains(&print)
    }

    fn forget(&mut self, now: Mono) {
        if now.saturating_sub(self.since) >= GOOD_TIME {
            self.turn(now);
        }
    }

    fn turn(&mut self, now: Mono) {
        self.older = std::mem::take(&mut self.newer);
        self.since = now;
    }
}

/// Counts of broken runs.
#[derive(Debug, Default)]
pub struct Crashes {
    own: HashMap<Fingerprint, Count>,
    others: HashMap<(u64, Fingerprint), Count>,
    good: Good,
}

impl Crashes {
    /// Records a run that ended in a broken connection.
    pub fn broke(&mut self, print: Fingerprint, now: Mono) {
        if self.good.contains(print) {
            return;
        }
        let count = self
            .own
            .entry(print)
            .or_insert(Count { runs: 0, last: now });
        count.runs += 1;
        count.last = now;
    }

    /// Records that a run came to its end, which clears the request.
    pub fn ended_well(&mut self, print: Fingerprint, now: Mono) {
        self.own.remove(&print);
        self.good.record(print, now);
    }

    /// Records what another gateway counted.
    pub fn merge(&mut self, writer: u64, counts: &[(Fingerprint, u32)], now: Mono) {
        for (print, runs) in counts {
            let count = Count {
                runs: *runs,
                last: now,
            };
            self.others.insert((writer, *print), count);
        }
    }

    /// Whether the request is refused.
    pub fn is_refused(&self, print: Fingerprint) -> bool {
        !self.good.contains(print) && self.runs(print) >= LIMIT
    }

    /// Broken runs over the fleet.
    pub fn runs(&self, print: Fingerprint) -> u32 {
        let own = self.own.get(&print).map_or(0, |count| count.runs);
        let mut runs = own;
        for ((_, other), count) in &self.others {
            if *other == print {
                runs += count.runs;
            }
        }
        runs
    }

    /// Counts to tell, newest first.
    pub fn told(&self, now: Mono) -> Vec<(Fingerprint, u32)> {
        let mut rows: Vec<_> = self
            .own
            .iter()
            .filter(|(_, count)| now.saturating_sub(count.last) < WORTH_TELLING)
            .collect();
        rows.sort_by_key(|(print, count)| (std::cmp::Reverse(count.last), **print));
        rows.truncate(TOLD);
        rows.into_iter()
            .map(|(print, count)| (*print, count.runs))
            .collect()
    }

    /// Forgets old counts.
    pub fn forget(&mut self, now: Mono) {
        self.good.forget(now);
        let fresh = |count: &Count| now.saturating_sub(count.last) < MEMORY;
        self.own.retain(|_, count| fresh(count));
        self.others.retain(|_, count| fresh(count));
    }
}
