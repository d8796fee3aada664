//! The Consul adapter fulfils the contract of `Store` against the stand-in service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use primrose_standin::kv::Kv;
use primrose_standin::kv::KvConfig;
use primrose_standin::runtime::Runtime;
use primrose_store::consul::ConsulConfig;
use primrose_store::consul::ConsulStore;
use primrose_store::store::CommitResult;
use primrose_store::store::Entry;
use primrose_store::store::Op;
use primrose_store::store::Result;
use primrose_store::store::Store;
use primrose_store::store::StoreError;
use primrose_store::store::MAX_OPS;
use primrose_store::store::MAX_VALUE_BYTES;
use primrose_support::clock::FakeClock;

const TTL: Duration = Duration::from_secs(10);
/// Wait that is longer than any test.
const LONG_WAIT: Duration = Duration::from_secs(300);
/// Maximum wait for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

type Watched = Result<Option<Entry>>;

/// Creates an adapter with timeouts that a busy machine does not reach.
pub(crate) fn adapter(addrs: Vec<SocketAddr>) -> ConsulStore {
    ConsulStore::new(ConsulConfig {
        connect_timeout: LONG_WAIT,
        call_timeout: LONG_WAIT,
        ..ConsulConfig::new(addrs)
    })
}

struct Fixture {
    store: ConsulStore,
    kv: Kv,
    clock: Arc<FakeClock>,
    _runtime: Runtime,
}

fn fixture() -> Fixture {
    let clock = Arc::new(FakeClock::new());
    let runtime = Runtime::new().unwrap();
    let config = KvConfig {
        clock: clock.clone(),
        ..KvConfig::default()
    };
    let kv = Kv::start(&runtime, config).unwrap();
    Fixture {
        store: adapter(vec![kv.addr()]),
        kv,
        clock,
        _runtime: runtime,
    }
}

/// Joins a watch that a change must wake long before its wait has passed.
fn join_woken(waiting: JoinHandle<Watched>) -> Option<Entry> {
    let end = Instant::now() + EVENT_TIMEOUT;
    while !waiting.is_finished() {
        assert!(Instant::now() < end, "the watch was not woken");
        thread::sleep(Duration::from_millis(1));
    }
    waiting.join().unwrap().unwrap()
}

fn version(result: CommitResult) -> u64 {
    match result {
        CommitResult::Applied(written) => written[0].version,
        CommitResult::Conflict(conflict) => panic!("conflict: {conflict}"),
    }
}

#[test]
fn keys_and_values_round_trip() {
    struct Case {
        key: &'static str,
        value: Vec<u8>,
    }
    let cases = [
        Case {
            key: "plain",
            value: b"text".to_vec(),
        },
        Case {
            key: "empty",
            value: Vec::new(),
        },
        Case {
            key: "claims/a b/ä?x=1&y#%2F+",
            value: vec![0, 255, 10, 13],
        },
        Case {
            key: "large",
            value: vec![7; MAX_VALUE_BYTES],
        },
    ];
    let fixture = fixture();
    for case in &cases {
        let create = Op::create(case.key, case.value.clone());
        let version = version(fixture.store.commit(&[create]).unwrap());
        let entry = fixture.store.get(case.key).unwrap().unwrap();
        assert_eq!(entry.key, case.key);
        assert_eq!(entry.value, case.value, "{}", case.key);
        assert_eq!(entry.version, version, "{}", case.key);
    }
    let keys: Vec<String> = fixture
        .store
        .list("")
        .unwrap()
        .into_iter()
        .map(|entry| entry.key)
        .collect();
    assert_eq!(keys.len(), cases.len());
    assert!(keys.is_sorted());
    let below = fixture.store.list("claims/a b/").unwrap();
    assert_eq!(below.len(), 1);
    assert_eq!(fixture.store.get("absent").unwrap(), None);
}

#[test]
fn a_conflicting_commit_reports_the_failed_operation_and_changes_nothing() {
    let fixture = fixture();
    let store = &fixture.store;
    let version = version(store.commit(&[Op::create("a", vec![1])]).unwrap());
    let lease = store.lease(TTL).unwrap();
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
                Op::swap("a", vec![], version),
                Op::swap("c", vec![], 4),
            ],
            failing: 2,
        },
        Case {
            name: "release of a key that is not held",
            ops: vec![Op::Release {
                key: "a".into(),
                value: vec![],
                lease: lease.clone(),
            }],
            failing: 0,
        },
        Case {
            name: "check of an existing key for absence",
            ops: vec![
                Op::hold("h", vec![], lease.as_str()),
                Op::Check {
                    key: "a".into(),
                    version: 0,
                },
            ],
            failing: 1,
        },
    ];
    for case in cases {
        match store.commit(&case.ops).unwrap() {
            CommitResult::Conflict(conflict) => {
                assert_eq!(conflict.op, case.failing, "{}", case.name);
            }
            CommitResult::Applied(_) => panic!("applied: {}", case.name),
        }
        assert_eq!(store.list("").unwrap().len(), 1, "{}", case.name);
    }
}

