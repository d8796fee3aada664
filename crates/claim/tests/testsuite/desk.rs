//! What a claim meets, and every fault at every call.

use std::time::Duration;

use primrose_claim::key::claim_key;
use primrose_claim::record::State;
use primrose_claim::Answer;
use primrose_claim::ClaimResult;
use primrose_claim::Order;
use primrose_claim::Record;
use primrose_claim::Wish;
use primrose_store::memory::Fault;
use primrose_store::store::Op;
use primrose_store::store::Store;

use crate::desk;
use crate::order;
use crate::Bench;

const FAULTS: [Fault; 5] = [
    Fault::Refused,
    Fault::LostBefore,
    Fault::LostAfter,
    Fault::Late(1),
    Fault::Late(3),
];

fn done() -> Wish {
    Wish::Done {
        status: 201,
        answer: Answer::new("text/plain", b"van 12 sent"),
    }
}

fn state(bench: &Bench) -> Option<State> {
    let key = claim_key("primrose", "parish-3", "van-12");
    let copy = bench.store.snapshot();
    let entry = copy.get(&key)?;
    Some(
        Record::decode(&entry.value)
            .expect("the record is readable")
            .state,
    )
}

#[test]
fn a_second_request_learns_what_became_of_the_first() {
    struct Case {
        name: &'static str,
        first: Vec<Wish>,
        second: Order,
        told: ClaimResult,
    }
    let claim = || order(2, Wish::Claim);
    let stored = ClaimResult::Done {
        status: 201,
        answer: Answer::new("text/plain", b"van 12 sent"),
    };
    let cases = [
        Case {
            name: "free",
            first: vec![],
            second: claim(),
            told: ClaimResult::Made,
        },
        Case {
            name: "under way",
            first: vec![Wish::Claim],
            second: claim(),
            told: ClaimResult::Busy,
        },
        Case {
            name: "released",
            first: vec![Wish::Claim, Wish::Release],
            second: claim(),
            told: ClaimResult::Made,
        },
        Case {
            name: "done",
            first: vec![Wish::Claim, done()],
            second: claim(),
            told: stored,
        },
        Case {
            name: "unknown",
            first: vec![Wish::Claim, Wish::Unknown],
            second: claim(),
            told: ClaimResult::Unknown,
        },
        Case {
            name: "released, then another body",
            first: vec![Wish::Claim, Wish::Release],
            second: Order {
                body: [2; 32],
                ..claim()
            },
            told: ClaimResult::Conflict,
        },
        Case {
            name: "the same key of another account",
            first: vec![Wish::Claim],
            second: Order {
                account: "parish-4".to_owned(),
                ..claim()
            },
            told: ClaimResult::Made,
        },
        Case {
            name: "an old copy of the order comes after its release",
            first: vec![Wish::Claim, Wish::Release],
            second: order(1, Wish::Claim),
            told: ClaimResult::Unavailable {
                retry_after: Duration::ZERO,
            },
        },
        Case {
            name: "the same order delivered twice",
            first: vec![Wish::Claim],
            second: order(1, Wish::Claim),
            told: ClaimResult::Made,
        },
    ];
    for case in cases {
        let bench = Bench::new();
        let mut first = desk();
        for wish in case.first {
            bench.ask(&mut first, order(1, wish));
        }
        // Another router: nothing but the service joins the two.
        let replies = bench.ask(&mut desk(), case.second);
        assert_eq!(replies.len(), 1, "{}", case.name);
        assert_eq!(replies[0].result, case.told, "{}", case.name);
    }
}

#[test]
fn an_open_claim_becomes_unknown_with_age_and_is_never_taken_over() {
    let bench = Bench::new();
    bench.ask(&mut desk(), order(1, Wish::Claim));
    bench.clock.advance(Duration::from_secs(3600));
    let replies = bench.ask(&mut desk(), order(2, Wish::Claim));
    assert_eq!(replies[0].result, ClaimResult::Unknown);
    assert_eq!(state(&bench), Some(State::Claimed));
}

#[test]
fn an_unreadable_record_lets_nothing_run() {
    let bench = Bench::new();
    let key = claim_key("primrose", "parish-3", "van-12");
    let op = Op::create(key, b"{".to_vec());
    bench.store.commit(&[op]).expect("the store is up");
    let replies = bench.ask(&mut desk(), order(1, Wish::Claim));
    assert_eq!(replies[0].result, ClaimResult::Unknown);
}

