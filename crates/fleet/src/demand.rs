//! Tokens that each client account requested and was granted, over the whole fleet.
//!
//! Each gateway counts its own requests over a sliding window of a few seconds and sends the sums
//! in its digests. Shares are max-min fair: an account that requests less than an equal share gets
//! all of it, and the others get the same amount each. Two amounts are shared: the token rate that
//! the operators configured, which gives each account its quota, and the tokens that servers really
//! process, which may be more and give each account its fair share. Tokens are counted as by
//! [`Prompt::service`](crate::place::Prompt::service).
//!
//! In a large fleet the sums are late, and gateways that act on the same difference would together send a
//! multiple of it before they learn of one another, for an account whose callers reach many of them. There,
//! a position is drawn for each request in the demand of its account, from zero to the tokens that the
//! account requests, and only those up to a multiple of the share are considered. An account gains nothing
//! by more attempts or at more gateways, since each attempt adds to its demand.

use std::collections::HashMap;
use std::time::Duration;

use primrose_core::clock::Mono;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::ShortId;
use crate::place::share_key;
use crate::window::Window;

/// Time over which shares are computed; about the time in which callers notice a shortfall.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Time by which the sums of the others are late in a large fleet. The token rate of this time is
/// given out at once after the start.
const SUMS_DELAY: Duration = Duration::from_millis(500);
/// Lowest position that is not considered, relative to the fair share of the account. Sums are late by up
/// to an eighth of the window; in that time, gateways send at most a quarter of the account's share.
const MAX_POSITION: f64 = 2.0;
/// Difference of two successive positions, as a fraction of 2^32: the golden ratio spreads any number of
/// them evenly.
const POSITION_STEP: u32 = 0x9E37_79B9;

/// Tokens of one account over the last [`WINDOW`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenSums {
    /// Tokens of all requests.
    pub asked: u64,
    /// Tokens of requests that were sent to servers.
    pub granted: u64,
    /// Those of `granted` that belong to streams which callers resumed.
    pub resumed: u64,
}

impl TokenSums {
    /// Adds other sums.
    pub fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.granted += other.granted;
        self.resumed += other.resumed;
    }

    /// Subtracts sums that were added before.
    pub fn remove(&mut self, other: Self) {
        self.asked = self.asked.saturating_sub(other.asked);
        self.granted = self.granted.saturating_sub(other.granted);
        self.resumed = self.resumed.saturating_sub(other.resumed);
    }
}

#[derive(Debug)]
struct Account {
    asked: Window,
    granted: Window,
    resumed: Window,
    /// Position of the last request, as a fraction of 2^32.
    position: u32,
}

impl Account {
    fn new(position: u32) -> Self {
        Self {
            asked: Window::new(WINDOW),
            granted: Window::new(WINDOW),
            resumed: Window::new(WINDOW),
            position,
        }
    }

    /// Returns the position of the next request in `[0, 1)`.
    fn next_position(&mut self) -> f64 {
        self.position = self.position.wrapping_add(POSITION_STEP);
        f64::from(self.position) / 2.0_f64.powi(32)
    }
}

/// Recent demand of all accounts.
#[derive(Debug, Default)]
pub struct Demand {
    /// Distinguishes the positions that this gateway draws from those of the others.
    seed: u64,
    local: HashMap<ShortId, Account>,
    /// Totals of the sums that other gateways sent.
    remote: HashMap<ShortId, TokenSums>,
    /// Tokens of this gateway's requests that servers began to answer.
    begun: Option<Window>,
    /// Total of the tokens that servers began to answer for other gateways.
    remote_begun: u64,
    /// Time of this gateway's first request.
    first_request: Option<Mono>,
}

