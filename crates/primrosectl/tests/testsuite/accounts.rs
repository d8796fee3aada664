//! Keys of accounts are added and removed once, also when others change accounts at the same time.

use primrose_store::memory::Fault;
use primrose_table::accounts::KeyHash;
use primrosectl::ops::accounts::edit;
use primrosectl::ops::accounts::list;
use primrosectl::ops::accounts::AccountEdit;
use primrosectl::ops::accounts::AccountsError;

use crate::support::NoSleep;
use crate::support::Recorded;
use crate::support::FAULTS;

const KEY: &str = "test/accounts";

fn add(account: &str, label: &str) -> AccountEdit {
    AccountEdit::Add {
        account: account.to_owned(),
        label: label.to_owned(),
        hash: KeyHash::of(format!("{account}/{label}").as_bytes()),
    }
}

fn found(store: &Recorded, key: &str) -> Option<String> {
    let accounts = list(store, &NoSleep, KEY).expect("no fault");
    accounts.find(key.as_bytes()).cloned()
}

#[test]
fn keys_are_rotated_without_a_gap() {
    let store = Recorded::new();
    edit(&store, &NoSleep, KEY, &add("parish", "old"), 1).expect("first");
    edit(&store, &NoSleep, KEY, &add("parish", "new"), 2).expect("second");
    assert_eq!(found(&store, "parish/old").as_deref(), Some("parish"));
    assert_eq!(found(&store, "parish/new").as_deref(), Some("parish"));
    let remove = AccountEdit::RemoveKey {
        account: "parish".to_owned(),
        label: "old".to_owned(),
    };
    let header = edit(&store, &NoSleep, KEY, &remove, 3).expect("third");
    assert_eq!(header.generation, 3);
    assert_eq!(found(&store, "parish/old"), None);
    assert_eq!(found(&store, "parish/new").as_deref(), Some("parish"));
}

#[test]
fn bad_edits_are_refused() {
    let store = Recorded::new();
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
fn a_race_is_run_again_on_top_of_the_other() {
    let store = Recorded::new();
    edit(&store, &NoSleep, KEY, &add("first", "k"), 1).expect("first");
    store.meddle(
        3,
        Box::new(|store| {
            edit(store, &NoSleep, KEY, &add("other", "k"), 2).expect("other");
        }),
    );
    let header = edit(&store, &NoSleep, KEY, &add("ours", "k"), 3).expect("ours");
    assert_eq!(header.generation, 3);
    for account in ["first", "other", "ours"] {
        assert!(
            found(&store, &format!("{account}/k")).is_some(),
            "{account}"
        );
    }
}

#[test]
fn every_fault_at_every_call_adds_the_key_once() {
    for call in 1..=5 {
        for fault in FAULTS {
            let store = Recorded::new();
            edit(&store, &NoSleep, KEY, &add("first", "k"), 1).expect("first");
            store.inner.fault_in(call, fault);
            let result = edit(&store, &NoSleep, KEY, &add("ours", "k"), 2);
            let header = result.unwrap_or_else(|error| panic!("{fault:?} at {call}: {error}"));
            assert_eq!(header.generation, 2, "{fault:?} at {call}");
            store.history();
            assert!(found(&store, "first/k").is_some(), "{fault:?} at {call}");
            assert!(found(&store, "ours/k").is_some(), "{fault:?} at {call}");
        }
    }
}

#[test]
fn an_outage_changes_nothing() {
    let store = Recorded::new();
    for call in 1..=20 {
        store.inner.fault_in(call, Fault::Refused);
    }
    let error = edit(&store, &NoSleep, KEY, &add("ours", "k"), 2).expect_err("down");
    assert!(matches!(error, AccountsError::Store { .. }), "{error}");
}
