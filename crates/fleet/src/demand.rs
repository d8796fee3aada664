//! Tokens that each client account requested and was granted, over the whole fleet.
//!
//! Each gateway counts its own requests and sends the sums in its digests. Shares are max-min fair: an
//! account that requests less than an equal share gets all of it, and the others get the same amount each.
//! Two rates are shared: the token rate that the operators configured, which gives each account its quota,
//! and the rate at which servers really begin to answer, which may be more and gives each account its fair
//! share. While servers are full, the configured rate is reduced by what they refuse. Tokens are counted as by [`Prompt::service`](crate::place::Prompt::service).
//!
//! Usage is counted in fair shares: the tokens of a request are divided by the fair share at the time when
//! it is sent, and the sum decays steadily. So what an account used while others left room does not count
//! as more when capacity falls or others begin to request, an account that begins gets ahead of the others
//! by no more than the time that the sum covers, and no burst leaves the sum all at once.
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

use crate::decay::DecayingSum;
use crate::entry::ShortId;
use crate::place::share_key;
use crate::window::Window;

/// Time over which sums are kept for resumed streams, for limits and for older builds.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Time constant of rates and usage. A shorter one would not cover the delay of the sums of other
/// gateways, which is about half a second in a large fleet.
const RATE_TIME: Duration = Duration::from_millis(1_000);
/// Time by which the sums of the others are late in a large fleet. The share of this time is given out
/// at once after the start.
const SUMS_DELAY: Duration = Duration::from_millis(500);
/// Most that usage counts, relative to the tokens that an account over its share is sent at present.
const MAX_USED_NOW: f64 = 1.4;
/// Unit of published rates of accounts, in tokens a second.
pub(crate) const RATE_UNIT: u64 = 64;
/// Published usage of an account that gets exactly its fair share.
pub const USAGE_UNIT: f64 = 1_000.0;
/// Lowest position that is not considered, relative to the fair share of the account. While sums are
/// late, gateways send at most so many times the share.
const MAX_POSITION: f64 = 2.0;
/// Difference of two successive positions, as a fraction of 2^32: the golden ratio spreads any number of
/// them evenly.
const POSITION_STEP: u32 = 0x9E37_79B9;

/// Tokens of one account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenSums {
    /// Tokens of all requests over the last [`WINDOW`].
    pub asked: u64,
    /// Tokens of requests that were sent to servers over the last [`WINDOW`].
    pub granted: u64,
    /// Those of `granted` that belong to streams which callers resumed.
    pub resumed: u64,
    /// Tokens of all requests a second.
    pub asked_rate: u64,
    /// Tokens of requests that are sent to servers a second.
    pub granted_rate: u64,
    /// Fair shares in use, times [`USAGE_UNIT`].
    pub used: u64,
}

impl TokenSums {
    /// Adds other sums.
    pub fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.granted += other.granted;
        self.resumed += other.resumed;
        self.asked_rate = self.asked_rate.saturating_add(other.asked_rate);
        self.granted_rate = self.granted_rate.saturating_add(other.granted_rate);
        self.used = self.used.saturating_add(other.used);
    }

    /// Subtracts sums that were added before.
    pub fn remove(&mut self, other: Self) {
        self.asked = self.asked.saturating_sub(other.asked);
        self.granted = self.granted.saturating_sub(other.granted);
        self.resumed = self.resumed.saturating_sub(other.resumed);
        self.asked_rate = self.asked_rate.saturating_sub(other.asked_rate);
        self.granted_rate = self.granted_rate.saturating_sub(other.granted_rate);
        self.used = self.used.saturating_sub(other.used);
    }
}

#[derive(Debug)]
struct Account {
    asked: Window,
    granted: Window,
    resumed: Window,
    asked_rate: DecayingSum,
    granted_rate: DecayingSum,
    /// Fair shares in use.
    used: DecayingSum,
    /// Position of the last request, as a fraction of 2^32.
    position: u32,
}

