//! Tests that the reported result of an edit is true, under every fault of the service.

use primrose_store::memory::Fault;
use primrose_store::store::Op;
use primrose_store::store::Store;
use primrose_table::header::Header;
use primrosectl::ops::apply::apply;
use primrosectl::ops::apply::Applied;
use primrosectl::ops::apply::ApplyError;
use primrosectl::ops::apply::Edit;
use primrosectl::ops::swap::SwapError;
use primrosectl::ops::swap::SwapOutcome;

use crate::support::apply_file;
use crate::support::file;
use crate::support::NoSleep;
use crate::support::RecordingStore;
use crate::support::FAULTS;
use crate::support::KEY;

/// Calls to the store by one apply without faults: read, save the base, swap.
const CALLS: u64 = 3;

fn header(generation: u64, change: u64) -> Header {
    Header { generation, change }
}

#[test]
fn edit_raises_the_generation_and_keeps_the_comments() {
    let store = RecordingStore::new();
    let applied = apply_file(&store, &file(1, 1, 45), 2).expect("applied");
    assert_eq!(applied.header, header(2, 2));
    assert_eq!(applied.outcome, Some(SwapOutcome::Newest));
    assert_eq!(applied.changes.len(), 1);
    assert_eq!(store.text(), file(2, 2, 45));
    assert_eq!(store.inner.calls().total() - 1, CALLS);
}