#[test]
fn a_claim_survives_every_fault_at_every_call() {
    for fault in FAULTS {
        for first in 1..=4 {
            for second in first..=5 {
                let bench = Bench::new();
                bench.store.fault_in(first, fault);
                bench.store.fault_in(second, Fault::LostAfter);
                let mut holder = desk();
                let replies = bench.ask(&mut holder, order(1, Wish::Claim));
                assert_eq!(replies.len(), 1);
                assert_eq!(replies[0].result, ClaimResult::Made, "{fault:?} at {first}");
                bench.ask(&mut holder, order(1, done()));
                let resend = bench.ask(&mut desk(), order(2, Wish::Claim));
                let found = &resend[0].result;
                assert!(
                    matches!(found, ClaimResult::Done { status: 201, .. }),
                    "{fault:?}"
                );
            }
        }
    }
}

#[test]
fn a_release_frees_the_key_whatever_happens_to_its_calls() {
    for fault in FAULTS {
        for call in 1..=3 {
            let bench = Bench::new();
            let mut holder = desk();
            bench.ask(&mut holder, order(1, Wish::Claim));
            bench.store.fault_in(call, fault);
            bench.ask(&mut holder, order(1, Wish::Release));
            let replies = bench.ask(&mut desk(), order(2, Wish::Claim));
            assert_eq!(replies[0].result, ClaimResult::Made, "{fault:?} at {call}");
        }
    }
}

#[test]
fn an_outage_turns_claims_away_and_leaves_none_behind() {
    for fault in FAULTS {
        let bench = Bench::new();
        let mut holder = desk();
        bench.store.fault_in(1, fault);
        bench.submit(&mut holder, order(1, Wish::Claim));
        bench.clock.advance(Duration::from_millis(10));
        let mut replies = holder.step(&bench.store, &*bench.clock);
        assert!(replies.is_empty());
        bench.store.set_down(true);
        for _ in 0..60 {
            bench.clock.advance(Duration::from_millis(50));
            replies.extend(holder.step(&bench.store, &*bench.clock));
        }
        assert_eq!(replies.len(), 1, "{fault:?}");
        let told = &replies[0].result;
        assert!(matches!(told, ClaimResult::Unavailable { .. }), "{fault:?}");
        let at_once = bench.submit(&mut holder, order(3, Wish::Claim));
        assert!(at_once.is_some(), "a known outage is answered at once");

        bench.store.set_down(false);
        bench.settle(&mut holder);
        bench.clock.advance(Duration::from_secs(10));
        let replies = bench.ask(&mut desk(), order(2, Wish::Claim));
        assert_eq!(replies[0].result, ClaimResult::Made, "{fault:?}");
        assert_eq!(state(&bench), Some(State::Claimed), "{fault:?}");
    }
}

#[test]
fn closings_wait_for_the_end_of_an_outage() {
    let bench = Bench::new();
    let mut holder = desk();
    bench.ask(&mut holder, order(1, Wish::Claim));
    bench.store.set_down(true);
    bench.submit(&mut holder, order(1, done()));
    for _ in 0..100 {
        bench.clock.advance(Duration::from_secs(6));
        holder.step(&bench.store, &*bench.clock);
    }
    assert_eq!(holder.waiting(), 1);
    bench.store.set_down(false);
    bench.settle(&mut holder);
    assert!(matches!(
        state(&bench),
        Some(State::Done { status: 201, .. })
    ));
}

#[test]
fn one_failure_long_after_an_outage_is_tried_again_at_once() {
    let bench = Bench::new();
    let mut holder = desk();
    bench.store.set_down(true);
    bench.submit(&mut holder, order(1, Wish::Claim));
    for _ in 0..60 {
        bench.clock.advance(Duration::from_millis(50));
        holder.step(&bench.store, &*bench.clock);
    }
    bench.store.set_down(false);
    bench.clock.advance(Duration::from_secs(20));
    bench.store.fault_in(1, Fault::LostBefore);
    let replies = bench.ask(&mut holder, order(2, Wish::Claim));
    assert_eq!(replies[0].result, ClaimResult::Made);
}
