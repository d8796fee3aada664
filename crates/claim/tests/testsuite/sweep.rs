//! Which claims are removed, and when.

use std::time::Duration;

use primrose_claim::sweep::SweepLimits;
use primrose_claim::Answer;
use primrose_claim::Sweeper;
use primrose_claim::Wish;
use primrose_core::clock::Clock;
use primrose_store::store::Store;

use crate::desk;
use crate::order;
use crate::Bench;

const HOUR: Duration = Duration::from_secs(3600);

fn sweeper() -> Sweeper {
    Sweeper::new("primrose", SweepLimits::default())
}

fn accounts() -> Vec<String> {
    vec!["parish-3".to_owned()]
}

/// Lets the sweeper go through all slices; returns how many claims it removed.
fn sweep(bench: &Bench, sweeper: &mut Sweeper) -> usize {
    let mut removed = 0;
    for _ in 0..16 {
        bench.clock.advance(Duration::from_millis(500));
        let now = bench.clock.now();
        let Some(slice) = sweeper.plan(&accounts(), now) else {
            continue;
        };
        let entries = bench.store.list(&slice).expect("the store is up");
        for ops in sweeper.sweep(&entries, now) {
            removed += ops.len();
            bench.store.commit(&ops).expect("the store is up");
        }
    }
    removed
}

/// Makes one claim and ends it with a wish, or leaves it open.
fn claimed(bench: &Bench, end: Option<Wish>) {
    let mut desk = desk();
    bench.ask(&mut desk, order(1, Wish::Claim));
    if let Some(wish) = end {
        bench.ask(&mut desk, order(1, wish));
    }
}

#[test]
fn claims_are_kept_by_how_they_ended() {
    struct Case {
        end: Option<Wish>,
        after: Duration,
        removed: usize,
    }
    let done = || Wish::Done {
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
            end: Some(Wish::Release),
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
            end: Some(Wish::Unknown),
            after: HOUR * 47,
            removed: 0,
        },
    ];
    for case in cases {
        let bench = Bench::new();
        claimed(&bench, case.end);
        let mut sweeper = sweeper();
        let index = bench.store.snapshot().index();
        sweeper.note(index, bench.clock.now());
        bench.clock.advance(case.after);
        assert_eq!(
            sweep(&bench, &mut sweeper),
            case.removed,
            "{:?}",
            case.after
        );
    }
}

#[test]
fn a_sweeper_without_a_past_removes_nothing() {
    let bench = Bench::new();
    claimed(&bench, Some(Wish::Release));
    bench.clock.advance(HOUR * 100);
    let mut sweeper = sweeper();
    sweeper.note(bench.store.snapshot().index(), bench.clock.now());
    assert_eq!(sweep(&bench, &mut sweeper), 0);
}

#[test]
fn a_claim_that_was_made_after_the_note_stays() {
    let bench = Bench::new();
    let mut sweeper = sweeper();
    sweeper.note(bench.store.snapshot().index(), bench.clock.now());
    bench.clock.advance(HOUR * 7);
    claimed(&bench, Some(Wish::Release));
    assert_eq!(sweep(&bench, &mut sweeper), 0);
}

#[test]
fn after_a_restored_copy_the_past_is_forgotten() {
    let bench = Bench::new();
    claimed(&bench, Some(Wish::Release));
    let mut sweeper = sweeper();
    sweeper.note(bench.store.snapshot().index(), bench.clock.now());
    bench.clock.advance(HOUR * 7);
    sweeper.reset();
    assert_eq!(sweep(&bench, &mut sweeper), 0);
}
