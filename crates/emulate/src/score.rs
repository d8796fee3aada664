//! Outcomes of simulated requests: the worth of the responses, and fairness between accounts.

use std::collections::BTreeMap;

/// Share of its worth that a late response keeps.
const LATE_WORTH: f64 = 0.3;

/// Final outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Completed; the first token met the objective.
    InTime,
    /// Completed; the first token missed the objective.
    Late,
    /// Refused and not retried again.
    Refused,
    /// Lost to a server failure, or unfinished at the end of the simulation.
    Failed,
}

/// Length of the window over which fairness is judged, in seconds. Callers notice over this time
/// that others are served more.
const FAIRNESS_WINDOW_SECS: u64 = 6;
/// Shortfall that does not count as unfair, in requests of the largest size.
const FAIRNESS_SLACK_REQUESTS: u64 = 3;

/// Service requested and received by one account in one second, in tokens.
#[derive(Debug, Clone, Copy, Default)]
pub struct AccountTokens {
    /// Tokens of the requests that arrived; retries do not count.
    pub requested: u64,
    /// Tokens of the requests whose first attempt was sent to a server; attempts on other servers
    /// do not count.
    pub received: u64,
    /// Whether a request was refused in this second, or arrived in it and missed its objective.
    pub degraded: bool,
}

/// Window in which an account got less than half of its fair share of tokens.
#[derive(Debug, Clone, Copy)]
pub struct Unfair {
    /// The account.
    pub account: usize,
    /// First second of the window.
    pub from: u64,
    /// Tokens that the account received.
    pub got: u64,
    /// Minimum number of tokens that the account should have received.
    pub least: u64,
}

/// Outcomes and worth summed over requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    /// Requests by outcome: in time, late, refused, failed.
    pub outcomes: [u64; 4],
    /// Worth of the responses received.
    pub received: f64,
    /// Worth of all requests, had each been answered in time.
    pub total: f64,
}

impl Tally {
    fn add(&mut self, outcome: RequestOutcome, worth: f64) {
        let index = match outcome {
            RequestOutcome::InTime => 0,
            RequestOutcome::Late => 1,
            RequestOutcome::Refused => 2,
            RequestOutcome::Failed => 3,
        };
        self.outcomes[index] += 1;
        self.total += worth;
        self.received += match outcome {
            RequestOutcome::InTime => worth,
            RequestOutcome::Late => worth * LATE_WORTH,
            RequestOutcome::Refused | RequestOutcome::Failed => 0.0,
        };
    }

    fn merge(&mut self, other: &Self) {
        for (outcome, more) in self.outcomes.iter_mut().zip(other.outcomes) {
            *outcome += more;
        }
        self.received += other.received;
        self.total += other.total;
    }

    /// Share of the total worth that was received; 1 if there were no requests.
    pub fn worth_share(&self) -> f64 {
        if self.total > 0.0 {
            self.received / self.total
        } else {
            1.0
        }
    }

    /// Share of the requests that were completed.
    pub fn served_share(&self) -> f64 {
        let [in_time, late, refused, failed] = self.outcomes;
        (in_time + late) as f64 / (in_time + late + refused + failed).max(1) as f64
    }
}

/// Results of a simulation, in total and by label.
#[derive(Debug, Clone, Default)]
pub struct Score {
    /// Totals over all requests.
    pub all: Tally,
    /// Totals by account.
    pub accounts: BTreeMap<usize, Tally>,
    /// Totals by class.
    pub classes: BTreeMap<usize, Tally>,
    /// Totals by zone.
    pub zones: BTreeMap<usize, Tally>,
    /// Totals by second of arrival.
    pub seconds: BTreeMap<u64, Tally>,
    /// Tokens requested and received, by second and account.
    pub tokens: BTreeMap<(u64, usize), AccountTokens>,
    /// Service of the largest request, in tokens.
    pub largest_request: u64,
    /// Prompt tokens that servers prefilled.
    pub prefill_tokens: u64,
    /// Tokens of shared prefixes that were cached on the server.
    pub cached_tokens: u64,
    /// Preemptions for lack of memory.
    pub preemptions: u64,
}

