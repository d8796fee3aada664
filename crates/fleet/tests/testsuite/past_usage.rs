//! Shares of accounts that all request more than there is, after one of them begins or servers are lost.
//!
//! Guards against a fault in which the sums over a window counted as a debt of an account that had used
//! spare capacity, which was refused for seconds once others wanted it, and as a credit of an account
//! that began, which was sent the share of a whole window at once. See `docs/incidents/past-usage.md`.

use std::collections::BTreeMap;

use primrose_fleet::place::Prompt;
use primrose_fleet::AttemptOutcome;
use primrose_fleet::Decision;
use primrose_fleet::Fleet;
use primrose_fleet::Placement;
use primrose_fleet::PlacementRequest;

use crate::build::exchange_digests;
use crate::build::fleet_with_servers;
use crate::build::ms;
use crate::build::placement_request;

/// Step of simulated time in milliseconds.
const STEP: u64 = 10;
/// Time between two exchanges of digests in milliseconds.
const EXCHANGE_INTERVAL: u64 = 200;
/// Tokens that a server reads in a millisecond, as gateways assume at first.
const TOKENS_PER_MS: u64 = 60;
/// Tokens that a server reads before it begins to answer a request.
const PROMPT_TOKENS: u64 = 6_000;
/// Time from the first event of an answer to its last in milliseconds.
const ANSWER_TIME: u64 = 100;
/// Start of the requests, and of the changes: by then, accounts that were there before share evenly.
const START: u64 = 1_000;
const CHANGE: u64 = 9_000;
/// Windows after the change in which shares are compared, in milliseconds.
const WINDOWS: [(u64, u64); 3] = [(9_000, 11_000), (10_000, 12_000), (11_000, 13_000)];
/// End of the simulation.
const END: u64 = 13_000;

/// An account with a steady demand.
#[derive(Clone, Copy)]
struct Account {
    name: &'static str,
    /// Time of its first request.
    from: u64,
    /// Requests in a second.
    rate: u64,
    /// Gateway that its callers reach; none for all, in turn.
    gateway: Option<usize>,
}

const fn account(name: &'static str, from: u64, rate: u64, gateway: Option<usize>) -> Account {
    Account {
        name,
        from,
        rate,
        gateway,
    }
}

struct Case {
    name: &'static str,
    gateways: usize,
    servers: u8,
    /// Servers that are lost at [`CHANGE`].
    lost: u8,
    /// Configured tokens in a second.
    token_rate: u64,
    accounts: &'static [Account],
}

/// An attempt at a server.
struct Running {
    gateway: usize,
    request: PlacementRequest,
    placement: Placement,
    begins: u64,
    has_begun: bool,
}

/// Simulates a case; returns the tokens that were sent, by account and time.
fn simulate(case: &Case) -> BTreeMap<(usize, u64), u64> {
    let mut gateways: Vec<Fleet> = (0..case.gateways)
        .map(|number| fleet_with_servers(number as u8 + 1, case.servers, Some(case.token_rate)))
        .collect();
    let mut free_at: BTreeMap<String, u64> = BTreeMap::new();
    let mut running: Vec<Running> = Vec::new();
    let mut sent = BTreeMap::new();
    for now in (0..END).step_by(STEP as usize) {
        if now == CHANGE {
            lose_servers(case, &mut gateways, &mut running);
        }
        advance(&mut gateways, &mut running, now);
        if now % EXCHANGE_INTERVAL == 0 {
            exchange_digests(&mut gateways, now);
        }
        for (index, account) in case.accounts.iter().enumerate() {
            for number in arrivals(account, now) {
                let gateway = account.gateway.unwrap_or(number as usize % case.gateways);
                let prompt = Prompt {
                    shared: index as u64 * 1_000_000 + number,
                    shared_tokens: 0,
                    own_tokens: PROMPT_TOKENS,
                    output_tokens: 50,
                };
                let request = placement_request(account.name, prompt, ms(now));
                let decision = gateways[gateway].decide(&request, ms(now));
                let Decision::Send(placement) = decision else {
                    continue;
                };
                *sent.entry((index, now)).or_default() += prompt.service();
                let free = free_at.entry(placement.server.clone()).or_default();
                let begins = (*free).max(now) + placement.load.reading / TOKENS_PER_MS;
                *free = begins;
                running.push(Running {
                    gateway,
                    request,
                    placement,
                    begins,
                    has_begun: false,
                });
            }
        }
    }
    sent
}

