//! Requests that broke the connection of each server that ran them.
//!
//! Now and then one request crashes every server that begins to run it, and its caller sends it
//! again, at any gateway. A request is known by its fingerprint; each gateway counts the runs that
//! ended in a broken connection before any answer, tells its counts, and refuses a fingerprint
//! whose count over the fleet reaches the limit.
//!
//! A request that ended well lately crashes no servers, however many of its runs break: popular
//! lookups share a fingerprint, and where links break, each gateway sees some of them broken. It tells the others, too: one that has just started knows of no
//! good end, and would not run the request to see one.

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

/// Count that tells that a request ended well.
const CLEARED: u32 = 0;
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
    /// Requests with broken runs that ended well, which the others are told.
    cleared: HashMap<Fingerprint, Mono>,
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
        if self.runs(print) > 0 {
            self.clear(print);
            self.cleared.insert(print, now);
        }
        self.good.record(print, now);
    }

    /// Records what another gateway counted.
    pub fn merge(&mut self, writer: u64, counts: &[(Fingerprint, u32)], now: Mono) {
        for (print, runs) in counts {
            if *runs == CLEARED {
                self.clear(*print);
                self.good.record(*print, now);
                continue;
            }
            let count = Count {
                runs: *runs,
                last: now,
            };
            self.others.insert((writer, *print), count);
        }
    }

    fn clear(&mut self, print: Fingerprint) {
        self.own.remove(&print);
        self.others.retain(|(_, other), _| *other != print);
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
        let counts = self.own.iter();
        let counts = counts.map(|(print, count)| (count.last, *print, count.runs));
        let cleared = self.cleared.iter();
        let cleared = cleared.map(|(print, last)| (*last, *print, CLEARED));
        let mut rows: Vec<_> = counts
            .chain(cleared)
            .filter(|(last, ..)| now.saturating_sub(*last) < WORTH_TELLING)
            .collect();
        rows.sort_by_key(|(last, print, _)| (std::cmp::Reverse(*last), *print));
        rows.truncate(TOLD);
        rows.into_iter()
            .map(|(_, print, runs)| (print, runs))
            .collect()
    }

    /// Forgets old counts.
    pub fn forget(&mut self, now: Mono) {
        self.good.forget(now);
        self.cleared
            .retain(|_, last| now.saturating_sub(*last) < WORTH_TELLING);
        let fresh = |count: &Count| now.saturating_sub(count.last) < MEMORY;
        self.own.retain(|_, count| fresh(count));
        self.others.retain(|_, count| fresh(count));
    }
}
