//! How many tokens each client account asked for and was granted, over the whole fleet.
//!
//! Each gateway counts its own requests over a window of a few seconds and tells the sums in its
//! digests. Shares are max-min: accounts that ask for less than an even part get all they ask, and
//! the others get the same amount each. There are two: of the token rate that the operators share
//! out, and of what servers really manage, which may be more. An account beyond the first is not
//! owed more; one beyond the second has had more than others who want it too.

use std::collections::HashMap;
use std::time::Duration;

use primrose_core::clock::Mono;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::ShortId;
use crate::window::Window;

/// Span over which shares are kept; the span in which callers notice being behind.
pub const SPAN: Duration = Duration::from_secs(4);

/// Tokens of one account over the last span.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums {
    /// Tokens asked for.
    pub asked: u64,
    /// Tokens of requests sent to servers.
    pub granted: u64,
}

impl Sums {
    fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.granted += other.granted;
    }

    fn remove(&mut self, other: Self) {
        self.asked = self.asked.saturating_sub(other.asked);
        self.granted = self.granted.saturating_sub(other.granted);
    }
}

#[derive(Debug)]
struct Account {
    asked: Window,
    granted: Window,
}

impl Account {
    fn new() -> Self {
        Self {
            asked: Window::new(SPAN),
            granted: Window::new(SPAN),
        }
    }
}

/// Demand of all accounts.
#[derive(Debug, Default)]
pub struct Demand {
    own: HashMap<ShortId, Account>,
    /// Sums that other gateways told, added up.
    others: HashMap<ShortId, Sums>,
}

impl Demand {
    /// Records a request.
    pub fn ask(&mut self, account: ShortId, tokens: u64, now: Mono) {
        let account = self.own.entry(account).or_insert_with(Account::new);
        account.asked.add(tokens, now);
    }

    /// Records that a request was sent to a server.
    pub fn grant(&mut self, account: ShortId, tokens: u64, now: Mono) {
        let account = self.own.entry(account).or_insert_with(Account::new);
        account.granted.add(tokens, now);
    }

    /// Sums of this gateway's accounts that asked for anything.
    pub fn own(&mut self, now: Mono) -> Vec<(ShortId, Sums)> {
        let mut sums = Vec::with_capacity(self.own.len());
        self.own.retain(|account, windows| {
            let asked = windows.asked.sum(now);
            let granted = windows.granted.sum(now);
            if asked > 0 || granted > 0 {
                sums.push((*account, Sums { asked, granted }));
            }
            asked > 0 || granted > 0
        });
        sums
    }

    /// Replaces what one gateway told before.
    pub fn merge(&mut self, before: &[(ShortId, Sums)], now: &[(ShortId, Sums)]) {
        for (account, sums) in before {
            if let Some(total) = self.others.get_mut(account) {
                total.remove(*sums);
            }
        }
        for (account, sums) in now {
            self.others.entry(*account).or_default().add(*sums);
        }
        self.others.retain(|_, sums| *sums != Sums::default());
    }

    /// Sums of all accounts over the fleet.
    pub fn totals(&mut self, now: Mono) -> HashMap<ShortId, Sums> {
        let mut totals = self.others.clone();
        for (account, sums) in self.own(now) {
            totals.entry(account).or_default().add(sums);
        }
        totals
    }

    /// Where an account stands that wants `more` tokens, given the rate that all share.
    pub fn standing(&mut self, account: ShortId, more: u64, rate: u64, now: Mono) -> Standing {
        let totals = self.totals(now);
        let asked: Vec<u64> = totals.values().map(|sums| sums.asked).collect();
        let had = totals.get(&account).map_or(0, |sums| sums.granted) + more;
        let owed = rate * SPAN.as_secs();
        if had <= max_min(owed, asked.clone()) {
            return Standing::Within;
        }
        let granted: u64 = totals.values().map(|sums| sums.granted).sum();
        let even = max_min(granted.max(owed), asked);
        if had <= even {
            Standing::Even
        } else {
            Standing::Beyond {
                excess: had as f64 / even.max(1) as f64 - 1.0,
            }
        }
    }
}

/// What an account has had, against the others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    /// Less than its share of the operators' rate.
    Within,
    /// More than that, but no more than its share of what servers manage.
    Even,
    /// More than others who want it too.
    Beyond {
        /// How much more, as part of an even share.
        excess: f64,
    },
}

/// Returns the most that one asker gets when an amount is shared max-min.
pub fn max_min(amount: u64, mut asked: Vec<u64>) -> u64 {
    asked.sort_unstable();
    let mut rest = amount;
    let mut count = asked.len() as u64;
    for one in asked {
        let even = rest / count;
        if one > even {
            return even;
        }
        rest -= one;
        count -= 1;
    }
    u64::MAX
}