/// Labels by which the results of requests are grouped.
#[derive(Debug, Clone, Copy)]
pub struct RequestLabels {
    /// Account of the caller.
    pub account: usize,
    /// Class of the request.
    pub class: usize,
    /// Zone in which the request arrived.
    pub zone: usize,
    /// Second of arrival.
    pub second: u64,
}

impl Score {
    /// Adds the outcome of a request.
    pub fn add(&mut self, labels: RequestLabels, outcome: RequestOutcome, worth: f64) {
        self.all.add(outcome, worth);
        self.accounts
            .entry(labels.account)
            .or_default()
            .add(outcome, worth);
        self.classes
            .entry(labels.class)
            .or_default()
            .add(outcome, worth);
        self.zones
            .entry(labels.zone)
            .or_default()
            .add(outcome, worth);
        self.seconds
            .entry(labels.second)
            .or_default()
            .add(outcome, worth);
    }

    /// Adds the totals of another simulation, except the tokens by second and account.
    pub fn merge(&mut self, other: &Self) {
        self.all.merge(&other.all);
        merge(&mut self.accounts, &other.accounts);
        merge(&mut self.classes, &other.classes);
        merge(&mut self.zones, &other.zones);
        merge(&mut self.seconds, &other.seconds);
        self.prefill_tokens += other.prefill_tokens;
        self.cached_tokens += other.cached_tokens;
        self.preemptions += other.preemptions;
    }

    /// Returns the tokens of an account in a second, for update.
    pub fn tokens_mut(&mut self, second: u64, account: usize) -> &mut AccountTokens {
        self.tokens.entry((second, account)).or_default()
    }

    /// Returns the windows in which an account was treated unfairly.
    ///
    /// In such a window the account had a refused or late request in every second, and it received
    /// less than half of its due, with a slack of a few large requests. Its due in a second is the
    /// lesser of what it requested and what the best served account received.
    pub fn unfair_windows(&self) -> Vec<Unfair> {
        let Some((last, _)) = self.tokens.keys().next_back() else {
            return Vec::new();
        };
        let windows = (0..last.saturating_sub(FAIRNESS_WINDOW_SECS)).flat_map(|from| {
            let accounts = self.accounts.keys();
            accounts.map(move |account| (from, *account))
        });
        windows
            .filter_map(|(from, account)| self.unfair_window(from, account))
            .collect()
    }

    fn unfair_window(&self, from: u64, account: usize) -> Option<Unfair> {
        let (mut got, mut due) = (0, 0);
        for second in from..from + FAIRNESS_WINDOW_SECS {
            let own = self.tokens.get(&(second, account))?;
            if !own.degraded {
                return None;
            }
            let all = self.tokens.range((second, 0)..(second + 1, 0));
            let best = all.map(|(_, tokens)| tokens.received).max().unwrap_or(0);
            got += own.received;
            due += own.requested.min(best);
        }
        let least = (due / 2).saturating_sub(FAIRNESS_SLACK_REQUESTS * self.largest_request);
        (got < least).then_some(Unfair {
            account,
            from,
            got,
            least,
        })
    }

    /// Lowest share of worth received by an account.
    pub fn worst_account(&self) -> f64 {
        lowest_share(self.accounts.values())
    }

    /// Lowest share of worth received in a zone.
    pub fn worst_zone(&self) -> f64 {
        lowest_share(self.zones.values())
    }

    /// Lowest share of worth received by a class.
    pub fn worst_class(&self) -> f64 {
        lowest_share(self.classes.values())
    }
}

fn lowest_share<'a>(tallies: impl Iterator<Item = &'a Tally>) -> f64 {
    tallies.map(Tally::worth_share).fold(1.0, f64::min)
}

fn merge<K: Ord + Copy>(sums: &mut BTreeMap<K, Tally>, more: &BTreeMap<K, Tally>) {
    for (key, tally) in more {
        sums.entry(*key).or_default().merge(tally);
    }
}
