//! Record of the simulated requests and slots, as seen by callers and servers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::AccountId;
use primrose_core::id::Member;
use primrose_core::id::RequestId;
use primrose_core::outcome::ErrorCode;

use super::SimFleet;

/// State of a simulated request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestState {
    Waiting,
    Running,
    Done,
    Refused(ErrorCode),
    /// The request's router was lost.
    Lost,
}

#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) account: AccountId,
    pub(crate) router: Member,
    pub(crate) cost: f64,
    pub(crate) arrived: Mono,
    pub(crate) waited: Option<Duration>,
    pub(crate) state: RequestState,
}

/// Range of the difference of two accounts' service while both were backlogged.
#[derive(Debug, Clone, Copy)]
struct DifferenceRange {
    low: f64,
    high: f64,
}

#[derive(Debug, Default)]
pub(crate) struct Record {
    pub(crate) requests: BTreeMap<RequestId, Request>,
    waiting: BTreeMap<AccountId, usize>,
    pub(crate) served: BTreeMap<AccountId, f64>,
    differences: BTreeMap<(AccountId, AccountId), DifferenceRange>,
    /// Maximum change of the difference of any two accounts' service while both were backlogged.
    pub(crate) gap: f64,
    /// Maximum number of slots that any two accounts held together.
    pub(crate) max_pair_slots: u32,
    /// Maximum time that a slot was free while requests waited.
    pub(crate) max_idle: Duration,
    pub(crate) max_wait: Duration,
    pub(crate) messages_sent: u64,
    /// Slot-steps in which requests waited, and those of them in which the slot was busy.
    pub(crate) demanded_slot_steps: u64,
    pub(crate) busy_slot_steps: u64,
}

impl Record {
    pub(crate) fn arrived(
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
            arrived: now,
            waited: None,
            state: RequestState::Waiting,
        };
        self.requests.insert(request, new);
        *self.waiting.entry(account.to_owned()).or_default() += 1;
    }

    /// Records the start of a waiting request at a server.
    pub(crate) fn started(&mut self, request: RequestId, now: Mono) -> (AccountId, f64) {
        let wait = now.saturating_sub(self.requests[&request].arrived);
        self.max_wait = self.max_wait.max(wait);
        self.requests.get_mut(&request).unwrap().waited = Some(wait);
        let entry = self.stop_waiting(request, RequestState::Running);
        (entry.account, entry.cost)
    }

    pub(crate) fn ended(&mut self, request: RequestId) {
        let entry = self.requests.get_mut(&request).unwrap();
        if entry.state != RequestState::Lost {
            assert_eq!(entry.state, RequestState::Running, "a request ended twice");
            entry.state = RequestState::Done;
        }
    }

    pub(crate) fn refused(&mut self, request: RequestId, code: ErrorCode) {
        self.stop_waiting(request, RequestState::Refused(code));
    }

    /// Records all requests of a lost router as lost.
    pub(crate) fn router_lost(&mut self, router: &Member) {
        for entry in self.requests.values_mut() {
            if entry.router != *router {
                continue;
            }
            if entry.state == RequestState::Waiting {
                *self.waiting.get_mut(&entry.account).unwrap() -= 1;
            }
            if matches!(entry.state, RequestState::Waiting | RequestState::Running) {
                entry.state = RequestState::Lost;
            }
        }
    }

    pub(crate) fn serve(&mut self, account: &str, units: f64) {
        *self.served.entry(account.to_owned()).or_default() += units;
    }

    pub(crate) fn record_idle(&mut self, time: Duration) {
        self.max_idle = self.max_idle.max(time);
    }

    pub(crate) fn waiting_count(&self) -> usize {
        self.waiting.values().sum()
    }

    pub(crate) fn max_wait_of(&self, account: &str) -> Duration {
        let waits = self.requests.values().filter(|r| r.account == account);
        waits.filter_map(|r| r.waited).max().unwrap_or_default()
    }

    pub(crate) fn count(&self, state: RequestState) -> usize {
        self.requests.values().filter(|r| r.state == state).count()
    }

    fn stop_waiting(&mut self, request: RequestId, state: RequestState) -> Request {
        let entry = self.requests.get_mut(&request).unwrap();
        assert_eq!(
            entry.state,
            RequestState::Waiting,
            "a request stopped waiting twice"
        );
        entry.state = state;
        *self.waiting.get_mut(&entry.account).unwrap() -= 1;
        entry.clone()
    }

    /// Updates the range of the service difference of each pair of backlogged accounts.
    fn record_gaps(&mut self) {
        let backlogged: BTreeSet<_> = self.waiting.iter().filter(|(_, n)| **n > 0).collect();
        let backlogged: Vec<_> = backlogged.into_iter().map(|(a, _)| a.clone()).collect();
        let both = |a: &AccountId| backlogged.contains(a);
        self.differences.retain(|(a, b), _| both(a) && both(b));
        for (position, a) in backlogged.iter().enumerate() {
            for b in &backlogged[position + 1..] {
                let of = |x: &AccountId| self.served.get(x).copied().unwrap_or(0.0);
                let difference = of(a) - of(b);
                let new = DifferenceRange {
                    low: difference,
                    high: difference,
                };
                let range = self
                    .differences
                    .entry((a.clone(), b.clone()))
                    .or_insert(new);
                range.low = range.low.min(difference);
                range.high = range.high.max(difference);
                self.gap = self.gap.max(range.high - range.low);
            }
        }
    }
}

impl SimFleet {
    /// Resets the measurements, but not the requests and the service received so far.
    pub(crate) fn reset_measurements(&mut self) {
        self.record.differences.clear();
        self.record.gap = 0.0;
        self.record.max_pair_slots = 0;
        self.record.max_idle = Duration::ZERO;
        self.record.max_wait = Duration::ZERO;
        self.record.demanded_slot_steps = 0;
        self.record.busy_slot_steps = 0;
        for backend in self.backends.values_mut() {
            backend.max_jobs = backend.jobs.len();
        }
    }

    pub(super) fn record_step(&mut self) {
        self.record.record_gaps();
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for job in self.backends.values().flat_map(|b| b.jobs.values()) {
            *slots.entry(&job.account).or_default() += 1;
        }
        let mut counts: Vec<_> = slots.into_values().collect();
        counts.sort_unstable();
        let pair = counts.iter().rev().take(2).sum();
        self.record.max_pair_slots = self.record.max_pair_slots.max(pair);
        if self.record.waiting_count() == 0 {
            for backend in self.backends.values_mut() {
                for since in &mut backend.free_since {
                    *since = self.now;
                }
            }
            return;
        }
        for backend in self.backends.values() {
            let busy = backend.jobs.len().min(backend.slots as usize);
            self.record.demanded_slot_steps += u64::from(backend.slots);
            self.record.busy_slot_steps += busy as u64;
            for since in &backend.free_since {
                let idle = self.now.saturating_sub(*since);
                self.record.max_idle = self.record.max_idle.max(idle);
            }
        }
    }
}