/// Returns the numbers of the requests of an account that arrive at a time.
fn arrivals(account: &Account, now: u64) -> std::ops::Range<u64> {
    let until = |time: u64| time.saturating_sub(account.from) * account.rate / 1_000;
    until(now)..until(now + STEP)
}

fn lose_servers(case: &Case, gateways: &mut [Fleet], running: &mut Vec<Running>) {
    for number in 1..=case.lost {
        let server = format!("s{number}");
        running.retain(|attempt| {
            let is_lost = attempt.placement.server == server;
            if is_lost {
                let gateway = &mut gateways[attempt.gateway];
                let outcome = AttemptOutcome::GivenUp;
                gateway.finish_attempt(&attempt.request, &attempt.placement, outcome, ms(CHANGE));
            }
            !is_lost
        });
        for gateway in &mut *gateways {
            gateway.remove_server(&server, ms(CHANGE));
        }
    }
}

/// Records the first events and the ends of answers.
fn advance(gateways: &mut [Fleet], running: &mut Vec<Running>, now: u64) {
    for attempt in &mut *running {
        if !attempt.has_begun && attempt.begins <= now {
            attempt.has_begun = true;
            let gateway = &mut gateways[attempt.gateway];
            gateway.record_events(&attempt.request, &mut attempt.placement, ms(now));
        }
    }
    running.retain(|attempt| {
        let has_ended = attempt.begins + ANSWER_TIME <= now;
        if has_ended {
            let gateway = &mut gateways[attempt.gateway];
            let outcome = AttemptOutcome::Good;
            gateway.finish_attempt(&attempt.request, &attempt.placement, outcome, ms(now));
        }
        !has_ended
    });
}

/// Checks that each account gets at least half of an equal share in each window, and at most twice one.
fn check(case: &Case) {
    let sent = simulate(case);
    for (from, until) in WINDOWS {
        let tokens = |index: usize| -> u64 {
            let times = sent.range((index, from)..(index, until));
            times.map(|(_, tokens)| tokens).sum()
        };
        let tokens: Vec<u64> = (0..case.accounts.len()).map(tokens).collect();
        let equal = tokens.iter().sum::<u64>() / tokens.len() as u64;
        for (account, tokens) in case.accounts.iter().zip(tokens) {
            assert!(
                (equal / 2..=equal * 2).contains(&tokens),
                "{}, {from} to {until} ms: {} was sent {tokens} tokens, an equal share is {equal}",
                case.name,
                account.name,
            );
        }
    }
}

/// An account that used spare capacity, alone or with others, until servers are lost and another begins.
const DEBTS: [Case; 3] = [
    Case {
        name: "one account at one gateway, then half of the servers are lost and one at all begins",
        gateways: 4,
        servers: 8,
        lost: 4,
        token_rate: 120_000,
        accounts: &[
            account("early", START, 200, Some(0)),
            account("late", CHANGE, 200, None),
        ],
    },
    Case {
        name: "one account at all gateways, then a quarter is lost and one at one gateway begins",
        gateways: 4,
        servers: 12,
        lost: 3,
        token_rate: 120_000,
        accounts: &[
            account("early", START, 250, None),
            account("late", CHANGE, 250, Some(1)),
        ],
    },
    Case {
        name: "one account, then another begins and no server is lost",
        gateways: 4,
        servers: 8,
        lost: 0,
        token_rate: 120_000,
        accounts: &[
            account("early", START, 200, Some(0)),
            account("late", CHANGE, 200, None),
        ],
    },
];

#[test]
fn an_account_that_used_spare_capacity_is_not_refused_for_it() {
    DEBTS.iter().for_each(check);
}

/// Accounts that share evenly until another one begins.
const CREDITS: [Case; 2] = [
    Case {
        name: "two accounts at all gateways, then a third begins at all",
        gateways: 4,
        servers: 8,
        lost: 0,
        token_rate: 240_000,
        accounts: &[
            account("first", START, 150, None),
            account("second", START, 150, None),
            account("late", CHANGE, 150, None),
        ],
    },
    Case {
        name: "three accounts, one of them at one gateway, then a fourth begins at all",
        gateways: 4,
        servers: 12,
        lost: 0,
        token_rate: 240_000,
        accounts: &[
            account("first", START, 200, None),
            account("second", START, 200, Some(0)),
            account("third", START, 200, None),
            account("late", CHANGE, 200, None),
        ],
    },
];

#[test]
fn an_account_that_begins_is_not_sent_the_share_of_a_window_at_once() {
    CREDITS.iter().for_each(check);
}