impl Account {
    fn new(position: u32) -> Self {
        Self {
            asked: Window::new(WINDOW),
            granted: Window::new(WINDOW),
            resumed: Window::new(WINDOW),
            asked_rate: DecayingSum::new(RATE_TIME),
            granted_rate: DecayingSum::new(RATE_TIME),
            used: DecayingSum::new(RATE_TIME),
            position,
        }
    }

    /// Returns the position of the next request in `[0, 1)`.
    fn next_position(&mut self) -> f64 {
        self.position = self.position.wrapping_add(POSITION_STEP);
        f64::from(self.position) / 2.0_f64.powi(32)
    }
}

/// Tokens of requests that servers began to answer.
#[derive(Debug)]
struct Begun {
    /// Over the last [`WINDOW`], for gateways of the build before rates.
    window: Window,
    rate: DecayingSum,
}

/// Tokens a second of the whole fleet, or of one gateway.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowRates {
    /// Of requests that servers begin to answer.
    pub begun: u64,
    /// Of requests of accounts within their quota that are refused since servers are full.
    pub missed: u64,
}

impl FlowRates {
    /// Adds other rates.
    pub fn add(&mut self, other: Self) {
        self.begun = self.begun.saturating_add(other.begun);
        self.missed = self.missed.saturating_add(other.missed);
    }

    /// Subtracts rates that were added before.
    pub fn remove(&mut self, other: Self) {
        self.begun = self.begun.saturating_sub(other.begun);
        self.missed = self.missed.saturating_sub(other.missed);
    }

    /// Returns the rate that accounts share where the operators configured `rate`: what is missed of that is
    /// not there. What was sent does not count, since it may be more than servers process and would raise the
    /// share while they fall behind.
    fn capacity(self, rate: u64) -> u64 {
        self.begun.max(rate.saturating_sub(self.missed))
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
    /// Requests of this gateway.
    begun: Option<Begun>,
    /// Tokens of this gateway's requests of accounts within their quota that were refused.
    missed: Option<DecayingSum>,
    /// Totals of the other gateways.
    remote_flow: FlowRates,
    /// Fair share at the last decision, in tokens a second, for digests without usage.
    fair_rate: u64,
    /// When this gateway began to count.
    counted_since: Option<Mono>,
    /// Whether others had counted before.
    joined_others: bool,
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
        if self.counted_since.is_none() {
            self.counted_since = Some(now);
            // After a restart among others, their sums hold what was before.
            self.joined_others = !self.remote.is_empty();
        }
        let account = self.local(account, now);
        account.asked.add(tokens, now);
        account.asked_rate.add(tokens as f64, now);
    }

    /// Records that a request of an account was sent to a server; `share` is that of the decision.
    pub fn record_sent(
        &mut self,
        account: ShortId,
        tokens: u64,
        share: Option<AccountShare>,
        now: Mono,
    ) {
        let account = self.local(account, now);
        account.granted.add(tokens, now);
        account.granted_rate.add(tokens as f64, now);
        if let Some(share) = share {
            account.used.add(share.shares_of(tokens), now);
        }
    }

    /// Records that a stream of an account was sent to a server which its caller resumed.
    pub fn record_resumed(
        &mut self,
        account: ShortId,
        tokens: u64,
        share: Option<AccountShare>,
        now: Mono,
    ) {
        self.record_sent(account, tokens, share, now);
        let account = self.local(account, now);
        account.resumed.add(tokens, now);
    }

    /// Records that a server began to answer a request.
    pub fn record_begun(&mut self, tokens: u64, now: Mono) {
        let begun = self.begun.get_or_insert_with(|| Begun {
            window: Window::new(WINDOW),
            rate: DecayingSum::new(RATE_TIME),
        });
        begun.window.add(tokens, now);
        begun.rate.add(tokens as f64, now);
    }