impl Demand {
    /// Creates the state of a gateway; `seed` differs between gateways.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    fn local(&mut self, account: ShortId, now: Mono) -> &mut Account {
        let seed = self.seed;
        self.local.entry(account).or_insert_with(|| {
            let time = u64::try_from(now.as_nanos()).unwrap_or(u64::MAX);
            let hash = share_key([seed, u64::from(account), time]);
            Account::new((hash >> 32) as u32)
        })
    }

    /// Records a request of an account.
    pub fn record_request(&mut self, account: ShortId, tokens: u64, now: Mono) {
        self.first_request.get_or_insert(now);
        let account = self.local(account, now);
        account.asked.add(tokens, now);
    }

    /// Records that a request of an account was sent to a server.
    pub fn record_sent(&mut self, account: ShortId, tokens: u64, now: Mono) {
        let account = self.local(account, now);
        account.granted.add(tokens, now);
    }

    /// Records that a stream of an account was sent to a server which its caller resumed.
    pub fn record_resumed(&mut self, account: ShortId, tokens: u64, now: Mono) {
        self.record_sent(account, tokens, now);
        let account = self.local(account, now);
        account.resumed.add(tokens, now);
    }

    /// Records that a server began to answer a request.
    pub fn record_begun(&mut self, tokens: u64, now: Mono) {
        let begun = self.begun.get_or_insert_with(|| Window::new(WINDOW));
        begun.add(tokens, now);
    }

    /// Returns the tokens of this gateway's requests that servers recently began to answer.
    pub fn local_begun(&mut self, now: Mono) -> u64 {
        self.begun.as_mut().map_or(0, |begun| begun.sum(now))
    }

    /// Replaces the previous begun tokens of another gateway by its current ones.
    pub fn merge_begun(&mut self, previous: u64, current: u64) {
        self.remote_begun = self.remote_begun.saturating_sub(previous) + current;
    }

    /// Returns the sums of the accounts that recently sent requests to this gateway.
    pub fn local_sums(&mut self, now: Mono) -> Vec<(ShortId, TokenSums)> {
        let mut sums = Vec::with_capacity(self.local.len());
        self.local.retain(|account, windows| {
            let asked = windows.asked.sum(now);
            let granted = windows.granted.sum(now);
            let resumed = windows.resumed.sum(now);
            if asked > 0 || granted > 0 {
                let tokens = TokenSums {
                    asked,
                    granted,
                    resumed,
                };
                sums.push((*account, tokens));
            }
            asked > 0 || granted > 0
        });
        sums
    }

    /// Replaces the previous sums of another gateway by its current ones.
    pub fn merge(&mut self, previous: &[(ShortId, TokenSums)], current: &[(ShortId, TokenSums)]) {
        for (account, sums) in previous {
            if let Some(total) = self.remote.get_mut(account) {
                total.remove(*sums);
            }
        }
        for (account, sums) in current {
            self.remote.entry(*account).or_default().add(*sums);
        }
        self.remote.retain(|_, sums| *sums != TokenSums::default());
    }

    /// Drops the sums of all other gateways.
    pub fn clear_remote(&mut self) {
        self.remote.clear();
        self.remote_begun = 0;
    }

    /// Returns the sums of all accounts over the fleet.
    pub fn fleet_sums(&mut self, now: Mono) -> HashMap<ShortId, TokenSums> {
        let mut totals = self.remote.clone();
        for (account, sums) in self.local_sums(now) {
            totals.entry(account).or_default().add(sums);
        }
        totals
    }

    /// Returns the ratio of the tokens of an account that requests `tokens` more to its fair share of
    /// what was sent to servers, which is less than the configured rate while servers are limited.
    pub fn granted_ratio(&mut self, account: ShortId, tokens: u64, now: Mono) -> f64 {
        let totals = self.fleet_sums(now);
        let asked: Vec<u64> = totals.values().map(|sums| sums.asked).collect();
        let granted: u64 = totals.values().map(|sums| sums.granted).sum();
        let used = totals.get(&account).map_or(0, |sums| sums.granted) + tokens;
        used as f64 / max_min_share(granted, asked).max(1) as f64
    }

    /// Whether a stream of `tokens` that its caller resumes ranks above new requests, where all accounts
    /// share `rate` tokens a second: as long as the account resumes no more than it began of late, or than
    /// its fair share. The share is that of a whole window, also after the start of this gateway:
    /// callers resume streams right after gateways were killed.
    pub fn may_resume(&mut self, account: ShortId, tokens: u64, rate: u64, now: Mono) -> bool {
        let totals = self.fleet_sums(now);
        let sums = totals.get(&account).copied().unwrap_or_default();
        let asked = totals.values().map(|sums| sums.asked).collect();
        let capacity = (rate as f64 * WINDOW.as_secs_f64()) as u64;
        let began = sums.granted.saturating_sub(sums.resumed);
        sums.resumed + tokens <= began.max(max_min_share(capacity, asked))
    }

    /// Returns the time that the sums cover, which is short after the start. With the tokens of a whole
    /// window, every account would be within its share at first, however much it requests. After a
    /// restart among others, whose sums cover a whole window, the fair share goes by those.
    fn covered_time(&self, now: Mono) -> Duration {
        let since = self
            .first_request
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        (since + SUMS_DELAY).min(WINDOW)
    }

    /// Returns the tokens that accounts requested at this gateway, each account counted at most with its
    /// fair share over the fleet, where all accounts share `rate` tokens a second.
    pub fn local_demand(&mut self, rate: u64, now: Mono) -> u64 {
        let totals = self.fleet_sums(now);
        let asked = totals.values().map(|sums| sums.asked).collect();
        let capacity = (rate as f64 * self.covered_time(now).as_secs_f64()) as u64;
        let begun = self.local_begun(now) + self.remote_begun;
        let fair_share = max_min_share(begun.max(capacity), asked);
        let counted = self.local_sums(now).into_iter().map(|(account, sums)| {
            let total = totals.get(&account).map_or(0, |sums| sums.asked).max(1);
            sums.asked as f64 * (fair_share.min(total) as f64 / total as f64)
        });
        counted.sum::<f64>() as u64
    }

    /// Whether the sums of this gateway cover a whole window.
    pub fn covers_window(&self, now: Mono) -> bool {
        self.covered_time(now) >= WINDOW
    }

    /// Returns the usage of an account over the fleet, and its shares where all accounts share `rate`
    /// tokens a second. If the sums of the other gateways are late, a position is drawn for the request.
    pub fn account_share(
        &mut self,
        account: ShortId,
        rate: u64,
        are_late: bool,
        now: Mono,
    ) -> AccountShare {
        let totals = self.fleet_sums(now);
        let demands: Vec<u64> = totals.values().map(|sums| sums.asked).collect();
        let TokenSums { asked, granted, .. } = totals.get(&account).copied().unwrap_or_default();
        let capacity = (rate as f64 * self.covered_time(now).as_secs_f64()) as u64;
        // What was sent may be more than servers process: it would raise the share while they fall
        // behind.
        let begun = self.local_begun(now) + self.remote_begun;
        let position = are_late.then(|| {
            let fraction = self.local(account, now).next_position();
            (asked as f64 * fraction) as u64
        });
        AccountShare {
            asked,
            granted,
            position,
            begun,
            capacity,
            quota: max_min_share(capacity, demands.clone()),
            fair_share: max_min_share(begun.max(capacity), demands),
        }
    }
}

