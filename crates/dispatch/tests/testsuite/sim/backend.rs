//! Simulated backend servers, which run each slot at the same rate.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::AccountId;
use primrose_core::id::AttemptId;
use primrose_core::id::Member;
use primrose_dispatch::dispatcher::LoadReport;
use primrose_dispatch::message::Ending;
use primrose_dispatch::message::Finished;
use primrose_dispatch::requester;
use primrose_dispatch::requester::Run;

use super::SimEvent;
use super::SimFleet;
use super::REPORT_DELAY;
use super::REPORT_INTERVAL;

/// Units of service per second of one slot.
pub(crate) const SLOT_RATE: f64 = 100.0;

#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) account: AccountId,
    pub(crate) router: Member,
    pub(crate) cost: f64,
    pub(crate) used: f64,
}

/// Simulated backend server.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) zone: usize,
    pub(crate) slots: u32,
    pub(crate) jobs: BTreeMap<AttemptId, Job>,
    pub(crate) max_jobs: usize,
    /// For each free slot, when it became free or when requests last began to wait, whichever is
    /// later.
    pub(crate) free_since: VecDeque<Mono>,
}

impl Backend {
    pub(crate) fn new(zone: usize, slots: u32, now: Mono) -> Self {
        Self {
            zone,
            slots,
            jobs: BTreeMap::new(),
            max_jobs: 0,
            free_since: (0..slots).map(|_| now).collect(),
        }
    }
}

impl SimFleet {
    pub(super) fn start(&mut self, index: usize, run: Run) {
        let request = run.attempt.request;
        let (account, cost) = self.record.started(request, self.now);
        let job = Job {
            account,
            router: self.routers[index].member.clone(),
            cost,
            used: 0.0,
        };
        let backend = self.backends.get_mut(&run.server).unwrap();
        assert!(backend.jobs.insert(run.attempt, job).is_none());
        backend.max_jobs = backend.max_jobs.max(backend.jobs.len());
        if let Some(since) = backend.free_since.pop_front() {
            self.record.record_idle(self.now.saturating_sub(since));
        }
    }

    /// Advances every running job, and ends those that are complete.
    pub(super) fn serve(&mut self, time: Duration) {
        let part = SLOT_RATE * time.as_secs_f64();
        let mut events = Vec::new();
        for backend in self.backends.values_mut() {
            let mut completed = Vec::new();
            for (attempt, job) in &mut backend.jobs {
                let before = job.used;
                job.used = (job.used + part).min(job.cost);
                self.record.serve(&job.account, job.used - before);
                let used = job.used as u64;
                let attempt = *attempt;
                if job.used >= job.cost {
                    completed.push(attempt);
                    let finished = Finished {
                        attempt,
                        ending: Ending::Done,
                        used,
                        first: Some(100),
                        inter: Some(20_000),
                    };
                    events.push((job.router.clone(), requester::Event::Ended(finished)));
                } else {
                    let event = requester::Event::Progress { attempt, used };
                    events.push((job.router.clone(), event));
                }
            }
            for attempt in completed {
                backend.end(attempt, self.now);
                self.record.ended(attempt.request);
            }
        }
        for (router, event) in events {
            if let Some(index) = self.index_of(&router) {
                self.deliver_to_requester(index, event);
            }
        }
    }

    pub(super) fn report_load(&mut self) {
        if self.now < self.next_report {
            return;
        }
        self.next_report = self.now + REPORT_INTERVAL;
        let mut reports = Vec::new();
        for (server, backend) in &self.backends {
            let running = u32::try_from(backend.jobs.len()).unwrap();
            let server = server.clone();
            reports.push((backend.zone, LoadReport { server, running }));
        }
        for (zone, report) in reports {
            let holders = self.routers.iter().filter(|r| r.zone == zone);
            let holders: Vec<_> = holders.map(|r| r.member.clone()).collect();
            for holder in holders {
                self.schedule(REPORT_DELAY, holder, SimEvent::Load(report.clone()));
            }
        }
    }
}

impl Backend {
    pub(super) fn end(&mut self, attempt: AttemptId, now: Mono) {
        self.jobs.remove(&attempt);
        if self.jobs.len() < self.slots as usize {
            self.free_since.push_back(now);
        }
    }
}
