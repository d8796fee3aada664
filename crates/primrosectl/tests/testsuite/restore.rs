//! A service that was restored from an old copy gets back what the routers have in force.

use primrose_table::header::Header;
use primrosectl::ops::restore::restore;
use primrosectl::ops::restore::RestoreError;

use crate::fleet::router;
use crate::fleet::FakeFleet;
use crate::support::apply_file;
use crate::support::file;
use crate::support::NoPause;
use crate::support::Recorded;
use crate::support::FAULTS;
use crate::support::KEY;

fn fleet(entries: &[(u16, u64, &str)]) -> FakeFleet {
    let mut fleet = FakeFleet::default();
    for (port, generation, text) in entries {
        let header = Header {
            generation: *generation,
            change: *generation,
        };
        fleet.tables.insert(*port, (header, (*text).to_owned()));
    }
    fleet
}

#[test]
fn the_newest_in_force_is_put_back_under_every_fault() {
    for call in 1..=5 {
        for fault in FAULTS {
            let store = Recorded::new();
            let copy = store.inner.snapshot();
            apply_file(&store, &file(1, 1, 40), 2).expect("second");
            let newest = store.text();
            store.inner.restore(copy);
            store.inner.fault_in(call, fault);
            let old = file(1, 1, 30);
            let fleet = fleet(&[(1, 1, &old), (2, 2, &newest)]);
            let routers = [router(1), router(2), router(3)];
            let header = restore(&store, &NoPause, &fleet, &routers, KEY);
            let header = header.unwrap_or_else(|error| panic!("{fault:?} at {call}: {error}"));
            assert_eq!(header.generation, 2);
            assert_eq!(store.text(), newest, "{fault:?} at {call}");
        }
    }
}

#[test]
fn a_service_that_lost_nothing_is_left_alone() {
    let store = Recorded::new();
    let text = store.text();
    let fleet = fleet(&[(1, 1, &text)]);
    let error = restore(&store, &NoPause, &fleet, &[router(1)], KEY).expect_err("not behind");
    assert!(matches!(error, RestoreError::NotBehind { .. }), "{error}");
}

#[test]
fn nothing_is_put_back_from_nobody_or_from_faults() {
    let store = Recorded::new();
    let error = restore(&store, &NoPause, &fleet(&[]), &[router(1)], KEY).expect_err("nobody");
    assert!(matches!(error, RestoreError::NoRouter), "{error}");
    let fleet = fleet(&[(1, 9, "[document]\n")]);
    let error = restore(&store, &NoPause, &fleet, &[router(1)], KEY).expect_err("faults");
    assert!(matches!(error, RestoreError::Invalid { .. }), "{error}");
    assert_eq!(store.history().len(), 1);
}
