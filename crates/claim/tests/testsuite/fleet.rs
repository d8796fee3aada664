//! Random interleavings of claims, faults, crashes and pauses of several routers with one key.

use std::time::Duration;

use primrose_claim::Answer;
use primrose_claim::ClaimAction;
use primrose_claim::ClaimRequest;
use primrose_claim::ClaimResult;
use primrose_claim::ClaimWriter;
use primrose_claim::Reply;
use primrose_core::id::RequestId;
use primrose_store::memory::Fault;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use crate::claim_request;
use crate::writer;
use crate::Harness;

const ROUTERS: usize = 3;
const SEQUENCES: u64 = 5_000;
const STEPS: usize = 60;
const SEED: u64 = 0x5eed_0002;

#[derive(Debug, Clone, Copy)]
struct Step {
    kind: u8,
    router: usize,
    choice: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            kind: u8::arbitrary(g) % 20,
            router: usize::arbitrary(g) % ROUTERS,
            choice: u8::arbitrary(g),
        }
    }
}

/// Stage of a request at its router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Claiming,
    Made,
    Sent,
    Ended,
}

struct Fleet {
    harness: Harness,
    writers: Vec<ClaimWriter>,
    /// Router and stage of each request; the index is the request's id.
    requests: Vec<(usize, Stage)>,
    /// Requests whose body reached a server, as recorded by the server.
    runs: Vec<RequestId>,
    /// Number of replies to each request.
    replies: Vec<u32>,
    violations: Vec<&'static str>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            harness: Harness::new(),
            writers: (0..ROUTERS).map(|_| writer()).collect(),
            requests: Vec::new(),
            runs: Vec::new(),
            replies: Vec::new(),
            violations: Vec::new(),
        }
    }

    fn record_replies(&mut self, replies: impl IntoIterator<Item = Reply>) {
        for reply in replies {
            let index = usize::try_from(reply.request).expect("the id fits");
            self.replies[index] += 1;
            if self.requests[index].1 != Stage::Claiming {
                continue;
            }
            let made = reply.result == ClaimResult::Made;
            self.requests[index].1 = if made { Stage::Made } else { Stage::Ended };
            if matches!(reply.result, ClaimResult::Done { .. }) && self.runs.is_empty() {
                self.violations.push("replied done, but nothing ran");
            }
        }
    }

    fn submit(&mut self, index: usize, action: ClaimAction) {
        let router = self.requests[index].0;
        let request = claim_request(index as RequestId, action);
        let reply = self.harness.submit(&mut self.writers[router], request);
        self.record_replies(reply);
    }

    fn find_request(&self, router: usize, stage: Stage) -> Option<usize> {
        let owner_and_stage = (router, stage);
        self.requests
            .iter()
            .position(|request| *request == owner_and_stage)
    }

    /// Advances one request of a router: releases its claim, sends it, or records its outcome.
    fn advance(&mut self, router: usize, choice: u8) {
        if let Some(index) = self.find_request(router, Stage::Made) {
            if choice % 3 == 0 {
                self.requests[index].1 = Stage::Ended;
                self.submit(index, ClaimAction::Release);
            } else {
                self.requests[index].1 = Stage::Sent;
                self.runs.push(index as RequestId);
            }
        } else if let Some(index) = self.find_request(router, Stage::Sent) {
            self.requests[index].1 = Stage::Ended;
            let answer = Answer::new("", b"");
            let done = ClaimAction::Done {
                status: 200,
                answer,
            };
            self.submit(
                index,
                if choice % 2 == 0 {
                    done
                } else {
                    ClaimAction::Unknown
                },
            );
        }
    }

    /// Restarts a router without state; its requests end.
    fn crash(&mut self, router: usize) {
        self.writers[router] = writer();
        for request in self.requests.iter_mut().filter(|r| r.0 == router) {
            request.1 = Stage::Ended;
        }
    }

    fn apply(&mut self, step: Step) {
        let router = step.router;
        match step.kind {
            0..=3 => {
                self.requests.push((router, Stage::Claiming));
                self.replies.push(0);
                self.submit(self.requests.len() - 1, ClaimAction::Claim);
            }
            4..=6 => self.advance(router, step.choice),
            7..=9 => {
                let fault = match step.choice % 5 {
                    0 => Fault::Refused,
                    1 => Fault::LostBefore,
                    2 => Fault::LostAfter,
                    n => Fault::Late(u64::from(n)),
                };
                self.harness
                    .store
                    .fault_in(u64::from(step.choice % 3) + 1, fault);
            }
            10 => self.harness.store.set_down(step.choice % 2 == 0),
            11 if step.choice < 64 => self.crash(router),
            12 => self
                .harness
                .clock
                .advance(Duration::from_secs(u64::from(step.choice) * 4)),
            _ => {
                self.harness.clock.advance(Duration::from_millis(20));
                let replies = self.writers[router].step(&self.harness.store, &*self.harness.clock);
                self.record_replies(replies);
            }
        }
    }

    /// Ends all faults and advances every request to its end.
    fn heal(&mut self) {
        self.harness.store.set_down(false);
        for round in 0..4 {
            for router in 0..ROUTERS {
                let replies = self.harness.drain(&mut self.writers[router]);
                self.record_replies(replies);
                while self.find_request(router, Stage::Made).is_some() {
                    self.advance(router, round);
                }
                while self.find_request(router, Stage::Sent).is_some() {
                    self.advance(router, round);
                }
            }
        }
    }
}

fn property(steps: Vec<Step>) -> TestResult {
    let mut fleet = Fleet::new();
    for step in steps {
        fleet.apply(step);
    }
    fleet.heal();
    if fleet.runs.len() > 1 {
        return TestResult::error(format!("ran {} times", fleet.runs.len()));
    }
    if !fleet.violations.is_empty() {
        return TestResult::error(format!("{:?}", fleet.violations));
    }
    let wrong_reply_count = |(index, count): (usize, &u32)| {
        let open = fleet.requests[index].1 == Stage::Claiming;
        *count > 1 || (open && *count == 0)
    };
    if fleet.replies.iter().enumerate().any(wrong_reply_count) {
        return TestResult::error("a claim was not answered exactly once".to_owned());
    }
    TestResult::passed()
}

#[test]
fn a_key_runs_at_most_once_in_any_interleaving() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(SEQUENCES)
        .max_tests(SEQUENCES)
        .quickcheck(property as fn(Vec<Step>) -> TestResult);
}

#[test]
fn random_sequences_reach_runs_contention_and_stored_answers() {
    /// Minimum count of runs, contended keys and stored answers.
    const MIN_COUNT: usize = 100;
    let mut gen = Gen::from_size_and_seed(STEPS, SEED);
    let (mut ran, mut contended, mut answered_done) = (0, 0, 0);
    for _ in 0..SEQUENCES {
        let mut fleet = Fleet::new();
        for step in Vec::<Step>::arbitrary(&mut gen) {
            fleet.apply(step);
        }
        fleet.heal();
        ran += fleet.runs.len();
        contended += usize::from(fleet.requests.len() > 2);
        let last: Vec<Reply> = fleet
            .harness
            .submit_and_drain(&mut writer(), final_claim(&fleet));
        answered_done += usize::from(matches!(last[0].result, ClaimResult::Done { .. }));
    }
    let counts = [ran, contended, answered_done];
    assert!(counts.iter().all(|count| *count >= MIN_COUNT), "{counts:?}");
}

fn final_claim(fleet: &Fleet) -> ClaimRequest {
    claim_request(fleet.requests.len() as RequestId, ClaimAction::Claim)
}
