//! Tests of restoring the tables from the routers, after the key-value service fell back to an old copy.

use primrose_table::header::Header;
use primrosectl::ops::restore::restore;
use primrosectl::ops::restore::RestoreError;

use crate::fleet::router;
use crate::fleet::FakeFleet;
use crate::support::apply_file;
use crate::support::file;
use crate::support::NoSleep;
use crate::support::RecordingStore;
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
fn newest_tables_in_force_are_restored_under_every_fault() {
    for call in 1..=5 {
        for fault in FAULTS {
            let store = RecordingStore::new();
            let copy = store.inner.snapshot();
            apply_file(&store, &file(1, 1, 40), 2).expect("second");
            let newest = store.text();
            store.inner.restore(copy);
            store.inner.fault_in(call, fault);
            let old = file(1, 1, 30);
            let fleet = fleet(&[(1, 1, &old), (2, 2, &newest)]);
            let routers = [router(1), router(2), router(3)];
            let header = restore(&store, &NoSleep, &fleet, &routers, KEY);
            let header = header.unwrap_or_else(|error| panic!("{fault:?} at {call}: {error}"));
            assert_eq!(header.generation, 2);
            assert_eq!(store.text(), newest, "{fault:?} at {call}");
        }
    }
}

#[test]
fn restore_fails_if_the_service_lost_nothing() {
    let store = RecordingStore::new();
    let text = store.text();
    let fleet = fleet(&[(1, 1, &text)]);
    let error = restore(&store, &NoSleep, &fleet, &[router(1)], KEY).expect_err("not behind");
    assert!(matches!(error, RestoreError::NotBehind { .. }), "{error}");
}

#[test]
fn restore_changes_nothing_without_a_router_or_with_an_invalid_document() {
    let store = RecordingStore::new();
    let error = restore(&store, &NoSleep, &fleet(&[]), &[router(1)], KEY).expect_err("nobody");
    assert!(matches!(error, RestoreError::NoRouter), "{error}");
    let fleet = fleet(&[(1, 9, "[document]\n")]);
    let error = restore(&store, &NoSleep, &fleet, &[router(1)], KEY).expect_err("faults");
    assert!(matches!(error, RestoreError::Invalid { .. }), "{error}");
    assert_eq!(store.history().len(), 1);
}
