//! Random interleavings of events, including late, duplicate and reordered ones.

use std::time::Duration;

use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;
use primrose_request::ClaimReply;
use primrose_request::ConnEvent;
use primrose_request::Event;
use primrose_request::FailureStage;
use primrose_request::RetryDecision;
use primrose_request::Seq;
use primrose_request::Spec;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use crate::buffered;
use crate::draft;
use crate::harness::Harness;
use crate::keyless;
use crate::order;
use crate::streamed_order;

/// Number of sequences that each property is checked with.
const SEQUENCES: u64 = 20_000;
/// Maximum length of a sequence, in steps.
const STEPS: usize = 40;
/// Seed of the random generator.
const SEED: u64 = 0x5eed_0005;

/// Step of a sequence: the kind of event, and which attempt, connection or variant it concerns.
#[derive(Debug, Clone, Copy)]
struct Step {
    kind: u8,
    which: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            kind: u8::arbitrary(g) % 96,
            which: u8::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let kind = self.kind;
        Box::new(self.which.shrink().map(move |which| Self { kind, which }))
    }
}

/// Picks the latest entry of a list for three of four values of `which`, else an older one.
fn pick<T: Copy>(list: &[T], which: u8) -> Option<T> {
    let back = if which % 4 == 0 {
        usize::from(which / 4)
    } else {
        0
    };
    let last = list.len().checked_sub(1)?;
    list.get(last - back % list.len()).copied()
}

/// Advances the request by the next event of a run without faults.
fn advance(harness: &mut Harness, which: u8) {
    if let Some(attempt) = harness.waiting() {
        harness.grant(attempt, ["s1", "s2", "s3"][usize::from(which) % 3]);
        return;
    }
    let Some(conn) = harness.conns.last().copied() else {
        harness.feed(Event::Claim(ClaimReply::Made));
        return;
    };
    let attempt = harness
        .attempts
        .get(&conn.attempt)
        .cloned()
        .unwrap_or_default();
    let event = if !attempt.sent {
        ConnEvent::Connected
    } else if !attempt.response_started {
        ConnEvent::Head { status: 200 }
    } else if conn.number > 1 && which % 4 == 0 {
        ConnEvent::Resumed
    } else if which % 8 == 1 {
        ConnEvent::BodyEnd
    } else {
        ConnEvent::Item {
            seq: attempt.items + 1,
        }
    };
    harness.feed(Event::Conn { conn, event });
    harness.feed(Event::Retry(RetryDecision::Allowed {
        delay: Duration::ZERO,
        suspect: false,
    }));
}

fn step(harness: &mut Harness, step: Step) {
    let which = step.which;
    let event = match step.kind {
        // Two steps in three belong to a run without faults.
        32.. => return advance(harness, which),
        0..=2 => Event::Claim(match which % 12 {
            0 => ClaimReply::Done,
            1 => ClaimReply::Busy,
            2 => ClaimReply::Unknown,
            3 => ClaimReply::Conflict,
            4 => ClaimReply::NotRun,
            5 => ClaimReply::Unavailable {
                retry_after: Duration::from_secs(1),
            },
            _ => ClaimReply::Made,
        }),
        3..=7 => {
            if let Some(attempt) = pick(&harness.queued.clone(), which) {
                harness.grant(attempt, ["s1", "s2", "s3"][usize::from(which) % 3]);
            }
            return;
        }
        8..=24 => return conn_step(harness, step),
        25 => match pick(&harness.queued.clone(), which) {
            Some(attempt) => Event::QueueRefused {
                attempt,
                code: ErrorCode::QueueFull,
                retry_after: None,
            },
            None => return,
        },
        26..=27 => Event::Retry(match which % 4 {
            0 => RetryDecision::Denied,
            1 => RetryDecision::Poisoned {
                retry_after: Duration::from_secs(60),
            },
            _ => RetryDecision::Allowed {
                delay: Duration::ZERO,
                suspect: which > 100,
            },
        }),
        28 if which < 128 => Event::CallerDisconnected,
        29 if which < 128 => Event::Deadline,
        30 if which < 128 => Event::RunLimit,
        31 if which < 64 => Event::Shutdown,
        _ => Event::Start,
    };
    harness.feed(event);
}

