//! The callers of the small fleet: accounts that keep requests waiting at some routers.

use std::ops::Range;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_dispatch::requester;
use primrose_dispatch::requester::PendingRequest;
use rand::Rng;

use super::Fleet;
use super::POOL;
use super::STEP;

/// Time after which a caller gives up.
const DEADLINE: Duration = Duration::from_secs(600);

/// A client account and how it calls.
#[derive(Debug, Clone)]
pub(crate) struct Account {
    pub(crate) name: String,
    /// Routers that its requests reach.
    pub(crate) routers: Vec<usize>,
    /// Requests that it keeps waiting at each of them.
    pub(crate) depth: usize,
    /// Requests a second that it sends to each of them besides, at random times.
    pub(crate) rate: f64,
    /// True cost of a request, in units.
    pub(crate) cost: Range<f64>,
    /// Time in which it calls.
    pub(crate) active: Range<Mono>,
}

impl Account {
    pub(crate) fn new(name: &str, routers: &[usize], depth: usize, cost: Range<f64>) -> Self {
        Self {
            name: name.into(),
            routers: routers.to_vec(),
            depth,
            rate: 0.0,
            cost,
            active: Duration::ZERO..Duration::MAX,
        }
    }
}

impl Fleet {
    /// Keeps every account's requests waiting.
    pub(super) fn offer(&mut self) {
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
                missing.extend((waiting..account.depth).map(|_| account));
                if self.rng.random_bool(account.rate * STEP.as_secs_f64()) {
                    missing.push(account);
                }
            }
            for account in missing {
                self.call(index, account);
            }
        }
        self.accounts = accounts;
    }

    /// One caller sends one request to a router.
    pub(crate) fn call(&mut self, index: usize, account: &Account) {
        self.requests += 1;
        // Spread over the numbers, as random ids are, so that checksums mean something.
        let request = self.requests.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let cost = self.rng.random_range(account.cost.clone()).round();
        let hint = cost * self.rng.random_range(0.25..4.0);
        let router = self.routers[index].member.clone();
        let name = &account.name;
        self.record.called(request, name, router, cost, self.now);
        let work = PendingRequest {
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
        self.tell_requester(index, requester::Event::Enqueue(work));
    }
}