#[test]
fn first_document_has_generation_one() {
    let store = RecordingStore::new();
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
fn unchanged_file_writes_nothing() {
    let store = RecordingStore::new();
    let applied = apply_file(&store, &file(1, 1, 30), 2).expect("nothing to do");
    assert_eq!(applied.outcome, None);
    assert_eq!(applied.header, header(1, 1));
    assert_eq!(store.history(), [header(1, 1)]);
}

#[test]
fn invalid_file_causes_no_call_to_the_service() {
    let store = RecordingStore::new();
    let before = store.inner.calls().total();
    let error = apply_file(&store, &file(1, 1, 0), 2).expect_err("deadline of 0s");
    assert!(matches!(error, ApplyError::File { .. }), "{error}");
    assert_eq!(store.inner.calls().total(), before);
}

/// An edit based on this header, and its expected result.
struct Case {
    name: &'static str,
    generation: u64,
    change: u64,
    ok: bool,
    theirs: Option<usize>,
}

#[test]
fn conflict_shows_the_changes_since_an_old_base() {
    let cases = [
        Case {
            name: "the newest",
            generation: 3,
            change: 3,
            ok: true,
            theirs: None,
        },
        Case {
            name: "the newest, by generation alone",
            generation: 3,
            change: 0,
            ok: true,
            theirs: None,
        },
        Case {
            name: "one generation behind, still kept",
            generation: 2,
            change: 2,
            ok: false,
            theirs: Some(1),
        },
        Case {
            name: "another change of the same generation",
            generation: 3,
            change: 7,
            ok: false,
            theirs: None,
        },
        Case {
            name: "ahead of the service",
            generation: 4,
            change: 4,
            ok: false,
            theirs: None,
        },
    ];
    for case in cases {
        let store = RecordingStore::new();
        apply_file(&store, &file(1, 1, 40), 2).expect("second");
        apply_file(&store, &file(2, 2, 50), 3).expect("third");
        let result = apply_file(&store, &file(case.generation, case.change, 60), 9);
        assert_eq!(result.is_ok(), case.ok, "{}: {result:?}", case.name);
        if let Err(error) = result {
            let ApplyError::Conflict { found, theirs, .. } = error else {
                panic!("{}: {error}", case.name);
            };
            assert_eq!(found, Some(header(3, 3)), "{}", case.name);
            assert_eq!(
                theirs.map(|changes| changes.len()),
                case.theirs,
                "{}",
                case.name
            );
            assert_eq!(store.text(), file(3, 3, 50), "{}", case.name);
        }
    }
}

#[test]
fn lost_race_shows_the_other_change_and_writes_nothing() {
    let store = RecordingStore::new();
    store.before_call(
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
fn edit_is_rejected_if_the_service_is_behind_the_fleet() {
    let store = RecordingStore::new();
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
fn stored_document_with_faults_can_be_replaced() {
    let store = RecordingStore::new();
    let broken = file(5, 5, 30).replace("cost = 500", "cost = much");
    let put = Op::Put {
        key: KEY.to_owned(),
        value: broken.into_bytes(),
    };
    store.commit(&[put]).expect("no fault");
    let applied = apply_file(&store, &file(5, 5, 30), 6).expect("applied");
    assert_eq!(applied.header, header(6, 6));
}

/// Checks the reported result against the history of the store.
fn check(result: &Result<Applied, ApplyError>, store: &RecordingStore, faults: &str) {
    let ours = header(2, 2);
    let history = store.history();
    let took_effect = history.contains(&ours);
    match result {
        Ok(_) => assert!(took_effect, "{faults}: reported applied, {history:?}"),
        Err(ApplyError::Swap {
            source: SwapError::Unknown { .. },
        }) => {}
        Err(error) => assert!(!took_effect, "{faults}: reported {error}, {history:?}"),
    }
    let steps = history.windows(2);
    let mut steps = steps.map(|pair| pair[1].generation - pair[0].generation);
    assert!(steps.all(|step| step == 1), "{faults}: {history:?}");
}

#[test]
fn result_is_true_under_every_pair_of_faults() {
    let mut runs = 0;
    let calls = 1..=CALLS + 2;
    for (first_call, first) in calls
        .clone()
        .flat_map(|call| FAULTS.map(|fault| (call, fault)))
    {
        for (second_call, second) in calls
            .clone()
            .flat_map(|call| FAULTS.map(|fault| (call, fault)))
        {
            let store = RecordingStore::new();
            store.inner.fault_in(first_call, first);
            store.inner.fault_in(second_call, second);
            let result = apply_file(&store, &file(1, 1, 45), 2);
            let faults = format!("{first:?} at {first_call}, {second:?} at {second_call}");
            check(&result, &store, &faults);
            // There are more attempts than faults, so the edit always succeeds.
            let succeeded = matches!(&result, Ok(applied) if applied.header == header(2, 2));
            assert!(succeeded, "{faults}: {result:?}");
            runs += 1;
        }
    }
    assert_eq!(runs, 900);
}

/// Makes this many edits as another operator, each based on the newest document.
///
/// An injected fault may hit one of these edits instead of the tested one, and make it fail.
fn other_edits(store: &RecordingStore, edits: u64) {
    for edit in 1..=edits {
        let text = format!("; edit {edit}\n{}", store.text());
        let _ = apply_file(store, &text, 70 + edit);
    }
}

#[test]
fn result_is_true_under_every_fault_with_a_second_operator() {
    for call in 1..=CALLS + 2 {
        for fault in FAULTS {
            for other in 1..=CALLS + 3 {
                for edits in [1, 2, 20] {
                    let store = RecordingStore::new();
                    store.inner.fault_in(call, fault);
                    let hook = move |store: &RecordingStore| other_edits(store, edits);
                    store.before_call(other, Box::new(hook));
                    let result = apply_file(&store, &file(1, 1, 45), 2);
                    let faults = format!("{fault:?} at {call}, {edits} others at {other}");
                    check(&result, &store, &faults);
                }
            }
        }
    }
}

#[test]
fn long_outage_changes_nothing_and_reports_it() {
    let store = RecordingStore::new();
    store.inner.set_down(true);
    let error = apply_file(&store, &file(1, 1, 45), 2).expect_err("down");
    assert!(matches!(error, ApplyError::Store { .. }), "{error}");
    store.inner.set_down(false);
    assert_eq!(store.history(), [header(1, 1)]);
}

#[test]
fn result_is_unknown_if_an_outage_follows_a_lost_reply() {
    for fault in [Fault::LostBefore, Fault::LostAfter] {
        let store = RecordingStore::new();
        store.inner.fault_in(CALLS, fault);
        store.before_call(CALLS + 1, Box::new(|store| store.inner.set_down(true)));
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
