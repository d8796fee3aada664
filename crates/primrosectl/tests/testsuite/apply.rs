//! What an operator is told is what happened, under every fault of the service.

use primrose_store::memory::Fault;
use primrose_store::store::Op;
use primrose_store::store::Store;
use primrose_table::header::Header;
use primrosectl::ops::apply::apply;
use primrosectl::ops::apply::Applied;
use primrosectl::ops::apply::ApplyError;
use primrosectl::ops::apply::Edit;
use primrosectl::ops::swap::SwapError;
use primrosectl::ops::swap::Swapped;

use crate::support::apply_file;
use crate::support::file;
use crate::support::NoSleep;
use crate::support::Recorded;
use crate::support::FAULTS;
use crate::support::KEY;

/// Calls of one apply without faults: read, keep the base, swap.
const CALLS: u64 = 3;

fn header(generation: u64, change: u64) -> Header {
    Header { generation, change }
}

#[test]
fn an_edit_raises_the_generation_and_keeps_the_comments() {
    let store = Recorded::new();
    let applied = apply_file(&store, &file(1, 1, 45), 2).expect("applied");
    assert_eq!(applied.header, header(2, 2));
    assert_eq!(applied.swapped, Some(Swapped::Newest));
    assert_eq!(applied.changes.len(), 1);
    assert_eq!(store.text(), file(2, 2, 45));
    assert_eq!(store.inner.calls().total() - 1, CALLS);
}

#[test]
fn the_first_document_starts_at_generation_one() {
    let store = Recorded::new();
    let key = "other/tables";
    let text = file(0, 0, 30);
    let edit = Edit {
        file: "tables.ini",
        text: &text,
        change: 9,
        fleet_generation: 0,
    };
    let applied = apply(&store, &NoSleep, key, &edit).expect("applied");
    assert_eq!(applied.header, header(1, 9));
}

#[test]
fn an_unchanged_file_writes_nothing() {
    let store = Recorded::new();
    let applied = apply_file(&store, &file(1, 1, 30), 2).expect("nothing to do");
    assert_eq!(applied.swapped, None);
    assert_eq!(applied.header, header(1, 1));
    assert_eq!(store.history(), [header(1, 1)]);
}

#[test]
fn a_faulty_file_never_reaches_the_service() {
    let store = Recorded::new();
    let before = store.inner.calls().total();
    let error = apply_file(&store, &file(1, 1, 0), 2).expect_err("deadline of 0s");
    assert!(matches!(error, ApplyError::File { .. }), "{error}");
    assert_eq!(store.inner.calls().total(), before);
}

struct Base {
    name: &'static str,
    generation: u64,
    change: u64,
    ok: bool,
    theirs: Option<usize>,
}

#[test]
fn an_old_base_shows_what_the_others_changed() {
    let cases = [
        Base {
            name: "the newest",
            generation: 3,
            change: 3,
            ok: true,
            theirs: None,
        },
        Base {
            name: "the newest, by generation alone",
            generation: 3,
            change: 0,
            ok: true,
            theirs: None,
        },
        Base {
            name: "one behind, still kept",
            generation: 2,
            change: 2,
            ok: false,
            theirs: Some(1),
        },
        Base {
            name: "another change of the same generation",
            generation: 3,
            change: 7,
            ok: false,
            theirs: None,
        },
        Base {
            name: "ahead of the service",
            generation: 4,
            change: 4,
            ok: false,
            theirs: None,
        },
    ];
    for case in cases {
        let store = Recorded::new();
        apply_file(&store, &file(1, 1, 40), 2).expect("second");
        apply_file(&store, &file(2, 2, 50), 3).expect("third");
        let result = apply_file(&store, &file(case.generation, case.change, 60), 9);
        assert_eq!(result.is_ok(), case.ok, "{}: {result:?}", case.name);
        if let Err(error) = result {
            let ApplyError::Conflict { found, theirs, .. } = error else {
                panic!("{}: {error}", case.name);
            };
            assert_eq!(found, Some(header(3, 3)), "{}", case.name);
            assert_eq!(theirs.map(|all| all.len()), case.theirs, "{}", case.name);
            assert_eq!(store.text(), file(3, 3, 50), "{}", case.name);
        }
    }
}

#[test]
fn a_lost_race_shows_the_other_difference_and_changes_nothing() {
    let store = Recorded::new();
    store.meddle(
        CALLS,
        Box::new(|store| {
            apply_file(store, &file(1, 1, 99), 7).expect("the other operator");
        }),
    );
    let error = apply_file(&store, &file(1, 1, 45), 2).expect_err("lost race");
    let ApplyError::Conflict { found, theirs, .. } = error else {
        panic!("{error}");
    };
    assert_eq!(found, Some(header(2, 7)));
    let shown = theirs.expect("both are known")[0].to_string();
    assert_eq!(
        shown,
        "~ [route chat]\n  - deadline = 30s\n  + deadline = 99s"
    );
    assert_eq!(store.history(), [header(1, 1), header(2, 7)]);
}

