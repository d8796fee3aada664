//! Test of edits through the HTTP client of the key-value service.

use primrose_standin::kv::Kv;
use primrose_standin::kv::KvConfig;
use primrose_standin::runtime::Runtime;
use primrose_store::consul::ConsulConfig;
use primrose_store::consul::ConsulStore;
use primrose_store::memory::Fault;
use primrosectl::ops::apply::ApplyError;

use crate::support::apply_file;
use crate::support::file;

#[test]
fn edits_are_applied_over_http_with_a_lost_reply() {
    let runtime = Runtime::new().expect("runtime");
    let kv = Kv::start(&runtime, KvConfig::default()).expect("loopback");
    let store = ConsulStore::new(ConsulConfig::new(vec![kv.addr()]));
    let first = apply_file(&store, &file(0, 0, 30), 1).expect("first");
    assert_eq!(first.header.generation, 1);
    // The swap is the third call: its reply is lost after it took effect.
    kv.store().fault_in(3, Fault::LostAfter);
    let second = apply_file(&store, &file(1, 1, 45), 2).expect("second");
    assert_eq!(second.header.generation, 2);
    let error = apply_file(&store, &file(1, 1, 50), 3).expect_err("old base");
    let ApplyError::Conflict { theirs, .. } = error else {
        panic!("{error}");
    };
    assert_eq!(theirs.expect("base is kept").len(), 1);
}