    /// Records that a request of an account within its quota was refused since servers are full.
    pub fn record_missed(&mut self, tokens: u64, now: Mono) {
        let missed = &mut self.missed;
        let missed = missed.get_or_insert_with(|| DecayingSum::new(RATE_TIME));
        missed.add(tokens as f64, now);
    }

    /// Returns the tokens of this gateway's requests that servers began to answer over the last
    /// [`WINDOW`].
    pub fn local_begun(&mut self, now: Mono) -> u64 {
        self.begun.as_mut().map_or(0, |begun| begun.window.sum(now))
    }

    /// Returns the present rates of this gateway.
    pub fn local_flow(&self, now: Mono) -> FlowRates {
        let begun = self.begun.as_ref();
        FlowRates {
            begun: begun.map_or(0, |begun| begun.rate.rate(now) as u64),
            missed: self.missed.map_or(0, |missed| missed.rate(now) as u64),
        }
    }

    /// Replaces the previous rates of another gateway by its current ones.
    pub fn merge_flow(&mut self, previous: FlowRates, current: FlowRates) {
        self.remote_flow.remove(previous);
        self.remote_flow.add(current);
    }

    /// Fills in the rates and the usage of an account from sums over the window, for a digest of a build
    /// that sends nothing else.
    pub fn estimate_present(&self, sums: &mut TokenSums) {
        sums.asked_rate = per_second(sums.asked);
        sums.granted_rate = per_second(sums.granted);
        if (1..u64::MAX).contains(&self.fair_rate) {
            let shares = per_second(sums.granted) as f64 / self.fair_rate as f64;
            sums.used = (shares * USAGE_UNIT).round() as u64;
        }
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
                    asked_rate: rounded(windows.asked_rate.rate(now)),
                    granted_rate: rounded(windows.granted_rate.rate(now)),
                    used: (windows.used.sum(now) * USAGE_UNIT).round() as u64,
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
        self.remote_flow = FlowRates::default();
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

    /// Returns the part of their weight in the steady state that decaying sums have reached. Without it,
    /// every account would be within its share at first, however much it requests.
    fn weight_reached(&self, now: Mono) -> f64 {
        if self.joined_others {
            return 1.0;
        }
        let since = self
            .counted_since
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let time = since + SUMS_DELAY;
        1.0 - (-time.as_secs_f64() / RATE_TIME.as_secs_f64()).exp()
    }

    /// Returns the tokens that accounts requested at this gateway, each account counted at most with its
    /// fair share over the fleet, where all accounts share `rate` tokens a second.
    pub fn local_demand(&mut self, rate: u64, now: Mono) -> u64 {
        let totals = self.fleet_sums(now);
        let asked = totals.values().map(|sums| sums.asked_rate).collect();
        let fair_rate = max_min_share(self.flow(now).capacity(rate), asked);
        let counted = self.local_sums(now).into_iter().map(|(account, sums)| {
            let total = totals.get(&account).map_or(0, |sums| sums.asked_rate);
            let total = total.max(1);
            sums.asked_rate as f64 * (fair_rate.min(total) as f64 / total as f64)
        });
        counted.sum::<f64>() as u64
    }

    /// Whether this gateway has counted for a whole window.
    pub fn covers_window(&self, now: Mono) -> bool {
        let since = self.counted_since;
        since.is_some_and(|at| now.saturating_sub(at) >= WINDOW)
    }

    /// Returns the present rates of the whole fleet.
    fn flow(&self, now: Mono) -> FlowRates {
        let mut flow = self.local_flow(now);
        flow.add(self.remote_flow);
        flow
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
        let weight = self.weight_reached(now);
        let steady = |rate: u64| (rate as f64 / weight) as u64;
        let flow = self.flow(now);
        let flow = FlowRates {
            begun: steady(flow.begun),
            missed: steady(flow.missed),
        };
        let capacity = flow.capacity(rate);
        // With any demand, the account may use its equal share, or what the others leave of theirs.
        let others = totals.iter().filter(|(other, _)| **other != account);
        let others = others.map(|(_, sums)| steady(sums.asked_rate));
        let demands: Vec<u64> = others.chain([u64::MAX]).collect();
        let quota_rate = max_min_share(capacity.min(rate), demands.clone());
        let fair_rate = max_min_share(capacity, demands);
        self.fair_rate = fair_rate;
        let sums = totals.get(&account).copied().unwrap_or_default();
        let asked_rate = steady(sums.asked_rate);
        let position = are_late.then(|| {
            let fraction = self.local(account, now).next_position();
            (asked_rate as f64 * fraction) as u64
        });
        AccountShare {
            asked: sums.asked,
            granted: sums.granted,
            asked_rate,
            used: shares_in_use(sums, weight, fair_rate),
            position,
            begun_rate: flow.begun,
            missed_rate: flow.missed,
            configured_rate: rate,
            quota_rate,
            fair_rate,
        }
    }
}

/// Returns the fair shares that an account uses, of the time when it used them. If its share has grown
/// since, the usage is bounded by what it is sent now: a share that was small, or known too low since servers
/// had not begun to answer, leaves no debt. `weight` is that of [`Demand::weight_reached`].
fn shares_in_use(sums: TokenSums, weight: f64, fair_rate: u64) -> f64 {
    let used_then = sums.used as f64 / USAGE_UNIT / weight;
    let fair_rate = fair_rate.max(1) as f64;
    let used_now = sums.granted_rate as f64 / weight / fair_rate;
    if sums.asked_rate as f64 / weight <= fair_rate {
        used_then.min(used_now)
    } else {
        used_then.min(MAX_USED_NOW * used_now)
    }
}

/// Usage of an account over the fleet, and what it may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountShare {
    /// Tokens of all its requests over the last [`WINDOW`].
    pub asked: u64,
    /// Tokens of its requests that were sent to servers over the last [`WINDOW`].
    pub granted: u64,
    /// Tokens of all its requests a second.
    pub asked_rate: u64,
    /// Fair shares in use, of the time when they were used or of now: one if it gets exactly its share.
    pub used: f64,
    /// Position of the request in `asked_rate`; none if the sums are current.
    pub position: Option<u64>,
    /// Tokens a second of all accounts that servers begin to answer.
    pub begun_rate: u64,
    /// Tokens a second that accounts within their quota miss since servers are full.
    pub missed_rate: u64,
    /// Configured token rate.
    pub configured_rate: u64,
    /// Share of the configured token rate, in tokens a second: what the account may request and get.
    pub quota_rate: u64,
    /// Fair share of what servers process, in tokens a second.
    pub fair_rate: u64,
}