/// Tokens of an account over the fleet and the last [`WINDOW`], and what it may use of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountShare {
    /// Tokens of all its requests.
    pub asked: u64,
    /// Tokens of its requests that were sent to servers.
    pub granted: u64,
    /// Position of the request in `asked`; none if the sums are current.
    pub position: Option<u64>,
    /// Tokens of all accounts that servers began to answer.
    pub begun: u64,
    /// Tokens of the configured rate.
    pub capacity: u64,
    /// Share of the configured token rate; `u64::MAX` if the rate covers all demand.
    pub quota: u64,
    /// Fair share of what servers process; `u64::MAX` if that covers all demand.
    pub fair_share: u64,
}

impl AccountShare {
    /// Classifies the usage of the account if `tokens` more are sent for it.
    pub fn usage(&self, tokens: u64) -> ShareUsage {
        let fair_share = self.fair_share.max(1) as f64;
        let position = self.position.map_or(0.0, |position| position as f64);
        if position >= MAX_POSITION * fair_share {
            return ShareUsage::NotConsidered;
        }
        let used = self.granted + tokens;
        if used <= self.quota {
            ShareUsage::WithinQuota
        } else if used <= self.fair_share {
            ShareUsage::WithinFairShare
        } else {
            // The size of the request itself does not make an account exceed its share by more.
            let excess = self.granted as f64 / fair_share - 1.0;
            ShareUsage::OverFairShare {
                excess: excess.max(0.0),
            }
        }
    }
}

/// Recent usage of an account, relative to its shares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareUsage {
    /// At or under its share of the configured token rate.
    WithinQuota,
    /// Over its quota, but not over its fair share of what servers process.
    WithinFairShare,
    /// Over its fair share of what servers process.
    OverFairShare {
        /// Usage over the fair share, as a fraction of the fair share.
        excess: f64,
    },
    /// The position of the request is beyond the part of the account's demand that is considered.
    NotConsidered,
}

/// Returns the largest amount that any one demand gets when `amount` is shared max-min fairly;
/// `u64::MAX` if `amount` covers all demands.
pub fn max_min_share(amount: u64, mut demands: Vec<u64>) -> u64 {
    demands.sort_unstable();
    let mut remaining = amount;
    let mut count = demands.len() as u64;
    for demand in demands {
        let equal_share = remaining / count;
        if demand > equal_share {
            return equal_share;
        }
        remaining -= demand;
        count -= 1;
    }
    u64::MAX
}
