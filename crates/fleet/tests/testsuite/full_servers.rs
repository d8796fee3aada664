//! What accounts share while servers do not reach the configured token rate.
//!
//! Guards against a fault in which no account counted as over its share while most servers were limited: the
//! configured rate stayed the least that accounts shared, and who reached the most gateways was served. See
//! `docs/incidents/even-parts.md`.

use primrose_fleet::Decision;
use primrose_fleet::Fleet;

use crate::build::fleet_with_servers;
use crate::build::ms;
use crate::build::placement_request;
use crate::build::prompt;

/// Tokens a second that the operators configured.
const RATE: u64 = 4_000_000;
/// Accounts with the same demand.
const ACCOUNTS: [&str; 2] = ["one", "other"];
/// End of the requests in milliseconds.
const END: u64 = 6_000;

struct Case {
    name: &'static str,
    /// Milliseconds between two requests of an account.
    interval: u64,
    /// Whether the fair share is still an equal part of the configured rate at the end.
    is_configured: bool,
}

const CASES: [Case; 2] = [
    Case {
        name: "servers take all requests",
        interval: 2_000,
        is_configured: true,
    },
    Case {
        name: "servers that do not begin are full",
        interval: 5,
        is_configured: false,
    },
];

/// Sends requests of all accounts to servers that begin none; returns the last known fair share.
fn fair_rate(fleet: &mut Fleet, interval: u64) -> u64 {
    let mut fair_rate = 0;
    for (number, at) in (10..END).step_by(interval as usize).enumerate() {
        for account in ACCOUNTS {
            let now = ms(at);
            let request = placement_request(account, prompt(number as u64), now);
            let share = match fleet.decide(&request, now) {
                Decision::Send(placement) => placement.share,
                Decision::Refuse(refusal) => refusal.share,
            };
            fair_rate = share.map_or(fair_rate, |share| share.fair_rate);
        }
    }
    fair_rate
}

#[test]
fn a_configured_rate_that_full_servers_do_not_reach_is_not_shared() {
    for case in &CASES {
        let mut fleet = fleet_with_servers(1, 3, Some(RATE));
        let fair_rate = fair_rate(&mut fleet, case.interval);
        let equal_part = RATE / ACCOUNTS.len() as u64;
        assert_eq!(
            fair_rate >= equal_part,
            case.is_configured,
            "{}: {fair_rate} tokens a second",
            case.name
        );
    }
}