impl AccountShare {
    /// Returns the fair shares that a request of `tokens` uses.
    fn shares_of(&self, tokens: u64) -> f64 {
        tokens as f64 / (self.fair_rate.max(1) as f64 * RATE_TIME.as_secs_f64())
    }

    /// Classifies the usage of the account if `tokens` more are sent for it.
    pub fn usage(&self, tokens: u64) -> ShareUsage {
        let fair_rate = self.fair_rate.max(1) as f64;
        let position = self.position.map_or(0.0, |position| position as f64);
        if position >= MAX_POSITION * fair_rate {
            return ShareUsage::NotConsidered;
        }
        let used = self.used + self.shares_of(tokens);
        if used <= self.quota_rate as f64 / fair_rate {
            ShareUsage::WithinQuota
        } else if used <= 1.0 {
            ShareUsage::WithinFairShare
        } else {
            // The size of the request itself does not make an account exceed its share by more.
            ShareUsage::OverFairShare {
                excess: (self.used - 1.0).max(0.0),
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

/// Rounds a rate as digests hold it.
fn rounded(rate: f64) -> u64 {
    (rate / RATE_UNIT as f64).round() as u64 * RATE_UNIT
}

/// Returns the mean amount a second of a sum over the last [`WINDOW`].
pub fn per_second(sum: u64) -> u64 {
    (sum as f64 / WINDOW.as_secs_f64()) as u64
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
