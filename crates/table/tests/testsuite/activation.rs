//! The generation in force never decreases, and an invalid document never comes into force.

use std::sync::Arc;
use std::time::Duration;

use primrose_core::table::Table;
use primrose_support::seeded::checker;
use primrose_table::activation::AcceptedDocument;
use primrose_table::activation::Action;
use primrose_table::activation::ActiveDocument;
use primrose_table::activation::Event;
use primrose_table::activation::Report;
use primrose_table::activation::FETCH_TIMEOUT;
use primrose_table::header::Header;
use quickcheck::Arbitrary;
use quickcheck::Gen;

const NOW: Duration = Duration::from_secs(1);

fn text(generation: u64, change: u64) -> Vec<u8> {
    format!("[document]\ngeneration = {generation}\nchange = {change:x}\n").into_bytes()
}

fn invalid(generation: u64) -> Vec<u8> {
    let mut text = text(generation, 1);
    text.extend(b"[route chat]\nmodel = small\n");
    text
}

fn header(generation: u64, change: u64) -> Header {
    Header { generation, change }
}

fn store(generation_at_read: u64, value: Vec<u8>) -> Event {
    let value = Some(value);
    Event::Store {
        generation_at_read,
        value,
    }
}

fn fetched(value: Vec<u8>) -> Event {
    let host = "peer".to_owned();
    Event::Fetched { host, value }
}

fn peer(host: &str, generation: u64, change: u64) -> Event {
    Event::Peer {
        host: host.to_owned(),
        header: header(generation, change),
    }
}

/// Returns an instance with generation 5, change 1, from the store in force.
fn active_at_generation_five() -> ActiveDocument<Table> {
    let mut active = ActiveDocument::new("tables");
    let actions = active.decide(store(0, text(5, 1)), NOW);
    assert!(matches!(actions[..], [Action::Activate(_)]));
    active
}

/// Names the actions that one event caused.
fn outcome(actions: &[Action<Table>]) -> Vec<&'static str> {
    let word = |action: &Action<Table>| match action {
        Action::Activate(_) => "activate",
        Action::Fetch(_) => "fetch",
        Action::Report(Report::Rejected(_)) => "rejected",
        Action::Report(Report::Conflict(_)) => "conflict",
        Action::Report(Report::Behind(_)) => "behind",
        Action::Report(Report::Restored(_)) => "restored",
    };
    actions.iter().map(word).collect()
}

