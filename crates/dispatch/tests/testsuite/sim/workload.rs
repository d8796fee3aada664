//! Simulated callers: accounts that keep requests waiting at some routers.

use std::ops::Range;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_dispatch::requester;
use primrose_dispatch::requester::PendingRequest;
use rand::Rng;

use super::SimFleet;
use super::POOL;
use super::STEP;

/// Deadline of a request, counted from its arrival.
const DEADLINE: Duration = Duration::from_secs(600);

/// Client account and its request pattern.
#[derive(Debug, Clone)]
pub(crate) struct Account {
    pub(crate) name: String,
    /// Routers to which the account sends requests.
    pub(crate) routers: Vec<usize>,
    /// Number of requests that it keeps waiting at each router.
    pub(crate) backlog: usize,
    /// Additional requests per second that it sends to each router at random times.
    pub(crate) rate: f64,
    /// Range of the actual cost of a request, in units.
    pub(crate) cost: Range<f64>,
    /// Period in which it sends requests.
    pub(crate) active: Range<Mono>,
}

impl Account {
    pub(crate) fn new(name: &str, routers: &[usize], backlog: usize, cost: Range<f64>) -> Self {
        Self {
            name: name.into(),
            routers: routers.to_vec(),
            backlog,
            rate: 0.0,
            cost,
            active: Duration::ZERO..Duration::MAX,
        }
    }
}

impl SimFleet {
    /// Sends the requests of all accounts that are due in this step.
    pub(super) fn generate_requests(&mut self) {
        let accounts = std::mem::take(&mut self.accounts);
        for index in 0..self.routers.len() {
            let mut missing = Vec::new();
            let queued = self.routers[index].requester.queued();
            for account in &accounts {
                if !account.active.contains(&self.now) || !account.routers.contains(&index) {
                    continue;
                }
                let mine = queued.iter().find(|q| q.account == account.name);
                let waiting = mine.map_or(0, |q| q.requests);
                missing.extend((waiting..account.backlog).map(|_| account));
                if self.rng.random_bool(account.rate * STEP.as_secs_f64()) {
                    missing.push(account);
                }
            }
            for account in missing {
                self.send_request(index, account);
            }
        }
        self.accounts = accounts;
    }

    /// Sends one request of an account to a router.
    pub(crate) fn send_request(&mut self, index: usize, account: &Account) {
        self.requests += 1;
        // Checksums assume random ids, so ids are spread over the whole range.
        let request = self.requests.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let cost = self.rng.random_range(account.cost.clone()).round();
        let hint = cost * self.rng.random_range(0.25..4.0);
        let router = self.routers[index].member.clone();
        let name = &account.name;
        self.record.arrived(request, name, router, cost, self.now);
        let pending = PendingRequest {
            request,
            number: 1,
            account: account.name.clone(),
            route: "draft".into(),
            pool: POOL.into(),
            cost: hint as u64,
            bytes: 100,
            suspect: false,
            prefixes: Vec::new(),
            deadline: self.now + DEADLINE,
        };
        self.deliver_to_requester(index, requester::Event::Enqueue(pending));
    }
}
