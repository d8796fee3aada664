//! Results of claims, and faults of the store at every call.

use std::time::Duration;

use primrose_claim::key::claim_key;
use primrose_claim::record::State;
use primrose_claim::Answer;
use primrose_claim::ClaimAction;
use primrose_claim::ClaimRequest;
use primrose_claim::ClaimResult;
use primrose_claim::Record;
use primrose_store::memory::Fault;
use primrose_store::store::Op;
use primrose_store::store::Store;

use crate::claim_request;
use crate::writer;
use crate::Harness;

const FAULTS: [Fault; 5] = [
    Fault::Refused,
    Fault::LostBefore,
    Fault::LostAfter,
    Fault::Late(1),
    Fault::Late(3),
];

fn done() -> ClaimAction {
    ClaimAction::Done {
        status: 201,
        answer: Answer::new("text/plain", b"van 12 sent"),
    }
}

fn state(harness: &Harness) -> Option<State> {
    let key = claim_key("primrose", "parish-3", "van-12");
    let copy = harness.store.snapshot();
    let entry = copy.get(&key)?;
    Some(
        Record::decode(&entry.value)
            .expect("the record is readable")
            .state,
    )
}

#[test]
fn a_second_claim_gets_the_outcome_of_the_first() {
    struct Case {
        name: &'static str,
        first: Vec<ClaimAction>,
        second: ClaimRequest,
        expected: ClaimResult,
    }
    let claim = || claim_request(2, ClaimAction::Claim);
    let stored = ClaimResult::Done {
        status: 201,
        answer: Answer::new("text/plain", b"van 12 sent"),
    };
    let cases = [
        Case {
            name: "free",
            first: vec![],
            second: claim(),
            expected: ClaimResult::Made,
        },
        Case {
            name: "in progress",
            first: vec![ClaimAction::Claim],
            second: claim(),
            expected: ClaimResult::Busy,
        },
        Case {
            name: "released",
            first: vec![ClaimAction::Claim, ClaimAction::Release],
            second: claim(),
            expected: ClaimResult::Made,
        },
        Case {
            name: "done",
            first: vec![ClaimAction::Claim, done()],
            second: claim(),
            expected: stored,
        },
        Case {
            name: "unknown",
            first: vec![ClaimAction::Claim, ClaimAction::Unknown],
            second: claim(),
            expected: ClaimResult::Unknown,
        },
        Case {
            name: "released, then another body",
            first: vec![ClaimAction::Claim, ClaimAction::Release],
            second: ClaimRequest {
                body: [2; 32],
                ..claim()
            },
            expected: ClaimResult::Conflict,
        },
        Case {
            name: "the same key of another account",
            first: vec![ClaimAction::Claim],
            second: ClaimRequest {
                account: "parish-4".to_owned(),
                ..claim()
            },
            expected: ClaimResult::Made,
        },
        Case {
            name: "a late copy of the request arrives after its release",
            first: vec![ClaimAction::Claim, ClaimAction::Release],
            second: claim_request(1, ClaimAction::Claim),
            expected: ClaimResult::Unavailable {
                retry_after: Duration::ZERO,
            },
        },
        Case {
            name: "the same request delivered twice",
            first: vec![ClaimAction::Claim],
            second: claim_request(1, ClaimAction::Claim),
            expected: ClaimResult::Made,
        },
    ];
    for case in cases {
        let harness = Harness::new();
        let mut first = writer();
        for action in case.first {
            harness.submit_and_drain(&mut first, claim_request(1, action));
        }
        // Another router, which shares only the store with the first.
        let replies = harness.submit_and_drain(&mut writer(), case.second);
        assert_eq!(replies.len(), 1, "{}", case.name);
        assert_eq!(replies[0].result, case.expected, "{}", case.name);
    }
}

#[test]
fn an_old_open_claim_is_unknown_and_is_never_taken_over() {
    let harness = Harness::new();
    harness.submit_and_drain(&mut writer(), claim_request(1, ClaimAction::Claim));
    harness.clock.advance(Duration::from_secs(3600));
    let replies = harness.submit_and_drain(&mut writer(), claim_request(2, ClaimAction::Claim));
    assert_eq!(replies[0].result, ClaimResult::Unknown);
    assert_eq!(state(&harness), Some(State::Claimed));
}