struct Case {
    name: &'static str,
    events: Vec<Event>,
    outcomes: &'static [&'static [&'static str]],
    generation: u64,
}

#[test]
fn each_candidate_is_activated_rejected_or_reported() {
    let absent = |generation_at_read| Event::Store {
        generation_at_read,
        value: None,
    };
    let cases = [
        Case {
            name: "newer from the store",
            events: vec![store(5, text(6, 2))],
            outcomes: &[&["activate"]],
            generation: 6,
        },
        Case {
            name: "newer from a peer, then the same from the store",
            events: vec![peer("p", 6, 2), fetched(text(6, 2)), store(5, text(6, 2))],
            outcomes: &[&["fetch"], &["activate"], &[]],
            generation: 6,
        },
        Case {
            name: "older from a peer",
            events: vec![peer("p", 4, 2), fetched(text(4, 2))],
            outcomes: &[&[], &[]],
            generation: 5,
        },
        Case {
            name: "same generation, another change, reported once",
            events: vec![store(5, text(5, 2)), store(5, text(5, 2)), peer("p", 5, 2)],
            outcomes: &[&["conflict"], &[], &[]],
            generation: 5,
        },
        Case {
            name: "invalid, reported once, and fetched from no peer",
            events: vec![store(5, invalid(6)), store(5, invalid(6)), peer("p", 6, 1)],
            outcomes: &[&["rejected"], &[], &[]],
            generation: 5,
        },
        Case {
            name: "bytes that are not UTF-8",
            events: vec![store(5, vec![0xff, 0xfe]), fetched(vec![0xc0])],
            outcomes: &[&["rejected"], &[]],
            generation: 5,
        },
        Case {
            name: "service restored from an old copy, then document restored",
            events: vec![
                store(5, text(3, 9)),
                store(5, text(3, 9)),
                store(5, text(5, 1)),
            ],
            outcomes: &[&["behind"], &[], &["restored"]],
            generation: 5,
        },
        Case {
            name: "service restored empty, then given a newer document",
            events: vec![absent(5), store(5, text(7, 3))],
            outcomes: &[&["behind"], &["activate", "restored"]],
            generation: 7,
        },
        Case {
            name: "newer document from a peer during a read",
            events: vec![
                fetched(text(7, 3)),
                store(5, text(6, 2)),
                store(7, text(7, 3)),
            ],
            outcomes: &[&["activate"], &[], &[]],
            generation: 7,
        },
        Case {
            name: "a second peer while the first fetch is in flight",
            events: vec![peer("p", 6, 2), peer("q", 6, 2), peer("q", 7, 3)],
            outcomes: &[&["fetch"], &[], &["fetch"]],
            generation: 5,
        },
    ];
    for case in cases {
        let mut active = active_at_generation_five();
        for (event, outcomes) in case.events.into_iter().zip(case.outcomes) {
            let actions = active.decide(event, NOW);
            assert_eq!(outcome(&actions), *outcomes, "{}", case.name);
        }
        assert_eq!(active.generation(), case.generation, "{}", case.name);
    }
}

#[test]
fn a_starting_router_fetches_the_document_from_a_peer() {
    let mut active: ActiveDocument<Table> = ActiveDocument::new("tables");
    assert_eq!(outcome(&active.decide(peer("p", 4, 1), NOW)), ["fetch"]);
    assert_eq!(outcome(&active.decide(peer("q", 4, 1), NOW)), [""; 0]);
    let late = NOW + FETCH_TIMEOUT;
    assert_eq!(outcome(&active.decide(peer("q", 4, 1), late)), ["fetch"]);
    assert_eq!(
        outcome(&active.decide(fetched(text(4, 1)), late)),
        ["activate"]
    );
    // The service returns with the document that it held before the outage.
    assert_eq!(outcome(&active.decide(store(0, text(4, 1)), late)), [""; 0]);
    assert_eq!(active.status().header, Some(header(4, 1)));
}

#[test]
fn a_rejected_document_is_shown_until_it_is_replaced() {
    let mut active = active_at_generation_five();
    active.decide(store(5, invalid(6)), NOW);
    let rejected = active.status().rejected.expect("rejected");
    assert_eq!(rejected.header, Some(header(6, 1)));
    assert_eq!(rejected.faults.0[0].line, 4);
    active.decide(store(5, text(7, 1)), NOW);
    assert_eq!(active.status().rejected, None);
    active.decide(store(7, invalid(8)), NOW);
    active.decide(store(7, text(7, 1)), NOW);
    assert_eq!(active.status().rejected, None, "replaced in the service");
    active.decide(store(7, invalid(8)), NOW);
    active.decide(store(7, text(3, 1)), NOW);
    assert_eq!(active.status().rejected, None, "replaced by an old copy");
    active.decide(store(7, invalid(8)), NOW);
    let value = None;
    active.decide(
        Event::Store {
            generation_at_read: 7,
            value,
        },
        NOW,
    );
    assert_eq!(active.status().rejected, None, "the key is absent now");
}

#[test]
fn a_document_in_use_stays_unchanged_after_a_new_activation() {
    let mut active = active_at_generation_five();
    let in_use: Arc<AcceptedDocument<Table>> = Arc::clone(active.current().expect("in force"));
    active.decide(store(5, text(6, 2)), NOW);
    assert_eq!(in_use.header, header(5, 1));
    assert_eq!(in_use.content.generation, 5);
    assert_eq!(in_use.text.as_bytes(), text(5, 1));
}

/// A random event for a router.
#[derive(Debug, Clone)]
enum Input {
    Store(u64, Vec<u8>),
    Absent(u64),
    Peer(u64, u64),
    Fetched(Vec<u8>),
}

/// A valid document, an invalid one, or garbage.
fn candidate(g: &mut Gen) -> Vec<u8> {
    let generation = u64::arbitrary(g) % 8;
    match u8::arbitrary(g) % 8 {
        0 => Vec::arbitrary(g),
        1 | 2 => invalid(generation),
        _ => text(generation, u64::arbitrary(g) % 3),
    }
}

impl Arbitrary for Input {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Store(u64::arbitrary(g) % 8, candidate(g)),
            4 => Self::Absent(u64::arbitrary(g) % 8),
            5 => Self::Peer(u64::arbitrary(g) % 8, u64::arbitrary(g) % 3),
            _ => Self::Fetched(candidate(g)),
        }
    }
}

fn event(input: Input, active: &ActiveDocument<Table>) -> Event {
    // A read cannot have started at a generation above the one in force.
    let clamped = |generation_at_read: u64| generation_at_read.min(active.generation());
    match input {
        Input::Store(generation_at_read, value) => store(clamped(generation_at_read), value),
        Input::Absent(generation_at_read) => Event::Store {
            generation_at_read: clamped(generation_at_read),
            value: None,
        },
        Input::Peer(generation, change) => peer("p", generation, change),
        Input::Fetched(value) => fetched(value),
    }
}

/// Returns the generation of the input's document, if that is valid.
fn valid_generation(input: &Input) -> Option<u64> {
    let (Input::Store(_, value) | Input::Fetched(value)) = input else {
        return None;
    };
    let text = std::str::from_utf8(value).ok()?;
    let document = primrose_table::document::Document::parse("t", text).ok()?;
    Some(document.table.generation)
}

#[test]
fn the_generation_only_increases_to_valid_documents_in_any_interleaving() {
    fn holds(all: Vec<Input>) -> bool {
        let mut active: ActiveDocument<Table> = ActiveDocument::new("tables");
        let mut newest = None;
        for input in all {
            let before = active.status().header;
            newest = newest.max(valid_generation(&input));
            let event = event(input, &active);
            let actions = active.decide(event, NOW);
            let after = active.status().header;
            let activated = actions
                .iter()
                .any(|action| matches!(action, Action::Activate(_)));
            let forward = before.map(|one| one.generation) < after.map(|one| one.generation);
            // The document changes only to a higher generation, together with an `Activate` action,
            // and no newer valid document is missed.
            let kept = before == after && !activated;
            if !(kept || forward && activated) || after.map(|one| one.generation) != newest {
                return false;
            }
            let current = active.current();
            let whole = current.is_none_or(|one| {
                primrose_table::document::Document::parse("t", &one.text).is_ok()
            });
            if !whole {
                return false;
            }
        }
        true
    }
    checker()
        .tests(2000)
        .quickcheck(holds as fn(Vec<Input>) -> bool);
}
