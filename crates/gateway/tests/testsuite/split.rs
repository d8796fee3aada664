//! Splitting of a byte stream into complete events, however the bytes are cut into blocks.

use primrose_gateway::split::Splitter;
use quickcheck::quickcheck;

struct Case {
    name: &'static str,
    blocks: Vec<&'static str>,
    returned: &'static str,
    last_event_id: Option<u64>,
    has_partial_event: bool,
}

#[test]
fn only_complete_events_are_returned() {
    let cases = vec![
        Case {
            name: "one event in one block",
            blocks: vec!["id: 1\ndata: a\n\n"],
            returned: "id: 1\ndata: a\n\n",
            last_event_id: Some(1),
            has_partial_event: false,
        },
        Case {
            name: "an incomplete event",
            blocks: vec!["id: 1\ndata: a\n\nid: 2\ndata"],
            returned: "id: 1\ndata: a\n\n",
            last_event_id: Some(1),
            has_partial_event: true,
        },
        Case {
            name: "the blank line comes later",
            blocks: vec!["id: 7\ndata: a\n", "\n"],
            returned: "id: 7\ndata: a\n\n",
            last_event_id: Some(7),
            has_partial_event: false,
        },
        Case {
            name: "carriage returns",
            blocks: vec!["id: 1\r\ndata: a\r\n\r\nid: 2\r\n"],
            returned: "id: 1\r\ndata: a\r\n\r\n",
            last_event_id: Some(1),
            has_partial_event: true,
        },
        Case {
            name: "several tokens in one event, and a line before the id",
            blocks: vec!["versions: 3\nid: 4\ndata: a\ndata: b\n\nid: 5\ndata: c\n\n"],
            returned: "versions: 3\nid: 4\ndata: a\ndata: b\n\nid: 5\ndata: c\n\n",
            last_event_id: Some(5),
            has_partial_event: false,
        },
        Case {
            name: "nothing",
            blocks: vec!["", ""],
            returned: "",
            last_event_id: None,
            has_partial_event: false,
        },
    ];
    for case in cases {
        let mut splitter = Splitter::starting_after(None);
        let mut returned = Vec::new();
        for block in case.blocks {
            returned.extend(splitter.push(block.as_bytes()).unwrap_or_default());
        }
        assert_eq!(returned, case.returned.as_bytes(), "{}", case.name);
        assert_eq!(
            splitter.last_event_id(),
            case.last_event_id,
            "{}",
            case.name
        );
        assert_eq!(
            splitter.has_partial_event(),
            case.has_partial_event,
            "{}",
            case.name
        );
    }
}

quickcheck! {
    fn block_boundaries_do_not_affect_the_events(events: Vec<u8>, cuts: Vec<usize>) -> bool {
        let mut input = String::new();
        for (number, event) in events.iter().enumerate() {
            input.push_str(&format!("id: {number}\ndata: {event}\n\n"));
        }
        let mut splitter = Splitter::starting_after(None);
        let mut returned = Vec::new();
        let mut remaining = input.as_bytes();
        for cut in cuts {
            let (block, rest) = remaining.split_at(cut % (remaining.len() + 1));
            returned.extend(splitter.push(block).unwrap_or_default());
            remaining = rest;
        }
        returned.extend(splitter.push(remaining).unwrap_or_default());
        returned == input.as_bytes() && !splitter.has_partial_event()
    }
}
