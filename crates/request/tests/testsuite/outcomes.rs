//! Random interleavings of events, with late, doubled and crossed ones among them.

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

use crate::draft;
use crate::keyless;
use crate::order;
use crate::streamed_order;
use crate::whole;
use crate::world::World;

/// Interleavings that each property tries.
const SEQUENCES: u64 = 20_000;
/// Largest length of a sequence, in steps.
const STEPS: usize = 40;
/// Seed of the generator.
const SEED: u64 = 0x5eed_0005;

/// A step: what to do, and which of several things to do it to.
#[derive(Debug, Clone, Copy)]
struct Step {
    what: u8,
    which: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            what: u8::arbitrary(g) % 96,
            which: u8::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let what = self.what;
        Box::new(self.which.shrink().map(move |which| Self { what, which }))
    }
}

/// Picks the latest of a list most of the time, and now and then an older one.
fn pick<T: Copy>(list: &[T], which: u8) -> Option<T> {
    let back = if which % 4 == 0 {
        usize::from(which / 4)
    } else {
        0
    };
    let last = list.len().checked_sub(1)?;
    list.get(last - back % list.len()).copied()
}

/// Lets the request come on in the way that a run without faults would.
fn advance(world: &mut World, which: u8) {
    if let Some(attempt) = world.waiting() {
        world.grant(attempt, ["s1", "s2", "s3"][usize::from(which) % 3]);
        return;
    }
    let Some(conn) = world.conns.last().copied() else {
        world.feed(Event::Claim(ClaimReply::Made));
        return;
    };
    let attempt = world
        .attempts
        .get(&conn.attempt)
        .cloned()
        .unwrap_or_default();
    let event = if !attempt.sent {
        ConnEvent::Connected
    } else if !attempt.answered {
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
    world.feed(Event::Conn { conn, event });
    world.feed(Event::Retry(RetryDecision::Allowed {
        delay: Duration::ZERO,
        suspect: false,
    }));
}

fn step(world: &mut World, step: Step) {
    let which = step.which;
    let event = match step.what {
        // Two steps in three are those of a run without faults.
        32.. => return advance(world, which),
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
            if let Some(attempt) = pick(&world.queued.clone(), which) {
                world.grant(attempt, ["s1", "s2", "s3"][usize::from(which) % 3]);
            }
            return;
        }
        8..=24 => return conn_step(world, step),
        25 => match pick(&world.queued.clone(), which) {
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
    world.feed(event);
}

/// Lets something happen on a connection that could truly happen there.
fn conn_step(world: &mut World, step: Step) {
    let Some(conn) = pick(&world.conns.clone(), step.which) else {
        return;
    };
    let attempt = world
        .attempts
        .get(&conn.attempt)
        .cloned()
        .unwrap_or_default();
    let next = attempt.items + 1;
    let event = match step.what {
        8..=11 => ConnEvent::Connected,
        12..=13 if attempt.may_have_run() => ConnEvent::Head { status: 200 },
        14..=17 if attempt.answered => ConnEvent::Item { seq: next },
        18 if attempt.answered => ConnEvent::Item {
            seq: Seq::from(step.which % 6) + 1,
        },
        19 if attempt.answered => ConnEvent::BodyEnd,
        20 if attempt.answered => ConnEvent::Resumed,
        21 => ConnEvent::Failed(FailureStage::AfterSend),
        22 if !attempt.answered && step.which % 2 == 0 => {
            ConnEvent::Failed(FailureStage::RefusedNotRun)
        }
        22 if !attempt.answered => ConnEvent::Failed(FailureStage::BeforeSend),
        23 if step.which % 2 == 0 => ConnEvent::ResumeRefused,
        23 => ConnEvent::ServerLost,
        24 => ConnEvent::HoldLimit,
        _ => return,
    };
    world.feed(Event::Conn { conn, event });
}

/// Runs the steps, ends the router, and judges the record.
fn judge(spec: Spec, steps: &[Step]) -> TestResult {
    let world = play(spec, steps);
    if world.faults.is_empty() {
        return TestResult::passed();
    }
    TestResult::error(format!("{:?}", world.faults))
}

fn play(spec: Spec, steps: &[Step]) -> World {
    let mut world = World::new(spec);
    world.feed(Event::Start);
    for item in steps {
        step(&mut world, *item);
    }
    world.feed(Event::Shutdown);
    world.feed(Event::Claim(ClaimReply::Busy));
    world.check_end();
    world
}

fn check(property: fn(Vec<Step>) -> TestResult) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(SEQUENCES)
        .max_tests(SEQUENCES)
        .quickcheck(property);
}

#[test]
fn a_streamed_idempotent_request_keeps_the_rules() {
    check(|steps| judge(draft(), &steps));
}

#[test]
fn a_whole_idempotent_answer_keeps_the_rules() {
    check(|steps| judge(whole(), &steps));
}

#[test]
fn an_order_with_a_key_keeps_the_rules() {
    check(|steps| judge(order(), &steps));
}

#[test]
fn an_order_without_a_key_keeps_the_rules() {
    check(|steps| judge(keyless(), &steps));
}

#[test]
fn a_streamed_order_keeps_the_rules() {
    check(|steps| judge(streamed_order(), &steps));
}

/// Paths that the random sequences must reach often enough to mean something.
#[derive(Debug, Default)]
struct Reached {
    done: u32,
    not_run: u32,
    unknown: u32,
    second_runs: u32,
    resumed: u32,
    settled: u32,
    released: u32,
    shown: u32,
}

impl Reached {
    fn add(&mut self, world: &World) {
        let outcome = world.verdicts.first().map(|v| v.outcome);
        self.done += u32::from(outcome == Some(Outcome::Done));
        self.not_run += u32::from(outcome == Some(Outcome::NotRun));
        self.unknown += u32::from(outcome == Some(Outcome::Unknown));
        let runs = world.attempts.values().filter(|a| a.may_have_run()).count();
        self.second_runs += u32::from(runs > 1);
        self.resumed += u32::from(world.conns.iter().any(|c| c.number > 1));
        self.settled += u32::from(!world.settled.is_empty());
        self.released += u32::from(world.released);
        self.shown += u32::from(!world.shown.is_empty());
    }
}

#[test]
fn the_sequences_reach_every_path() {
    /// Least number of sequences that must reach each path.
    const ENOUGH: u32 = 100;
    let mut gen = Gen::from_size_and_seed(STEPS, SEED);
    let mut reached = Reached::default();
    for _ in 0..SEQUENCES {
        for make in [draft, whole, order, keyless, streamed_order] {
            reached.add(&play(make(), &Vec::<Step>::arbitrary(&mut gen)));
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
        shown,
    } = reached;
    let counts = [
        done,
        not_run,
        unknown,
        second_runs,
        resumed,
        settled,
        released,
        shown,
    ];
    assert!(counts.iter().all(|c| *c >= ENOUGH), "{reached:?}");
    println!("{reached:?}");
}
