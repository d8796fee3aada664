//! The Consul adapter distinguishes calls that were not applied from calls that may have been.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use primrose_standin::kv::Kv;
use primrose_standin::kv::KvConfig;
use primrose_standin::runtime::Runtime;
use primrose_store::consul::ConsulConfig;
use primrose_store::consul::ConsulStore;
use primrose_store::memory::Fault;
use primrose_store::store::CommitResult;
use primrose_store::store::Op;
use primrose_store::store::Store;
use primrose_store::store::StoreError;

use crate::consul::adapter;

fn service(runtime: &Runtime) -> Kv {
    Kv::start(runtime, KvConfig::default()).unwrap()
}

/// Returns an address without a listener.
fn closed_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn each_fault_of_a_write_returns_its_error() {
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
    let runtime = Runtime::new().unwrap();
    for case in cases {
        let kv = service(&runtime);
        let store = adapter(vec![kv.addr()]);
        kv.store().fault_in(1, case.fault);
        let error = store.commit(&[Op::create("a", vec![1])]).unwrap_err();
        let lost = matches!(error, StoreError::Lost { .. });
        assert_eq!(lost, case.lost, "{:?}: {error}", case.fault);
        let key_exists = store.get("a").unwrap().is_some();
        assert_eq!(key_exists, case.key_exists, "{:?}", case.fault);
    }
}

#[test]
fn a_lost_write_is_not_sent_to_the_next_address() {
    let runtime = Runtime::new().unwrap();
    let (first, second) = (service(&runtime), service(&runtime));
    let store = adapter(vec![first.addr(), second.addr()]);
    first.store().fault_in(1, Fault::LostAfter);
    let error = store.commit(&[Op::create("a", vec![1])]).unwrap_err();
    assert!(matches!(error, StoreError::Lost { .. }), "{error}");
    assert_eq!(second.store().calls().total(), 0);
    // The next call starts at the address that has not failed.
    store.get("a").unwrap();
    assert_eq!(second.store().calls().total(), 1);
}

#[test]
fn a_refused_connection_fails_over_to_the_next_address() {
    let runtime = Runtime::new().unwrap();
    let kv = service(&runtime);
    let store = adapter(vec![closed_addr(), kv.addr()]);
    let result = store.commit(&[Op::create("a", vec![1])]).unwrap();
    assert!(matches!(result, CommitResult::Applied(_)));

    let store = adapter(vec![closed_addr(), closed_addr()]);
    let error = store.commit(&[Op::create("a", vec![1])]).unwrap_err();
    assert!(matches!(error, StoreError::Unavailable { .. }), "{error}");
    let error = adapter(Vec::new()).get("a").unwrap_err();
    assert!(matches!(error, StoreError::Unavailable { .. }), "{error}");
}

#[test]
fn the_state_before_an_outage_is_there_after_it() {
    let runtime = Runtime::new().unwrap();
    let kv = service(&runtime);
    let store = adapter(vec![kv.addr()]);
    store.commit(&[Op::create("a", vec![1])]).unwrap();
    kv.stop();
    let error = store.commit(&[Op::create("b", vec![1])]).unwrap_err();
    assert!(matches!(error, StoreError::Unavailable { .. }), "{error}");
    let error = store.watch("a", 0, Duration::from_secs(1)).unwrap_err();
    assert!(matches!(error, StoreError::Unavailable { .. }), "{error}");
    kv.restart().unwrap();
    assert!(store.get("a").unwrap().is_some());
    assert!(store.get("b").unwrap().is_none());
}

#[test]
fn a_write_that_times_out_is_lost_and_may_still_take_effect() {
    let runtime = Runtime::new().unwrap();
    let kv = service(&runtime);
    kv.stall(true);
    let store = ConsulStore::new(ConsulConfig {
        call_timeout: Duration::from_millis(100),
        ..ConsulConfig::new(vec![kv.addr()])
    });
    let error = store.commit(&[Op::create("a", vec![1])]).unwrap_err();
    assert!(matches!(error, StoreError::Lost { .. }), "{error}");
    let error = store.get("a").unwrap_err();
    assert!(matches!(error, StoreError::Unavailable { .. }), "{error}");
    assert_eq!(kv.store().peek("a"), None);
    kv.stall(false);
    let long_timeout_store = adapter(vec![kv.addr()]);
    let entry = long_timeout_store
        .watch("a", 0, Duration::from_secs(20))
        .unwrap();
    assert!(entry.is_some());
}

/// Replies to one connection with fixed bytes; the thread returns the number of bytes received.
fn reply_once(reply: &'static [u8]) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let served = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 4096];
        let read = stream.read(&mut buffer).unwrap();
        stream.write_all(reply).unwrap();
        read
    });
    (addr, served)
}

#[test]
fn a_faulty_reply_is_classified_by_whether_the_call_writes() {
    #[derive(Debug, PartialEq)]
    enum ErrorKind {
        Unavailable,
        Lost,
        Invalid,
    }
    struct Case {
        name: &'static str,
        reply: &'static [u8],
        read: ErrorKind,
        write: ErrorKind,
    }
    let cases = [
        Case {
            name: "server error",
            reply: b"HTTP/1.1 500 E\r\nContent-Length: 9\r\n\r\nno leader",
            read: ErrorKind::Unavailable,
            write: ErrorKind::Lost,
        },
        Case {
            name: "rate limit",
            reply: b"HTTP/1.1 429 E\r\nContent-Length: 0\r\n\r\n",
            read: ErrorKind::Unavailable,
            write: ErrorKind::Unavailable,
        },
        Case {
            name: "access denied",
            reply: b"HTTP/1.1 403 E\r\nContent-Length: 0\r\n\r\n",
            read: ErrorKind::Invalid,
            write: ErrorKind::Invalid,
        },
        Case {
            name: "garbage JSON",
            reply: b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n[{\"",
            read: ErrorKind::Invalid,
            write: ErrorKind::Lost,
        },
        Case {
            name: "truncated body",
            reply: b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n[",
            read: ErrorKind::Unavailable,
            write: ErrorKind::Lost,
        },
        Case {
            name: "not HTTP",
            reply: b"\x00\x01\x02\r\n\r\n",
            read: ErrorKind::Unavailable,
            write: ErrorKind::Lost,
        },
    ];
    let error_kind = |error: StoreError| match error {
        StoreError::Unavailable { .. } => ErrorKind::Unavailable,
        StoreError::Lost { .. } => ErrorKind::Lost,
        StoreError::Invalid { .. } => ErrorKind::Invalid,
        StoreError::LeaseEnded { .. } => panic!("{error}"),
    };
    for case in cases {
        let (addr, served) = reply_once(case.reply);
        let error = adapter(vec![addr]).get("a").unwrap_err();
        assert_eq!(error_kind(error), case.read, "read: {}", case.name);
        assert!(served.join().unwrap() > 0);

        let (addr, served) = reply_once(case.reply);
        let store = adapter(vec![addr]);
        let error = store.commit(&[Op::create("a", vec![])]).unwrap_err();
        assert_eq!(error_kind(error), case.write, "write: {}", case.name);
        assert!(served.join().unwrap() > 0);
    }
}