#[test]
fn a_service_that_lost_changes_takes_no_edit() {
    let store = Recorded::new();
    let text = file(1, 1, 45);
    let edit = Edit {
        file: "tables.ini",
        text: &text,
        change: 2,
        fleet_generation: 8,
    };
    let error = apply(&store, &NoSleep, KEY, &edit).expect_err("fleet is ahead");
    assert_eq!(
        error,
        ApplyError::StoreBehind {
            fleet_generation: 8,
            found: 1
        }
    );
    assert_eq!(store.history(), [header(1, 1)]);
}

#[test]
fn a_stored_document_with_faults_can_be_replaced() {
    let store = Recorded::new();
    let broken = file(5, 5, 30).replace("cost = 500", "cost = much");
    let put = Op::Put {
        key: KEY.to_owned(),
        value: broken.into_bytes(),
    };
    store.commit(&[put]).expect("no fault");
    let applied = apply_file(&store, &file(5, 5, 30), 6).expect("applied");
    assert_eq!(applied.header, header(6, 6));
}

/// Checks what the operator was told against what the service recorded.
fn check(result: &Result<Applied, ApplyError>, store: &Recorded, faults: &str) {
    let ours = header(2, 2);
    let history = store.history();
    let took_effect = history.contains(&ours);
    match result {
        Ok(_) => assert!(took_effect, "{faults}: said applied, {history:?}"),
        Err(ApplyError::Swap {
            source: SwapError::Unknown { .. },
        }) => {}
        Err(error) => assert!(!took_effect, "{faults}: said {error}, {history:?}"),
    }
    let steps = history.windows(2);
    let mut steps = steps.map(|pair| pair[1].generation - pair[0].generation);
    assert!(steps.all(|step| step == 1), "{faults}: {history:?}");
}

#[test]
fn every_fault_at_every_call_and_every_pair_is_told_truly() {
    let mut runs = 0;
    let calls = 1..=CALLS + 2;
    for (first_call, first) in calls.clone().flat_map(|call| FAULTS.map(|one| (call, one))) {
        for (second_call, second) in calls.clone().flat_map(|call| FAULTS.map(|one| (call, one))) {
            let store = Recorded::new();
            store.inner.fault_in(first_call, first);
            store.inner.fault_in(second_call, second);
            let result = apply_file(&store, &file(1, 1, 45), 2);
            let faults = format!("{first:?} at {first_call}, {second:?} at {second_call}");
            check(&result, &store, &faults);
            // Two faults are fewer than the attempts: the edit always gets through.
            let through = matches!(&result, Ok(applied) if applied.header == header(2, 2));
            assert!(through, "{faults}: {result:?}");
            runs += 1;
        }
    }
    assert_eq!(runs, 900);
}

/// Lets another operator make this many edits, each of them on the newest.
///
/// The other operator may meet the fault in our place, and may fail by it.
fn other_edits(store: &Recorded, edits: u64) {
    for edit in 1..=edits {
        let text = format!("; edit {edit}\n{}", store.text());
        let _ = apply_file(store, &text, 70 + edit);
    }
}

#[test]
fn every_fault_with_a_second_operator_is_told_truly() {
    for call in 1..=CALLS + 2 {
        for fault in FAULTS {
            for other in 1..=CALLS + 3 {
                for edits in [1, 2, 20] {
                    let store = Recorded::new();
                    store.inner.fault_in(call, fault);
                    let meddling = move |store: &Recorded| other_edits(store, edits);
                    store.meddle(other, Box::new(meddling));
                    let result = apply_file(&store, &file(1, 1, 45), 2);
                    let faults = format!("{fault:?} at {call}, {edits} others at {other}");
                    check(&result, &store, &faults);
                }
            }
        }
    }
}

#[test]
fn a_long_outage_changes_nothing_and_says_so() {
    let store = Recorded::new();
    store.inner.set_down(true);
    let error = apply_file(&store, &file(1, 1, 45), 2).expect_err("down");
    assert!(matches!(error, ApplyError::Store { .. }), "{error}");
    store.inner.set_down(false);
    assert_eq!(store.history(), [header(1, 1)]);
}

#[test]
fn an_outage_right_after_a_lost_reply_is_unknown() {
    for fault in [Fault::LostBefore, Fault::LostAfter] {
        let store = Recorded::new();
        store.inner.fault_in(CALLS, fault);
        store.meddle(CALLS + 1, Box::new(|store| store.inner.set_down(true)));
        let error = apply_file(&store, &file(1, 1, 45), 2).expect_err("unknown");
        let ApplyError::Swap {
            source: SwapError::Unknown { change, .. },
        } = error
        else {
            panic!("{fault:?}: {error}");
        };
        assert_eq!(change, 2, "{fault:?}");
    }
}
