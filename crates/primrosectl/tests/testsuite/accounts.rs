//! Tests that account keys are added and removed once, also under faults and concurrent edits.

use primrose_store::memory::Fault;
use primrose_table::accounts::KeyHash;
use primrosectl::ops::accounts::edit;
use primrosectl::ops::accounts::list;
use primrosectl::ops::accounts::AccountEdit;
use primrosectl::ops::accounts::AccountsError;

use crate::support::NoSleep;
use crate::support::RecordingStore;
use crate::support::FAULTS;

const KEY: &str = "test/accounts";

fn add(account: &str, label: &str) -> AccountEdit {
    AccountEdit::Add {
        account: account.to_owned(),
        label: label.to_owned(),
        hash: KeyHash::of(format!("{account}/{label}").as_bytes()),
    }
}

fn find_account(store: &RecordingStore, key: &str) -> Option<String> {
    let accounts = list(store, &NoSleep, KEY).expect("no fault");
    accounts.find(key.as_bytes()).cloned()
}

#[test]
fn old_and_new_key_are_both_valid_during_rotation() {
    let store = RecordingStore::new();
    edit(&store, &NoSleep, KEY, &add("parish", "old"), 1).expect("first");
    edit(&store, &NoSleep, KEY, &add("parish", "new"), 2).expect("second");
    assert_eq!(
        find_account(&store, "parish/old").as_deref(),
        Some("parish")
    );
    assert_eq!(
        find_account(&store, "parish/new").as_deref(),
        Some("parish")
    );
    let remove = AccountEdit::RemoveKey {
        account: "parish".to_owned(),
        label: "old".to_owned(),
    };
    let header = edit(&store, &NoSleep, KEY, &remove, 3).expect("third");
    assert_eq!(header.generation, 3);
    assert_eq!(find_account(&store, "parish/old"), None);
    assert_eq!(
        find_account(&store, "parish/new").as_deref(),
        Some("parish")
    );
}

#[test]
fn invalid_edits_are_rejected() {
    let store = RecordingStore::new();
    edit(&store, &NoSleep, KEY, &add("parish", "k"), 1).expect("first");
    let absent = AccountEdit::Remove {
        account: "nobody".to_owned(),
    };
    let cases = [
        (add("parish", "k"), "account parish has a key k already"),
        (add("a parish", "k"), "expected a name"),
        (add("parish", ""), "expected a name"),
        (absent, "there is no account nobody"),
    ];
    for (bad, shown) in cases {
        let error = edit(&store, &NoSleep, KEY, &bad, 2).expect_err(shown);
        assert!(error.to_string().starts_with(shown), "{error}");
    }
}

#[test]
fn edit_is_repeated_on_top_of_a_concurrent_edit() {
    let store = RecordingStore::new();
    edit(&store, &NoSleep, KEY, &add("first", "k"), 1).expect("first");
    store.before_call(
        3,
        Box::new(|store| {
            edit(store, &NoSleep, KEY, &add("other", "k"), 2).expect("other");
        }),
    );
    let header = edit(&store, &NoSleep, KEY, &add("ours", "k"), 3).expect("ours");
    assert_eq!(header.generation, 3);
    for account in ["first", "other", "ours"] {
        assert!(
            find_account(&store, &format!("{account}/k")).is_some(),
            "{account}"
        );
    }
}

#[test]
fn key_is_added_once_under_every_fault_at_every_call() {
    for call in 1..=5 {
        for fault in FAULTS {
            let store = RecordingStore::new();
            edit(&store, &NoSleep, KEY, &add("first", "k"), 1).expect("first");
            store.inner.fault_in(call, fault);
            let result = edit(&store, &NoSleep, KEY, &add("ours", "k"), 2);
            let header = result.unwrap_or_else(|error| panic!("{fault:?} at {call}: {error}"));
            assert_eq!(header.generation, 2, "{fault:?} at {call}");
            store.history();
            assert!(
                find_account(&store, "first/k").is_some(),
                "{fault:?} at {call}"
            );
            assert!(
                find_account(&store, "ours/k").is_some(),
                "{fault:?} at {call}"
            );
        }
    }
}

#[test]
fn outage_changes_nothing() {
    let store = RecordingStore::new();
    for call in 1..=20 {
        store.inner.fault_in(call, Fault::Refused);
    }
    let error = edit(&store, &NoSleep, KEY, &add("ours", "k"), 2).expect_err("down");
    assert!(matches!(error, AccountsError::Store { .. }), "{error}");
}
