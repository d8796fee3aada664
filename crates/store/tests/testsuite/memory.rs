//! The memory store fulfils the contract of `Store`, also under injected faults.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use primrose_store::memory::Fault;
use primrose_store::memory::MemoryStore;
use primrose_store::memory::RateLimits;
use primrose_store::store::CommitResult;
use primrose_store::store::Op;
use primrose_store::store::Store;
use primrose_store::store::StoreError;
use primrose_support::clock::FakeClock;

const TTL: Duration = Duration::from_secs(10);
const LONG_WAIT: Duration = Duration::from_secs(20);

fn store() -> (Arc<FakeClock>, Arc<MemoryStore>) {
    let clock = Arc::new(FakeClock::new());
    (clock.clone(), Arc::new(MemoryStore::new(clock)))
}

fn conflict(result: CommitResult) -> usize {
    match result {
        CommitResult::Conflict(conflict) => conflict.op,
        CommitResult::Applied(written) => panic!("applied: {written:?}"),
    }
}

fn applied(result: CommitResult) -> u64 {
    match result {
        CommitResult::Applied(written) => written.first().map_or(0, |first| first.version),
        CommitResult::Conflict(conflict) => panic!("conflict: {conflict}"),
    }
}

#[test]
fn a_conflicting_commit_reports_the_failed_operation_and_changes_nothing() {
    let (_, store) = store();
    let version = applied(store.commit(&[Op::create("a", vec![1])]).unwrap());
    struct Case {
        name: &'static str,
        ops: Vec<Op>,
        failing: usize,
    }
    let cases = [
        Case {
            name: "create of an existing key",
            ops: vec![Op::create("b", vec![]), Op::create("a", vec![])],
            failing: 1,
        },
        Case {
            name: "swap at an old version",
            ops: vec![
                Op::create("b", vec![]),
                Op::create("c", vec![]),
                Op::swap("a", vec![2], version + 1),
            ],
            failing: 2,
        },
        Case {
            name: "delete of an absent key",
            ops: vec![Op::Delete {
                key: "x".into(),
                version: 3,
            }],
            failing: 0,
        },
        Case {
            name: "hold under an unknown lease",
            ops: vec![Op::create("b", vec![]), Op::hold("h", vec![], "none")],
            failing: 1,
        },
        Case {
            name: "check of an absent key",
            ops: vec![
                Op::create("b", vec![]),
                Op::Check {
                    key: "x".into(),
                    version: 1,
                },
            ],
            failing: 1,
        },
    ];
    for case in cases {
        let result = store.commit(&case.ops).unwrap();
        assert_eq!(conflict(result), case.failing, "{}", case.name);
        assert_eq!(store.list("").unwrap().len(), 1, "{}", case.name);
    }
}

#[test]
fn each_injected_fault_has_its_documented_effect() {
    struct Case {
        fault: Fault,
        lost: bool,
        key_exists: bool,
    }
    let cases = [
        Case {
            fault: Fault::Refused,
            lost: false,
            key_exists: false,
        },
        Case {
            fault: Fault::LostBefore,
            lost: true,
            key_exists: false,
        },
        Case {
            fault: Fault::LostAfter,
            lost: true,
            key_exists: true,
        },
        Case {
            fault: Fault::Late(1),
            lost: true,
            key_exists: false,
        },
    ];
    for case in cases {
        let (_, store) = store();
        store.fault_in(1, case.fault);
        let error = store.commit(&[Op::create("a", vec![1])]).unwrap_err();
        let lost = matches!(error, StoreError::Lost { .. });
        assert_eq!(lost, case.lost, "{:?}", case.fault);
        let key_exists = store.get("a").unwrap().is_some();
        assert_eq!(key_exists, case.key_exists, "{:?}", case.fault);
        assert_eq!(store.calls().total(), 2, "{:?}", case.fault);
    }
}

#[test]
fn a_late_write_takes_effect_after_its_number_of_calls() {
    let (_, store) = store();
    store.fault_in(1, Fault::Late(1));
    store.commit(&[Op::create("a", vec![1])]).unwrap_err();
    assert!(store.get("a").unwrap().is_none());
    assert!(store.get("a").unwrap().is_some());
}

#[test]
fn an_expired_lease_releases_its_key_and_the_fence_increases_with_each_holder() {
    let (clock, store) = store();
    let first = store.lease(TTL).unwrap();
    let second = store.lease(TTL).unwrap();
    store
        .commit(&[Op::hold("h", vec![1], first.as_str())])
        .unwrap();
    let taken = store.commit(&[Op::hold("h", vec![2], second.as_str())]);
    assert_eq!(conflict(taken.unwrap()), 0);
    assert_eq!(store.get("h").unwrap().unwrap().fence, 1);

    clock.advance(TTL / 2);
    store.renew(&second).unwrap();
    clock.advance(TTL / 2);
    let ended = store.renew(&first).unwrap_err();
    assert!(matches!(ended, StoreError::LeaseEnded { .. }));
    let taken = store.commit(&[Op::hold("h", vec![2], second.as_str())]);
    applied(taken.unwrap());
    let entry = store.get("h").unwrap().unwrap();
    assert_eq!((entry.fence, entry.lease), (2, Some(second)));
}

#[test]
fn a_watch_returns_on_a_change_a_restore_and_an_outage() {
    let (_, store) = store();
    let empty = store.snapshot();
    let waiting = {
        let store = store.clone();
        thread::spawn(move || store.watch("a", 0, LONG_WAIT))
    };
    let version = applied(store.commit(&[Op::create("a", vec![1])]).unwrap());
    let seen = waiting.join().unwrap().unwrap();
    assert_eq!(seen.unwrap().version, version);

    store.restore(empty);
    assert_eq!(store.watch("a", version, LONG_WAIT).unwrap(), None);
    store.set_down(true);
    let down = store.watch("a", 0, LONG_WAIT).unwrap_err();
    assert!(matches!(down, StoreError::Unavailable { .. }));
}

#[test]
fn calls_above_the_rate_limits_are_refused_until_the_next_second() {
    let (clock, store) = store();
    store.set_rate_limits(Some(RateLimits {
        reads: 3,
        writes: 2,
    }));
    let write = || store.commit(&[Op::create("a", vec![1])]).is_ok();
    let read = || store.get("a").is_ok();
    assert_eq!([write(), write(), write()], [true, true, false]);
    assert_eq!([read(), read(), read(), read()], [true, true, true, false]);
    assert_eq!(store.busiest_second(), 7);
    clock.advance(Duration::from_secs(1));
    assert!(write() && read());
    store.set_rate_limits(None);
    assert!((0..9).all(|_| read()));
}