/// Feeds an event that can occur on the chosen connection in its present state.
fn conn_step(harness: &mut Harness, step: Step) {
    let Some(conn) = pick(&harness.conns.clone(), step.which) else {
        return;
    };
    let attempt = harness
        .attempts
        .get(&conn.attempt)
        .cloned()
        .unwrap_or_default();
    let next = attempt.items + 1;
    let event = match step.kind {
        8..=11 => ConnEvent::Connected,
        12..=13 if attempt.may_have_run() => ConnEvent::Head { status: 200 },
        14..=17 if attempt.response_started => ConnEvent::Item { seq: next },
        18 if attempt.response_started => ConnEvent::Item {
            seq: Seq::from(step.which % 6) + 1,
        },
        19 if attempt.response_started => ConnEvent::BodyEnd,
        20 if attempt.response_started => ConnEvent::Resumed,
        21 => ConnEvent::Failed(FailureStage::AfterSend),
        22 if !attempt.response_started && step.which % 2 == 0 => {
            ConnEvent::Failed(FailureStage::RefusedNotRun)
        }
        22 if !attempt.response_started => ConnEvent::Failed(FailureStage::BeforeSend),
        23 if step.which % 2 == 0 => ConnEvent::ResumeRefused,
        23 => ConnEvent::ServerLost,
        24 => ConnEvent::HoldLimit,
        _ => return,
    };
    harness.feed(Event::Conn { conn, event });
}

/// Runs the steps and a shutdown, and fails if a rule was violated.
fn check_steps(spec: Spec, steps: &[Step]) -> TestResult {
    let harness = run_steps(spec, steps);
    if harness.violations.is_empty() {
        return TestResult::passed();
    }
    TestResult::error(format!("{:?}", harness.violations))
}

/// Runs the steps, then shuts the router down and checks the final state.
fn run_steps(spec: Spec, steps: &[Step]) -> Harness {
    let mut harness = Harness::new(spec);
    harness.feed(Event::Start);
    for item in steps {
        step(&mut harness, *item);
    }
    harness.feed(Event::Shutdown);
    harness.feed(Event::Claim(ClaimReply::Busy));
    harness.check_end();
    harness
}

fn check_property(property: fn(Vec<Step>) -> TestResult) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(SEQUENCES)
        .max_tests(SEQUENCES)
        .quickcheck(property);
}

#[test]
fn streamed_idempotent_request_keeps_the_rules() {
    check_property(|steps| check_steps(draft(), &steps));
}

#[test]
fn buffered_idempotent_request_keeps_the_rules() {
    check_property(|steps| check_steps(buffered(), &steps));
}

#[test]
fn order_with_a_key_keeps_the_rules() {
    check_property(|steps| check_steps(order(), &steps));
}

#[test]
fn order_without_a_key_keeps_the_rules() {
    check_property(|steps| check_steps(keyless(), &steps));
}

#[test]
fn streamed_order_keeps_the_rules() {
    check_property(|steps| check_steps(streamed_order(), &steps));
}

/// Number of sequences that reached each outcome or path.
#[derive(Debug, Default)]
struct Reached {
    done: u32,
    not_run: u32,
    unknown: u32,
    second_runs: u32,
    resumed: u32,
    settled: u32,
    released: u32,
    delivered: u32,
}

impl Reached {
    fn add(&mut self, harness: &Harness) {
        let outcome = harness.results.first().map(|v| v.outcome);
        self.done += u32::from(outcome == Some(Outcome::Done));
        self.not_run += u32::from(outcome == Some(Outcome::NotRun));
        self.unknown += u32::from(outcome == Some(Outcome::Unknown));
        let runs = harness
            .attempts
            .values()
            .filter(|a| a.may_have_run())
            .count();
        self.second_runs += u32::from(runs > 1);
        self.resumed += u32::from(harness.conns.iter().any(|c| c.number > 1));
        self.settled += u32::from(!harness.settled.is_empty());
        self.released += u32::from(harness.released);
        self.delivered += u32::from(!harness.delivered.is_empty());
    }
}

#[test]
fn random_sequences_reach_every_path() {
    /// Minimum number of sequences that must reach each path for the properties to mean something.
    const MIN_SEQUENCES: u32 = 100;
    let mut gen = Gen::from_size_and_seed(STEPS, SEED);
    let mut reached = Reached::default();
    for _ in 0..SEQUENCES {
        for make in [draft, buffered, order, keyless, streamed_order] {
            reached.add(&run_steps(make(), &Vec::<Step>::arbitrary(&mut gen)));
        }
    }
    let Reached {
        done,
        not_run,
        unknown,
        second_runs,
        resumed,
        settled,
        released,
        delivered,
    } = reached;
    let counts = [
        done,
        not_run,
        unknown,
        second_runs,
        resumed,
        settled,
        released,
        delivered,
    ];
    assert!(counts.iter().all(|c| *c >= MIN_SEQUENCES), "{reached:?}");
    println!("{reached:?}");
}
