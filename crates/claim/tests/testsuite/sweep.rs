//! Which claims the sweeper removes, and when.

use std::time::Duration;

use primrose_claim::sweep::SweepLimits;
use primrose_claim::Answer;
use primrose_claim::ClaimAction;
use primrose_claim::Sweeper;
use primrose_core::clock::Clock;
use primrose_store::store::Store;

use crate::claim_request;
use crate::writer;
use crate::Harness;

const HOUR: Duration = Duration::from_secs(3600);

fn sweeper() -> Sweeper {
    Sweeper::new("primrose", SweepLimits::default())
}

fn accounts() -> Vec<String> {
    vec!["parish-3".to_owned()]
}

/// Runs the sweeper over all key ranges; returns the number of removed claims.
fn sweep(harness: &Harness, sweeper: &mut Sweeper) -> usize {
    let mut removed = 0;
    for _ in 0..16 {
        harness.clock.advance(Duration::from_millis(500));
        let now = harness.clock.now();
        let Some(prefix) = sweeper.next_prefix(&accounts(), now) else {
            continue;
        };
        let entries = harness.store.list(&prefix).expect("the store is up");
        for ops in sweeper.sweep(&entries, now) {
            removed += ops.len();
            harness.store.commit(&ops).expect("the store is up");
        }
    }
    removed
}

/// Makes one claim and ends it with an action, or leaves it open.
fn make_claim(harness: &Harness, end: Option<ClaimAction>) {
    let mut writer = writer();
    harness.submit_and_drain(&mut writer, claim_request(1, ClaimAction::Claim));
    if let Some(action) = end {
        harness.submit_and_drain(&mut writer, claim_request(1, action));
    }
}

#[test]
fn retention_depends_on_how_a_claim_ended() {
    struct Case {
        end: Option<ClaimAction>,
        after: Duration,
        removed: usize,
    }
    let done = || ClaimAction::Done {
        status: 200,
        answer: Answer::new("", b""),
    };
    let cases = [
        Case {
            end: Some(done()),
            after: HOUR * 5,
            removed: 0,
        },
        Case {
            end: Some(done()),
            after: HOUR * 7,
            removed: 1,
        },
        Case {
            end: Some(ClaimAction::Release),
            after: HOUR * 7,
            removed: 1,
        },
        Case {
            end: None,
            after: HOUR * 47,
            removed: 0,
        },
        Case {
            end: None,
            after: HOUR * 49,
            removed: 1,
        },
        Case {
            end: Some(ClaimAction::Unknown),
            after: HOUR * 47,
            removed: 0,
        },
    ];
    for case in cases {
        let harness = Harness::new();
        make_claim(&harness, case.end);
        let mut sweeper = sweeper();
        let index = harness.store.snapshot().index();
        sweeper.record_version(index, harness.clock.now());
        harness.clock.advance(case.after);
        assert_eq!(
            sweep(&harness, &mut sweeper),
            case.removed,
            "{:?}",
            case.after
        );
    }
}

#[test]
fn a_sweeper_without_old_checkpoints_removes_nothing() {
    let harness = Harness::new();
    make_claim(&harness, Some(ClaimAction::Release));
    harness.clock.advance(HOUR * 100);
    let mut sweeper = sweeper();
    sweeper.record_version(harness.store.snapshot().index(), harness.clock.now());
    assert_eq!(sweep(&harness, &mut sweeper), 0);
}

#[test]
fn a_claim_made_after_the_checkpoint_is_kept() {
    let harness = Harness::new();
    let mut sweeper = sweeper();
    sweeper.record_version(harness.store.snapshot().index(), harness.clock.now());
    harness.clock.advance(HOUR * 7);
    make_claim(&harness, Some(ClaimAction::Release));
    assert_eq!(sweep(&harness, &mut sweeper), 0);
}

#[test]
fn nothing_is_removed_after_a_reset() {
    let harness = Harness::new();
    make_claim(&harness, Some(ClaimAction::Release));
    let mut sweeper = sweeper();
    sweeper.record_version(harness.store.snapshot().index(), harness.clock.now());
    harness.clock.advance(HOUR * 7);
    sweeper.reset();
    assert_eq!(sweep(&harness, &mut sweeper), 0);
}

/// Guards against claims that are removed while fresh, since a restored service numbers them like
/// old ones.
#[test]
fn claims_made_after_a_restore_are_kept() {
    let harness = Harness::new();
    let mut sweeper = sweeper();
    let lost = harness.store.snapshot().index() + 1_000;
    sweeper.record_write(lost, harness.clock.now());
    harness.clock.advance(HOUR * 7);
    make_claim(&harness, Some(ClaimAction::Release));
    // The sweeper writes to the service before it removes anything.
    sweeper.record_write(harness.store.snapshot().index(), harness.clock.now());
    assert_eq!(sweep(&harness, &mut sweeper), 0);
}
