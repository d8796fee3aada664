//! Accounts are found only by their own keys.

use primrose_support::seeded::checker;
use primrose_table::accounts::Accounts;
use primrose_table::accounts::KeyHash;
use primrose_table::header::Header;
use primrose_table::header::MAX_GENERATION;

/// SHA-256 of "foo" and of "bar", from FIPS 180-4 tools.
const FOO: &str = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae";
const BAR: &str = "fcde2b2edba56bf408601fb721fe9b5c338d10ee429ea04fae5511b68fbf8fb9";

struct Case {
    body: String,
    shown: &'static str,
}

fn document(body: &str) -> String {
    format!("[document]\ngeneration = 4\n{body}")
}

#[test]
fn each_key_finds_its_account() {
    let body =
        format!("[account a]\nkey-sha256.old = {FOO}\nkey-sha256.new = {BAR}\n[account none]\n");
    let accounts = Accounts::parse("a.ini", &document(&body)).expect("valid");
    assert_eq!(accounts.find(b"foo").map(String::as_str), Some("a"));
    assert_eq!(accounts.find(b"bar").map(String::as_str), Some("a"));
    assert_eq!(accounts.find(b"baz"), None);
    assert_eq!(accounts.find(FOO.as_bytes()), None, "a hash is no key");
    assert!(accounts.list()["none"].is_empty());
}

#[test]
fn faults_are_reported_with_their_location() {
    let cases = [
        Case {
            body: format!("[account a]\nkey-sha256.k = {}\n", &FOO[2..]),
            shown: "a.ini:4: [account a] key-sha256.k: expected the SHA-256 of a key, 64",
        },
        Case {
            body: format!("[account a]\nkey-sha256.k = +{}\n", &FOO[1..]),
            shown: "a.ini:4: [account a] key-sha256.k: expected the SHA-256 of a key, 64",
        },
        Case {
            body: format!("[account a]\nkey-sha256.k = {FOO}\n[account b]\nkey-sha256.k = {FOO}\n"),
            shown: "a.ini:6: [account b] key-sha256.k: expected a key that no other label or account has, found the hash of a key of a",
        },
        Case {
            body: "[account a]\nkey = foo\n".to_owned(),
            shown: "a.ini:4: [account a] key: expected one of key-sha256.LABEL, found",
        },
        Case {
            body: "[account a b]\n".to_owned(),
            shown: "a.ini:3: [account a b] expected a name of up to 64",
        },
        Case {
            body: "[user a]\n".to_owned(),
            shown: "a.ini:3: [user a] expected [document] or [account NAME]",
        },
    ];
    for case in cases {
        let faults = Accounts::parse("a.ini", &document(&case.body)).expect_err(case.shown);
        let shown = faults.to_string();
        assert!(shown.starts_with(case.shown), "{shown}\n{}", case.shown);
    }
}

#[test]
fn a_removed_key_finds_no_account() {
    let mut accounts = Accounts::default();
    assert!(accounts.add_key("a", "one", KeyHash::of(b"foo")));
    assert!(accounts.add_key("a", "two", KeyHash::of(b"bar")));
    assert!(
        !accounts.add_key("a", "one", KeyHash::of(b"baz")),
        "label taken"
    );
    assert!(
        !accounts.add_key("b", "one", KeyHash::of(b"foo")),
        "key taken"
    );
    assert!(accounts.remove_key("a", "one"));
    assert!(!accounts.remove_key("a", "one"));
    assert_eq!(accounts.find(b"foo"), None);
    assert!(accounts.remove_account("a"));
    assert_eq!(accounts.find(b"bar"), None);
    assert!(!accounts.remove_account("a"));
}

#[test]
fn accounts_round_trip() {
    fn holds(keys: Vec<(u8, u8, u16)>, generation: u64, change: u64) -> bool {
        let mut accounts = Accounts::default();
        let generation = generation % MAX_GENERATION;
        accounts.header = Header { generation, change };
        for (account, label, key) in keys {
            let hash = KeyHash::of(&key.to_le_bytes());
            accounts.add_key(&format!("a-{}", account % 8), &format!("{label}"), hash);
        }
        Accounts::parse("a.ini", &accounts.render()) == Ok(accounts)
    }
    checker().quickcheck(holds as fn(Vec<(u8, u8, u16)>, u64, u64) -> bool);
}

#[test]
fn arbitrary_text_never_panics() {
    fn holds(text: String, hash: String) -> bool {
        let body = format!("[account a]\nkey-sha256.k = {hash}\n{text}");
        let result = Accounts::parse("a.ini", &document(&body));
        result.map_or_else(|faults| !faults.0.is_empty(), |_| true)
    }
    checker().quickcheck(holds as fn(String, String) -> bool);
}
