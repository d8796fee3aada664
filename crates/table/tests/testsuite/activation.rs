//! The generation in force never goes back, and an invalid document never comes into force.

use std::sync::Arc;
use std::time::Duration;

use primrose_core::table::Table;
use primrose_support::seeded::checker;
use primrose_table::activation::Accepted;
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

fn store(asked: u64, value: Vec<u8>) -> Event {
    let value = Some(value);
    Event::Store { asked, value }
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

/// Starts with generation 5, change 1, from the store.
fn at_five() -> ActiveDocument<Table> {
    let mut active = ActiveDocument::new("tables");
    let actions = active.decide(store(0, text(5, 1)), NOW);
    assert!(matches!(actions[..], [Action::Use(_)]));
    active
}

/// What one event does, in short words.
fn outcome(actions: &[Action<Table>]) -> Vec<&'static str> {
    let word = |action: &Action<Table>| match action {
        Action::Use(_) => "use",
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
    does: &'static [&'static [&'static str]],
    generation: u64,
}

#[test]
fn each_candidate_meets_the_rules() {
    let absent = |asked| Event::Store { asked, value: None };
    let cases = [
        Case {
            name: "newer from the store",
            events: vec![store(5, text(6, 2))],
            does: &[&["use"]],
            generation: 6,
        },
        Case {
            name: "newer from a peer, then the same from the store",
            events: vec![peer("p", 6, 2), fetched(text(6, 2)), store(5, text(6, 2))],
            does: &[&["fetch"], &["use"], &[]],
            generation: 6,
        },
        Case {
            name: "older from a peer",
            events: vec![peer("p", 4, 2), fetched(text(4, 2))],
            does: &[&[], &[]],
            generation: 5,
        },
        Case {
            name: "same generation, another change, reported once",
            events: vec![store(5, text(5, 2)), store(5, text(5, 2)), peer("p", 5, 2)],
            does: &[&["conflict"], &[], &[]],
            generation: 5,
        },
        Case {
            name: "invalid, reported once, and fetched from no peer",
            events: vec![store(5, invalid(6)), store(5, invalid(6)), peer("p", 6, 1)],
            does: &[&["rejected"], &[], &[]],
            generation: 5,
        },
        Case {
            name: "bytes that are no text",
            events: vec![store(5, vec![0xff, 0xfe]), fetched(vec![0xc0])],
            does: &[&["rejected"], &[]],
            generation: 5,
        },
        Case {
            name: "restored from an old copy, and put back",
            events: vec![
                store(5, text(3, 9)),
                store(5, text(3, 9)),
                store(5, text(5, 1)),
            ],
            does: &[&["behind"], &[], &["restored"]],
            generation: 5,
        },
        Case {
            name: "restored empty, then overtaken",
            events: vec![absent(5), store(5, text(7, 3))],
            does: &[&["behind"], &["use", "restored"]],
            generation: 7,
        },
        Case {
            name: "a reply that a newer document from a peer has crossed",
            events: vec![
                fetched(text(7, 3)),
                store(5, text(6, 2)),
                store(7, text(7, 3)),
            ],
            does: &[&["use"], &[], &[]],
            generation: 7,
        },
        Case {
            name: "a second peer while the first fetch is under way",
            events: vec![peer("p", 6, 2), peer("q", 6, 2), peer("q", 7, 3)],
            does: &[&["fetch"], &[], &["fetch"]],
            generation: 5,
        },
    ];
    for case in cases {
        let mut active = at_five();
        for (event, does) in case.events.into_iter().zip(case.does) {
            let actions = active.decide(event, NOW);
            assert_eq!(outcome(&actions), *does, "{}", case.name);
        }
        assert_eq!(active.generation(), case.generation, "{}", case.name);
    }
}

#[test]
fn a_starting_router_takes_it_from_a_peer() {
    let mut active: ActiveDocument<Table> = ActiveDocument::new("tables");
    assert_eq!(outcome(&active.decide(peer("p", 4, 1), NOW)), ["fetch"]);
    assert_eq!(outcome(&active.decide(peer("q", 4, 1), NOW)), [""; 0]);
    let late = NOW + FETCH_TIMEOUT;
    assert_eq!(outcome(&active.decide(peer("q", 4, 1), late)), ["fetch"]);
    assert_eq!(outcome(&active.decide(fetched(text(4, 1)), late)), ["use"]);
    // The service comes back with what it had before the outage.
    assert_eq!(outcome(&active.decide(store(0, text(4, 1)), late)), [""; 0]);
    assert_eq!(active.status().header, Some(header(4, 1)));
}

#[test]
fn a_rejected_document_is_shown_until_it_is_mended() {
    let mut active = at_five();
    active.decide(store(5, invalid(6)), NOW);
    let rejected = active.status().rejected.expect("rejected");
    assert_eq!(rejected.header, Some(header(6, 1)));
    assert_eq!(rejected.faults.0[0].line, 4);
    active.decide(store(5, text(7, 1)), NOW);
    assert_eq!(active.status().rejected, None);
    active.decide(store(7, invalid(8)), NOW);
    active.decide(store(7, text(7, 1)), NOW);
    assert_eq!(active.status().rejected, None, "taken back in the service");
    active.decide(store(7, invalid(8)), NOW);
    active.decide(store(7, text(3, 1)), NOW);
    assert_eq!(
        active.status().rejected,
        None,
        "an old copy stands there now"
    );
    active.decide(store(7, invalid(8)), NOW);
    let value = None;
    active.decide(Event::Store { asked: 7, value }, NOW);
    assert_eq!(active.status().rejected, None, "nothing stands there now");
}

#[test]
fn what_was_begun_with_stays_as_it_was() {
    let mut active = at_five();
    let begun: Arc<Accepted<Table>> = Arc::clone(active.current().expect("in force"));
    active.decide(store(5, text(6, 2)), NOW);
    assert_eq!(begun.header, header(5, 1));
    assert_eq!(begun.content.generation, 5);
    assert_eq!(begun.text.as_bytes(), text(5, 1));
}

/// One thing that a router may hear.
#[derive(Debug, Clone)]
enum Heard {
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

impl Arbitrary for Heard {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Store(u64::arbitrary(g) % 8, candidate(g)),
            4 => Self::Absent(u64::arbitrary(g) % 8),
            5 => Self::Peer(u64::arbitrary(g) % 8, u64::arbitrary(g) % 3),
            _ => Self::Fetched(candidate(g)),
        }
    }
}

fn event(heard: Heard, active: &ActiveDocument<Table>) -> Event {
    // A read can only have begun at a generation that was in force by now.
    let past = |asked: u64| asked.min(active.generation());
    match heard {
        Heard::Store(asked, value) => store(past(asked), value),
        Heard::Absent(asked) => Event::Store {
            asked: past(asked),
            value: None,
        },
        Heard::Peer(generation, change) => peer("p", generation, change),
        Heard::Fetched(value) => fetched(value),
    }
}

/// Returns the generation of a document that may come into force.
fn valid_generation(heard: &Heard) -> Option<u64> {
    let (Heard::Store(_, value) | Heard::Fetched(value)) = heard else {
        return None;
    };
    let text = std::str::from_utf8(value).ok()?;
    let document = primrose_table::document::Document::parse("t", text).ok()?;
    Some(document.table.generation)
}

#[test]
fn any_interleaving_goes_forward_and_holds_valid_documents() {
    fn holds(all: Vec<Heard>) -> bool {
        let mut active: ActiveDocument<Table> = ActiveDocument::new("tables");
        let mut newest = None;
        for heard in all {
            let before = active.status().header;
            newest = newest.max(valid_generation(&heard));
            let event = event(heard, &active);
            let actions = active.decide(event, NOW);
            let after = active.status().header;
            let used = actions
                .iter()
                .any(|action| matches!(action, Action::Use(_)));
            let forward = before.map(|one| one.generation) < after.map(|one| one.generation);
            // It changes only by a step forward, which is announced, and misses no valid document.
            let kept = before == after && !used;
            if !(kept || forward && used) || after.map(|one| one.generation) != newest {
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
        .quickcheck(holds as fn(Vec<Heard>) -> bool);
}