#[test]
fn an_unreadable_record_makes_the_claim_unknown() {
    let harness = Harness::new();
    let key = claim_key("primrose", "parish-3", "van-12");
    let op = Op::create(key, b"{".to_vec());
    harness.store.commit(&[op]).expect("the store is up");
    let replies = harness.submit_and_drain(&mut writer(), claim_request(1, ClaimAction::Claim));
    assert_eq!(replies[0].result, ClaimResult::Unknown);
}

#[test]
fn a_claim_is_made_despite_any_fault_at_any_call() {
    for fault in FAULTS {
        for first in 1..=4 {
            for second in first..=5 {
                let harness = Harness::new();
                harness.store.fault_in(first, fault);
                harness.store.fault_in(second, Fault::LostAfter);
                let mut holder = writer();
                let replies =
                    harness.submit_and_drain(&mut holder, claim_request(1, ClaimAction::Claim));
                assert_eq!(replies.len(), 1);
                assert_eq!(replies[0].result, ClaimResult::Made, "{fault:?} at {first}");
                harness.submit_and_drain(&mut holder, claim_request(1, done()));
                let resend =
                    harness.submit_and_drain(&mut writer(), claim_request(2, ClaimAction::Claim));
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
fn a_release_frees_the_key_despite_any_fault_at_any_call() {
    for fault in FAULTS {
        for call in 1..=3 {
            let harness = Harness::new();
            let mut holder = writer();
            harness.submit_and_drain(&mut holder, claim_request(1, ClaimAction::Claim));
            harness.store.fault_in(call, fault);
            harness.submit_and_drain(&mut holder, claim_request(1, ClaimAction::Release));
            let replies =
                harness.submit_and_drain(&mut writer(), claim_request(2, ClaimAction::Claim));
            assert_eq!(replies[0].result, ClaimResult::Made, "{fault:?} at {call}");
        }
    }
}

#[test]
fn an_outage_rejects_claims_and_leaves_none_behind() {
    for fault in FAULTS {
        let harness = Harness::new();
        let mut holder = writer();
        harness.store.fault_in(1, fault);
        harness.submit(&mut holder, claim_request(1, ClaimAction::Claim));
        harness.clock.advance(Duration::from_millis(10));
        let mut replies = holder.step(&harness.store, &*harness.clock);
        assert!(replies.is_empty());
        harness.store.set_down(true);
        for _ in 0..60 {
            harness.clock.advance(Duration::from_millis(50));
            replies.extend(holder.step(&harness.store, &*harness.clock));
        }
        assert_eq!(replies.len(), 1, "{fault:?}");
        let expected = &replies[0].result;
        assert!(
            matches!(expected, ClaimResult::Unavailable { .. }),
            "{fault:?}"
        );
        let at_once = harness.submit(&mut holder, claim_request(3, ClaimAction::Claim));
        assert!(
            at_once.is_some(),
            "a claim in a known outage is rejected at once"
        );

        harness.store.set_down(false);
        harness.drain(&mut holder);
        harness.clock.advance(Duration::from_secs(10));
        let replies = harness.submit_and_drain(&mut writer(), claim_request(2, ClaimAction::Claim));
        assert_eq!(replies[0].result, ClaimResult::Made, "{fault:?}");
        assert_eq!(state(&harness), Some(State::Claimed), "{fault:?}");
    }
}

#[test]
fn close_requests_survive_an_outage() {
    let harness = Harness::new();
    let mut holder = writer();
    harness.submit_and_drain(&mut holder, claim_request(1, ClaimAction::Claim));
    harness.store.set_down(true);
    harness.submit(&mut holder, claim_request(1, done()));
    for _ in 0..100 {
        harness.clock.advance(Duration::from_secs(6));
        holder.step(&harness.store, &*harness.clock);
    }
    assert_eq!(holder.waiting(), 1);
    harness.store.set_down(false);
    harness.drain(&mut holder);
    assert!(matches!(
        state(&harness),
        Some(State::Done { status: 201, .. })
    ));
}

#[test]
fn a_single_failure_long_after_an_outage_is_retried() {
    let harness = Harness::new();
    let mut holder = writer();
    harness.store.set_down(true);
    harness.submit(&mut holder, claim_request(1, ClaimAction::Claim));
    for _ in 0..60 {
        harness.clock.advance(Duration::from_millis(50));
        holder.step(&harness.store, &*harness.clock);
    }
    harness.store.set_down(false);
    harness.clock.advance(Duration::from_secs(20));
    harness.store.fault_in(1, Fault::LostBefore);
    let replies = harness.submit_and_drain(&mut holder, claim_request(2, ClaimAction::Claim));
    assert_eq!(replies[0].result, ClaimResult::Made);
}
