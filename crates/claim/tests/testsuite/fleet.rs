//! Several routers, one key, and any interleaving of orders, faults, crashes and pauses.

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
    what: u8,
    router: usize,
    which: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            what: u8::arbitrary(g) % 20,
            router: usize::arbitrary(g) % ROUTERS,
            which: u8::arbitrary(g),
        }
    }
}

/// What a router does with a request that it holds the claim for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Asked,
    Made,
    Sent,
    Over,
}

struct Fleet {
    harness: Harness,
    writers: Vec<ClaimWriter>,
    /// Each request with its router; the place in the list is the request's id.
    requests: Vec<(usize, Stage)>,
    /// Requests whose body reached a server: the server's own record.
    runs: Vec<RequestId>,
    /// Replies to each request.
    replies: Vec<u32>,
    faults: Vec<&'static str>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            harness: Harness::new(),
            writers: (0..ROUTERS).map(|_| writer()).collect(),
            requests: Vec::new(),
            runs: Vec::new(),
            replies: Vec::new(),
            faults: Vec::new(),
        }
    }

    fn take(&mut self, replies: impl IntoIterator<Item = Reply>) {
        for reply in replies {
            let place = usize::try_from(reply.request).expect("the id fits");
            self.replies[place] += 1;
            if self.requests[place].1 != Stage::Asked {
                continue;
            }
            let made = reply.result == ClaimResult::Made;
            self.requests[place].1 = if made { Stage::Made } else { Stage::Over };
            if matches!(reply.result, ClaimResult::Done { .. }) && self.runs.is_empty() {
                self.faults.push("told done, but nothing ran");
            }
        }
    }

    fn submit(&mut self, place: usize, action: ClaimAction) {
        let router = self.requests[place].0;
        let request = claim_request(place as RequestId, action);
        let reply = self.harness.submit(&mut self.writers[router], request);
        self.take(reply);
    }

    fn find(&self, router: usize, stage: Stage) -> Option<usize> {
        let wanted = (router, stage);
        self.requests.iter().position(|request| *request == wanted)
    }

    /// Lets a router that holds a claim do the next thing.
    fn advance(&mut self, router: usize, which: u8) {
        if let Some(place) = self.find(router, Stage::Made) {
            if which % 3 == 0 {
                self.requests[place].1 = Stage::Over;
                self.submit(place, ClaimAction::Release);
            } else {
                self.requests[place].1 = Stage::Sent;
                self.runs.push(place as RequestId);
            }
        } else if let Some(place) = self.find(router, Stage::Sent) {
            self.requests[place].1 = Stage::Over;
            let answer = Answer::new("", b"");
            let done = ClaimAction::Done {
                status: 200,
                answer,
            };
            self.submit(
                place,
                if which % 2 == 0 {
                    done
                } else {
                    ClaimAction::Unknown
                },
            );
        }
    }

    /// The router starts again empty; its requests are forgotten.
    fn crash(&mut self, router: usize) {
        self.writers[router] = writer();
        for request in self.requests.iter_mut().filter(|r| r.0 == router) {
            request.1 = Stage::Over;
        }
    }

    fn step(&mut self, step: Step) {
        let router = step.router;
        match step.what {
            0..=3 => {
                self.requests.push((router, Stage::Asked));
                self.replies.push(0);
                self.submit(self.requests.len() - 1, ClaimAction::Claim);
            }
            4..=6 => self.advance(router, step.which),
            7..=9 => {
                let fault = match step.which % 5 {
                    0 => Fault::Refused,
                    1 => Fault::LostBefore,
                    2 => Fault::LostAfter,
                    n => Fault::Late(u64::from(n)),
                };
                self.harness
                    .store
                    .fault_in(u64::from(step.which % 3) + 1, fault);
            }
            10 => self.harness.store.set_down(step.which % 2 == 0),
            11 if step.which < 64 => self.crash(router),
            12 => self
                .harness
                .clock
                .advance(Duration::from_secs(u64::from(step.which) * 4)),
            _ => {
                self.harness.clock.advance(Duration::from_millis(20));
                let replies = self.writers[router].step(&self.harness.store, &*self.harness.clock);
                self.take(replies);
            }
        }
    }

    /// Ends all faults and lets everything come to rest.
    fn rest(&mut self) {
        self.harness.store.set_down(false);
        for round in 0..4 {
            for router in 0..ROUTERS {
                let replies = self.harness.settle(&mut self.writers[router]);
                self.take(replies);
                while self.find(router, Stage::Made).is_some() {
                    self.advance(router, round);
                }
                while self.find(router, Stage::Sent).is_some() {
                    self.advance(router, round);
                }
            }
        }
    }
}

fn property(steps: Vec<Step>) -> TestResult {
    let mut fleet = Fleet::new();
    for step in steps {
        fleet.step(step);
    }
    fleet.rest();
    if fleet.runs.len() > 1 {
        return TestResult::error(format!("ran {} times", fleet.runs.len()));
    }
    if !fleet.faults.is_empty() {
        return TestResult::error(format!("{:?}", fleet.faults));
    }
    let unanswered = |(place, count): (usize, &u32)| {
        let open = fleet.requests[place].1 == Stage::Asked;
        *count > 1 || (open && *count == 0)
    };
    if fleet.replies.iter().enumerate().any(unanswered) {
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
fn the_sequences_run_release_and_run_anew() {
    /// Least number of sequences that must reach each path.
    const ENOUGH: usize = 100;
    let mut gen = Gen::from_size_and_seed(STEPS, SEED);
    let (mut ran, mut contended, mut answered_done) = (0, 0, 0);
    for _ in 0..SEQUENCES {
        let mut fleet = Fleet::new();
        for step in Vec::<Step>::arbitrary(&mut gen) {
            fleet.step(step);
        }
        fleet.rest();
        ran += fleet.runs.len();
        contended += usize::from(fleet.requests.len() > 2);
        let last: Vec<Reply> = fleet.harness.ask(&mut writer(), last_order(&fleet));
        answered_done += usize::from(matches!(last[0].result, ClaimResult::Done { .. }));
    }
    let counts = [ran, contended, answered_done];
    assert!(counts.iter().all(|count| *count >= ENOUGH), "{counts:?}");
}

fn last_order(fleet: &Fleet) -> ClaimRequest {
    claim_request(fleet.requests.len() as RequestId, ClaimAction::Claim)
}
