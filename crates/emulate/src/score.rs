//! What callers got.

use std::collections::BTreeMap;

/// Part of its worth that an answer keeps when it is late.
const LATE_WORTH: f64 = 0.3;

/// One request's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Its first token came in time.
    InTime,
    /// It was answered, later.
    Late,
    /// It was refused for good.
    Refused,
    /// It was lost, or its caller left.
    Failed,
}

/// Seconds over which callers notice that others get more.
const FAIR_SPAN: u64 = 6;
/// Largest requests that an account may lack without being treated unfairly.
const FAIR_SLACK: u64 = 3;

/// Tokens of one account in one second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tokens {
    /// Asked for, at the first arrival.
    pub asked: u64,
    /// Sent to servers.
    pub got: u64,
    /// Whether a request was refused or missed its objective.
    pub hurt: bool,
}

/// Six seconds in which an account got less than half of what it should.
#[derive(Debug, Clone, Copy)]
pub struct Unfair {
    /// The account.
    pub account: usize,
    /// First second.
    pub from: u64,
    /// Tokens that it got.
    pub got: u64,
    /// The least that it should have got.
    pub least: u64,
}

/// Sums over requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    /// Requests by end: in time, late, refused, failed.
    pub ends: [u64; 4],
    /// Worth of what was got.
    pub got: f64,
    /// Worth of all.
    pub owed: f64,
}

impl Tally {
    fn add(&mut self, end: End, worth: f64) {
        let index = match end {
            End::InTime => 0,
            End::Late => 1,
            End::Refused => 2,
            End::Failed => 3,
        };
        self.ends[index] += 1;
        self.owed += worth;
        self.got += match end {
            End::InTime => worth,
            End::Late => worth * LATE_WORTH,
            End::Refused | End::Failed => 0.0,
        };
    }

    fn merge(&mut self, other: &Self) {
        for (end, more) in self.ends.iter_mut().zip(other.ends) {
            *end += more;
        }
        self.got += other.got;
        self.owed += other.owed;
    }

    /// Part of the worth that was got.
    pub fn share(&self) -> f64 {
        if self.owed > 0.0 {
            self.got / self.owed
        } else {
            1.0
        }
    }

    /// Part of the requests that were answered.
    pub fn served(&self) -> f64 {
        let [in_time, late, refused, failed] = self.ends;
        (in_time + late) as f64 / (in_time + late + refused + failed).max(1) as f64
    }
}

/// What callers got, in all and by group.
#[derive(Debug, Clone, Default)]
pub struct Score {
    /// All requests.
    pub all: Tally,
    /// By account.
    pub accounts: BTreeMap<usize, Tally>,
    /// By class.
    pub classes: BTreeMap<usize, Tally>,
    /// By zone.
    pub zones: BTreeMap<usize, Tally>,
    /// By second of arrival.
    pub seconds: BTreeMap<u64, Tally>,
    /// Tokens by second and account.
    pub tokens: BTreeMap<(u64, usize), Tokens>,
    /// Tokens of the largest request.
    pub largest: u64,
    /// Prompt tokens that servers read.
    pub read: u64,
    /// Tokens of shared parts that servers had kept.
    pub found: u64,
    /// Requests that started anew for want of memory.
    pub preempted: u64,
}

/// Where a request belongs.
#[derive(Debug, Clone, Copy)]
pub struct Group {
    /// Its account.
    pub account: usize,
    /// Its class.
    pub class: usize,
    /// Its zone.
    pub zone: usize,
    /// Second of its arrival.
    pub second: u64,
}

impl Score {
    /// Counts a request.
    pub fn add(&mut self, group: Group, end: End, worth: f64) {
        self.all.add(end, worth);
        self.accounts
            .entry(group.account)
            .or_default()
            .add(end, worth);
        self.classes.entry(group.class).or_default().add(end, worth);
        self.zones.entry(group.zone).or_default().add(end, worth);
        self.seconds
            .entry(group.second)
            .or_default()
            .add(end, worth);
    }

    /// Adds another play's sums.
    pub fn merge(&mut self, other: &Self) {
        self.all.merge(&other.all);
        merge(&mut self.accounts, &other.accounts);
        merge(&mut self.classes, &other.classes);
        merge(&mut self.zones, &other.zones);
        merge(&mut self.seconds, &other.seconds);
        self.read += other.read;
        self.found += other.found;
        self.preempted += other.preempted;
    }

    /// Tokens of an account in a second.
    pub fn tokens_of(&mut self, second: u64, account: usize) -> &mut Tokens {
        self.tokens.entry((second, account)).or_default()
    }

    /// Spans in which an account was hurt in each second and got less than half of what it asked
    /// or of what the best served account got, whichever is less, second by second.
    pub fn unfair(&self) -> Vec<Unfair> {
        let Some((last, _)) = self.tokens.keys().next_back() else {
            return Vec::new();
        };
        let spans = (0..last.saturating_sub(FAIR_SPAN)).flat_map(|from| {
            let accounts = self.accounts.keys();
            accounts.map(move |account| (from, *account))
        });
        spans
            .filter_map(|(from, account)| self.unfair_span(from, account))
            .collect()
    }

    fn unfair_span(&self, from: u64, account: usize) -> Option<Unfair> {
        let (mut got, mut due) = (0, 0);
        for second in from..from + FAIR_SPAN {
            let own = self.tokens.get(&(second, account))?;
            if !own.hurt {
                return None;
            }
            let all = self.tokens.range((second, 0)..(second + 1, 0));
            let best = all.map(|(_, tokens)| tokens.got).max().unwrap_or(0);
            got += own.got;
            due += own.asked.min(best);
        }
        let least = (due / 2).saturating_sub(FAIR_SLACK * self.largest);
        (got < least).then_some(Unfair {
            account,
            from,
            got,
            least,
        })
    }

    /// Least share of any account.
    pub fn worst_account(&self) -> f64 {
        least(self.accounts.values())
    }

    /// Least share of any zone.
    pub fn worst_zone(&self) -> f64 {
        least(self.zones.values())
    }

    /// Least share of any class.
    pub fn worst_class(&self) -> f64 {
        least(self.classes.values())
    }
}

fn least<'a>(tallies: impl Iterator<Item = &'a Tally>) -> f64 {
    tallies.map(Tally::share).fold(1.0, f64::min)
}

fn merge<K: Ord + Copy>(sums: &mut BTreeMap<K, Tally>, more: &BTreeMap<K, Tally>) {
    for (key, tally) in more {
        sums.entry(*key).or_default().merge(tally);
    }
}
