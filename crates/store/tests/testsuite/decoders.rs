//! Decoders never panic on any reply.

use primrose_core::host::HostState;
use primrose_store::consul::decode_entries;
use primrose_store::consul::decode_hosts;
use primrose_store::consul::decode_lease;
use primrose_store::consul::decode_txn;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Cases of each property; the size of the generator limits the length of a mutation.
const CASES: u64 = 2_000;
const GEN_SIZE: usize = 64;
const SEED: u64 = 1;

const SAMPLES: [&str; 4] = [
    r#"[{"LockIndex":3,"Key":"a/b","Flags":0,"Value":"dGV4dA==","Session":"s1","CreateIndex":1,"ModifyIndex":9}]"#,
    r#"{"Results":[{"KV":{"LockIndex":1,"Key":"a","Value":null,"ModifyIndex":4}}],"Errors":null}"#,
    r#"{"Results":null,"Errors":[{"OpIndex":2,"What":"stale"},{"OpIndex":1,"What":"held"}]}"#,
    r#"[{"Node":{"Node":"h1","Address":"10.0.0.1"},"Service":{"Service":"x","Address":"","Port":80,"Meta":{"zone":"habra","state":"leaving","incarnation":"7"}},"Checks":[{"CheckID":"serfHealth","Status":"passing"}]}]"#,
];

fn decode_all(bytes: &[u8]) {
    // Only panics matter here; other tests check the results.
    let _ = decode_entries(bytes);
    let _ = decode_hosts(bytes);
    let _ = decode_lease(bytes);
    let _ = decode_txn(bytes);
}

#[test]
fn arbitrary_bytes_never_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        decode_all(&bytes);
        true
    }
    QuickCheck::new()
        .tests(CASES)
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn corrupted_replies_never_panic() {
    fn property(sample: usize, at: usize, bytes: Vec<u8>) -> bool {
        let mut reply = SAMPLES[sample % SAMPLES.len()].as_bytes().to_vec();
        let start = at % reply.len();
        let end = (start + bytes.len()).min(reply.len());
        reply.splice(start..end, bytes);
        decode_all(&reply);
        true
    }
    QuickCheck::new()
        .tests(CASES)
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .quickcheck(property as fn(usize, usize, Vec<u8>) -> bool);
}

#[test]
fn samples_decode_to_their_values() {
    let entry = decode_entries(SAMPLES[0].as_bytes()).unwrap().remove(0);
    assert_eq!(
        (entry.key.as_str(), entry.value.as_slice()),
        ("a/b", &b"text"[..])
    );
    assert_eq!((entry.version, entry.fence), (9, 3));
    assert_eq!(entry.lease.as_deref(), Some("s1"));

    let conflict = format!("{:?}", decode_txn(SAMPLES[2].as_bytes()).unwrap());
    assert!(conflict.contains("op: 1"), "{conflict}");

    let host = decode_hosts(SAMPLES[3].as_bytes()).unwrap().remove(0);
    assert_eq!((host.id.as_str(), host.zone.as_str()), ("h1", "habra"));
    assert_eq!(host.addr, "10.0.0.1:80".parse().unwrap());
    assert_eq!((host.state, host.incarnation), (HostState::Leaving, 7));
}

#[test]
fn a_corrupted_value_is_an_error_and_not_an_empty_value() {
    let reply = r#"[{"Key":"a","Value":"dGV4*","ModifyIndex":9}]"#;
    assert!(decode_entries(reply.as_bytes()).is_err());
}

#[test]
fn checks_decide_whether_a_host_is_live_leaving_or_skipped() {
    struct Case {
        check: &'static str,
        status: &'static str,
        state: Option<HostState>,
    }
    let cases = [
        Case {
            check: "serfHealth",
            status: "passing",
            state: Some(HostState::Live),
        },
        Case {
            check: "service:x",
            status: "warning",
            state: Some(HostState::Live),
        },
        Case {
            check: "serfHealth",
            status: "critical",
            state: None,
        },
        Case {
            check: "_service_maintenance:x",
            status: "critical",
            state: Some(HostState::Leaving),
        },
        Case {
            check: "_node_maintenance",
            status: "critical",
            state: Some(HostState::Leaving),
        },
    ];
    for case in cases {
        let reply = format!(
            r#"[{{"Node":{{"Node":"h1","Address":"10.0.0.1"}},"Service":{{"Service":"x","Port":80}},"Checks":[{{"CheckID":"{}","Status":"{}"}}]}}, 7]"#,
            case.check, case.status
        );
        let hosts = decode_hosts(reply.as_bytes()).unwrap();
        let state = hosts.first().map(|host| host.state);
        assert_eq!(state, case.state, "{} {}", case.check, case.status);
    }
}

/// Guards against a host list that is not followed any more for one odd registration in it.
#[test]
fn an_odd_registration_does_not_hide_the_other_hosts() {
    const NESTING: usize = 10_000;
    let nested = "[".repeat(NESTING) + &"]".repeat(NESTING);
    let odd = [
        nested.as_str(),
        "1e999",
        "-1e999",
        "18446744073709551616",
        r#"{"Node":{"Node":"h0","Address":"10.0.0.9"},"Service":{"Service":"x","Port":70000}}"#,
        r#"{"Node":{"Node":"h0","Address":"10.0.0.9"},"Service":{"Service":"x","Port":1e999}}"#,
        r#"{"Node":{"Node":"h0","Address":"nowhere"},"Service":{"Service":"x","Port":80}}"#,
        "null",
    ];
    let good = r#"{"Node":{"Node":"h1","Address":"10.0.0.1"},"Service":{"Service":"x","Port":80}}"#;
    for odd in odd {
        let reply = format!("[{odd},{good}]");
        let hosts = decode_hosts(reply.as_bytes());
        let name = &odd[..odd.len().min(90)];
        let ids: Vec<String> = hosts
            .unwrap_or_else(|error| panic!("{name}: {error}"))
            .into_iter()
            .map(|host| host.id)
            .collect();
        assert_eq!(ids, ["h1"], "{name}");
    }
}
