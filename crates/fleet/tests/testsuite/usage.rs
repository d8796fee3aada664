//! Usage of accounts while capacity and demand change.
//!
//! Guards against a fault in which an account was refused altogether for what it had used while others left
//! room, and an account that began was sent the share of several seconds at once. See
//! `docs/incidents/past-usage.md`.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::demand::Demand;
use primrose_fleet::demand::ShareUsage;
use primrose_fleet::entry::ShortId;

/// Tokens of a request.
const TOKENS: u64 = 1_000;
/// Tokens a second that all accounts share.
const RATE: u64 = 1_000_000;
/// Account whose usage is checked.
const LARGE: ShortId = 0;
/// Accounts that request from the start, besides the large one.
const FIRST: std::ops::Range<ShortId> = 1..2;
/// Accounts that begin to request later.
const LATER: std::ops::Range<ShortId> = 2..10;

/// Requests of all accounts at one gateway, each with the same demand; what is over the fair share is refused.
struct Traffic {
    demand: Demand,
    now: Mono,
}

impl Traffic {
    fn new() -> Self {
        Self {
            demand: Demand::new(1),
            now: Duration::from_secs(100),
        }
    }

    /// Lets some accounts request all that there is, each, until a time has passed; returns the tokens that
    /// were sent for one of them.
    fn run(&mut self, accounts: &[ShortId], time: Duration, counted: ShortId) -> u64 {
        let end = self.now + time;
        let mut sent = 0;
        while self.now < end {
            for account in accounts {
                let is_sent = self.request(*account);
                sent += if is_sent && *account == counted {
                    TOKENS
                } else {
                    0
                };
            }
            self.now += Duration::from_micros(TOKENS * 1_000_000 / RATE);
        }
        sent
    }

    /// Requests one request; returns whether it was sent.
    fn request(&mut self, account: ShortId) -> bool {
        self.demand.record_request(account, TOKENS, self.now);
        let share = self.demand.account_share(account, RATE, false, self.now);
        let is_sent = !matches!(share.usage(TOKENS), ShareUsage::OverFairShare { .. });
        if is_sent {
            self.demand
                .record_sent(account, TOKENS, Some(share), self.now);
        }
        is_sent
    }
}

/// Accounts that begin while another one has used all there is: what is sent for both in the next seconds.
/// An account may get ahead of the others by the share of two seconds: then each of them still gets half of
/// what it got in six seconds.
struct Case {
    name: &'static str,
    time: Duration,
    /// Bounds of what is sent for an account, in fair shares of that time among all accounts.
    expected: std::ops::RangeInclusive<f64>,
}

const CASES: [Case; 3] = [
    Case {
        name: "half a second",
        time: Duration::from_millis(500),
        expected: 0.0..=5.0,
    },
    Case {
        name: "two seconds",
        time: Duration::from_secs(2),
        expected: 0.25..=2.0,
    },
    Case {
        name: "six seconds",
        time: Duration::from_secs(6),
        expected: 0.67..=1.34,
    },
];

#[test]
fn what_an_account_used_while_others_left_room_does_not_count_against_it() {
    for case in &CASES {
        for counted in [LARGE, LATER.start] {
            let mut traffic = Traffic::new();
            let first: Vec<ShortId> = std::iter::once(LARGE).chain(FIRST).collect();
            traffic.run(&first, Duration::from_secs(6), LARGE);
            let all: Vec<ShortId> = first.into_iter().chain(LATER).collect();
            let sent = traffic.run(&all, case.time, counted);
            let fair = RATE as f64 * case.time.as_secs_f64() / all.len() as f64;
            let shares = sent as f64 / fair;
            assert!(
                case.expected.contains(&shares),
                "{}, account {counted}: {shares} fair shares",
                case.name
            );
        }
    }
}