#[test]
fn a_commit_of_the_maximum_size_is_applied_in_one_call() {
    let fixture = fixture();
    let ops: Vec<Op> = (0..MAX_OPS)
        .map(|number| Op::create(format!("claims/{number:02}"), vec![1]))
        .collect();
    let before = fixture.kv.store().calls().total();
    match fixture.store.commit(&ops).unwrap() {
        CommitResult::Applied(written) => assert_eq!(written.len(), MAX_OPS),
        CommitResult::Conflict(conflict) => panic!("conflict: {conflict}"),
    }
    assert_eq!(fixture.kv.store().calls().total() - before, 1);
    assert_eq!(fixture.store.list("claims/").unwrap().len(), MAX_OPS);
}

#[test]
fn invalid_commits_are_rejected_before_they_are_sent() {
    let fixture = fixture();
    struct Case {
        name: &'static str,
        ops: Vec<Op>,
    }
    let cases = [
        Case {
            name: "no operation",
            ops: Vec::new(),
        },
        Case {
            name: "too many operations",
            ops: vec![Op::create("a", vec![]); MAX_OPS + 1],
        },
        Case {
            name: "empty key",
            ops: vec![Op::create("", vec![])],
        },
        Case {
            name: "value too long",
            ops: vec![Op::create("a", vec![0; MAX_VALUE_BYTES + 1])],
        },
    ];
    for case in cases {
        let error = fixture.store.commit(&case.ops).unwrap_err();
        assert!(matches!(error, StoreError::Invalid { .. }), "{}", case.name);
    }
    assert_eq!(fixture.kv.store().calls().total(), 0);
}

#[test]
fn a_lease_holds_its_key_until_it_expires_and_the_fence_increases() {
    let fixture = fixture();
    let store = &fixture.store;
    let first = store.lease(TTL).unwrap();
    let second = store.lease(TTL).unwrap();
    let hold = |lease: &str| store.commit(&[Op::hold("orders/s1", vec![], lease)]);
    version(hold(&first).unwrap());
    assert!(matches!(hold(&second).unwrap(), CommitResult::Conflict(_)));
    let entry = store.get("orders/s1").unwrap().unwrap();
    assert_eq!((entry.lease.as_ref(), entry.fence), (Some(&first), 1));

    fixture.clock.advance(TTL - Duration::from_millis(1));
    store.renew(&second).unwrap();
    fixture.clock.advance(Duration::from_millis(1));
    let ended = store.renew(&first).unwrap_err();
    assert_eq!(
        ended,
        StoreError::LeaseEnded {
            lease: first.clone()
        }
    );
    version(hold(&second).unwrap());
    assert_eq!(store.get("orders/s1").unwrap().unwrap().fence, 2);
    store.revoke(&second).unwrap();
    store.revoke(&second).unwrap();
    assert_eq!(store.get("orders/s1").unwrap().unwrap().lease, None);
}

#[test]
fn a_lease_below_the_minimum_ttl_is_rejected() {
    let fixture = fixture();
    let error = fixture.store.lease(TTL / 2).unwrap_err();
    assert!(matches!(error, StoreError::Invalid { .. }), "{error}");
}

#[test]
fn a_watch_waits_for_a_change_with_one_call() {
    let fixture = fixture();
    let version = version(
        fixture
            .store
            .commit(&[Op::create("config", vec![1])])
            .unwrap(),
    );
    let kv = fixture.kv.store().clone();
    let before = kv.calls().watches;
    let waiting = {
        let store = fixture.store.clone();
        thread::spawn(move || store.watch("config", version, LONG_WAIT))
    };
    while kv.calls().watches == before {
        thread::yield_now();
    }
    // A change of another key does not wake the watch.
    kv.commit(&[Op::create("other", vec![])]).unwrap();
    kv.commit(&[Op::swap("config", vec![2], version)]).unwrap();
    let entry = join_woken(waiting).unwrap();
    assert_eq!(entry.value, [2]);
    assert_eq!(kv.calls().watches - before, 1);
}

#[test]
fn a_watch_returns_on_creation_deletion_and_restore() {
    let fixture = fixture();
    let kv = fixture.kv.store().clone();
    let empty = kv.snapshot();
    let watch = |after: u64| {
        let store = fixture.store.clone();
        let watches = kv.calls().watches;
        let waiting = thread::spawn(move || store.watch("config", after, LONG_WAIT));
        while kv.calls().watches == watches {
            thread::yield_now();
        }
        waiting
    };
    let waiting = watch(0);
    let created = version(kv.commit(&[Op::create("config", vec![1])]).unwrap());
    let seen = join_woken(waiting).unwrap();
    assert_eq!(seen.version, created);

    let waiting = watch(created);
    let key = "config".to_owned();
    let delete = Op::Delete {
        key,
        version: created,
    };
    kv.commit(&[delete]).unwrap();
    assert_eq!(join_woken(waiting), None);

    let again = version(kv.commit(&[Op::create("config", vec![3])]).unwrap());
    let waiting = watch(again);
    kv.restore(empty);
    assert_eq!(join_woken(waiting), None);
}

#[test]
fn a_watch_that_times_out_returns_the_same_version() {
    let fixture = fixture();
    let version = version(
        fixture
            .store
            .commit(&[Op::create("config", vec![1])])
            .unwrap(),
    );
    let wait = Duration::from_millis(1);
    let entry = fixture.store.watch("config", version, wait).unwrap();
    assert_eq!(entry.unwrap().version, version);
    assert_eq!(fixture.store.watch("absent", 0, wait).unwrap(), None);
}
