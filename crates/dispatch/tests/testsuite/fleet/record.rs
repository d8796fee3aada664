//! What happened in the small fleet, as callers and servers saw it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::AccountId;
use primrose_core::id::Member;
use primrose_core::id::RequestId;
use primrose_core::outcome::ErrorCode;

use super::Fleet;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    Waits,
    Runs,
    Done,
    Refused(ErrorCode),
    /// Its router was lost.
    Lost,
}

#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) account: AccountId,
    pub(crate) router: Member,
    pub(crate) cost: f64,
    pub(crate) called: Mono,
    pub(crate) waited: Option<Duration>,
    pub(crate) fate: Fate,
}

/// Range over which the difference of two accounts' service moved while both were backlogged.
#[derive(Debug, Clone, Copy)]
struct Spread {
    low: f64,
    high: f64,
}

#[derive(Debug, Default)]
pub(crate) struct Record {
    pub(crate) requests: BTreeMap<RequestId, Request>,
    waiting: BTreeMap<AccountId, usize>,
    pub(crate) served: BTreeMap<AccountId, f64>,
    spreads: BTreeMap<(AccountId, AccountId), Spread>,
    /// Largest movement of any two accounts' difference in an interval with both backlogged.
    pub(crate) gap: f64,
    /// Most slots that any two accounts had together.
    pub(crate) pair_slots: u32,
    /// Longest time that a slot was free while work waited.
    pub(crate) longest_idle: Duration,
    pub(crate) longest_wait: Duration,
    pub(crate) sent: u64,
    /// Slot-steps with work waiting, and those of them in which the slot was busy.
    pub(crate) wanted: u64,
    pub(crate) busy: u64,
}

impl Record {
    pub(crate) fn called(
        &mut self,
        request: RequestId,
        account: &str,
        router: Member,
        cost: f64,
        now: Mono,
    ) {
        let new = Request {
            account: account.to_owned(),
            router,
            cost,
            called: now,
            waited: None,
            fate: Fate::Waits,
        };
        self.requests.insert(request, new);
        *self.waiting.entry(account.to_owned()).or_default() += 1;
    }

    /// A request starts at a server; it must have been waiting.
    pub(crate) fn started(&mut self, request: RequestId, now: Mono) -> (AccountId, f64) {
        let wait = now.saturating_sub(self.requests[&request].called);
        self.longest_wait = self.longest_wait.max(wait);
        self.requests.get_mut(&request).unwrap().waited = Some(wait);
        let entry = self.leave(request, Fate::Runs);
        (entry.account, entry.cost)
    }

    pub(crate) fn ended(&mut self, request: RequestId) {
        let entry = self.requests.get_mut(&request).unwrap();
        if entry.fate != Fate::Lost {
            assert_eq!(entry.fate, Fate::Runs, "a request ended twice");
            entry.fate = Fate::Done;
        }
    }

    pub(crate) fn refused(&mut self, request: RequestId, code: ErrorCode) {
        self.leave(request, Fate::Refused(code));
    }

    /// Everything that a lost router had is lost.
    pub(crate) fn router_lost(&mut self, router: &Member) {
        for entry in self.requests.values_mut() {
            if entry.router != *router {
                continue;
            }
            if entry.fate == Fate::Waits {
                *self.waiting.get_mut(&entry.account).unwrap() -= 1;
            }
            if matches!(entry.fate, Fate::Waits | Fate::Runs) {
                entry.fate = Fate::Lost;
            }
        }
    }

    pub(crate) fn serve(&mut self, account: &str, units: f64) {
        *self.served.entry(account.to_owned()).or_default() += units;
    }

    pub(crate) fn slot_idle(&mut self, time: Duration) {
        self.longest_idle = self.longest_idle.max(time);
    }

    pub(crate) fn waits(&self) -> usize {
        self.waiting.values().sum()
    }

    pub(crate) fn longest_wait_of(&self, account: &str) -> Duration {
        let waits = self.requests.values().filter(|r| r.account == account);
        waits.filter_map(|r| r.waited).max().unwrap_or_default()
    }

    pub(crate) fn count(&self, fate: Fate) -> usize {
        self.requests.values().filter(|r| r.fate == fate).count()
    }

    fn leave(&mut self, request: RequestId, fate: Fate) -> Request {
        let entry = self.requests.get_mut(&request).unwrap();
        assert_eq!(entry.fate, Fate::Waits, "a request left its wait twice");
        entry.fate = fate;
        *self.waiting.get_mut(&entry.account).unwrap() -= 1;
        entry.clone()
    }

    /// Notes how far the difference of each two backlogged accounts has moved.
    fn note_gaps(&mut self) {
        let backlogged: BTreeSet<_> = self.waiting.iter().filter(|(_, n)| **n > 0).collect();
        let backlogged: Vec<_> = backlogged.into_iter().map(|(a, _)| a.clone()).collect();
        let both = |a: &AccountId| backlogged.contains(a);
        self.spreads.retain(|(a, b), _| both(a) && both(b));
        for (position, a) in backlogged.iter().enumerate() {
            for b in &backlogged[position + 1..] {
                let of = |x: &AccountId| self.served.get(x).copied().unwrap_or(0.0);
                let difference = of(a) - of(b);
                let new = Spread {
                    low: difference,
                    high: difference,
                };
                let spread = self.spreads.entry((a.clone(), b.clone())).or_insert(new);
                spread.low = spread.low.min(difference);
                spread.high = spread.high.max(difference);
                self.gap = self.gap.max(spread.high - spread.low);
            }
        }
    }
}

impl Fleet {
    /// Forgets what was measured so far; what waits, runs and was served stays.
    pub(crate) fn measure_anew(&mut self) {
        self.record.spreads.clear();
        self.record.gap = 0.0;
        self.record.pair_slots = 0;
        self.record.longest_idle = Duration::ZERO;
        self.record.longest_wait = Duration::ZERO;
        self.record.wanted = 0;
        self.record.busy = 0;
        for backend in self.backends.values_mut() {
            backend.most = backend.jobs.len();
        }
    }

    pub(super) fn observe(&mut self) {
        self.record.note_gaps();
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for job in self.backends.values().flat_map(|b| b.jobs.values()) {
            *slots.entry(&job.account).or_default() += 1;
        }
        let mut counts: Vec<_> = slots.into_values().collect();
        counts.sort_unstable();
        let pair = counts.iter().rev().take(2).sum();
        self.record.pair_slots = self.record.pair_slots.max(pair);
        if self.record.waits() == 0 {
            for backend in self.backends.values_mut() {
                for since in &mut backend.free {
                    *since = self.now;
                }
            }
            return;
        }
        for backend in self.backends.values() {
            let busy = backend.jobs.len().min(backend.slots as usize);
            self.record.wanted += u64::from(backend.slots);
            self.record.busy += busy as u64;
            for since in &backend.free {
                let idle = self.now.saturating_sub(*since);
                self.record.longest_idle = self.record.longest_idle.max(idle);
            }
        }
    }
}
