//! Whole events out of bytes that arrive anyhow.

use primrose_gateway::split::Splitter;
use quickcheck::quickcheck;

struct Case {
    name: &'static str,
    blocks: Vec<&'static str>,
    passed: &'static str,
    last: Option<u64>,
    within: bool,
}

#[test]
fn only_whole_events_are_passed_on() {
    let cases = vec![
        Case {
            name: "one event in one block",
            blocks: vec!["id: 1\ndata: a\n\n"],
            passed: "id: 1\ndata: a\n\n",
            last: Some(1),
            within: false,
        },
        Case {
            name: "an event that is not whole",
            blocks: vec!["id: 1\ndata: a\n\nid: 2\ndata"],
            passed: "id: 1\ndata: a\n\n",
            last: Some(1),
            within: true,
        },
        Case {
            name: "the blank line comes later",
            blocks: vec!["id: 7\ndata: a\n", "\n"],
            passed: "id: 7\ndata: a\n\n",
            last: Some(7),
            within: false,
        },
        Case {
            name: "carriage returns",
            blocks: vec!["id: 1\r\ndata: a\r\n\r\nid: 2\r\n"],
            passed: "id: 1\r\ndata: a\r\n\r\n",
            last: Some(1),
            within: true,
        },
        Case {
            name: "several tokens in one event, and a line before the id",
            blocks: vec!["versions: 3\nid: 4\ndata: a\ndata: b\n\nid: 5\ndata: c\n\n"],
            passed: "versions: 3\nid: 4\ndata: a\ndata: b\n\nid: 5\ndata: c\n\n",
            last: Some(5),
            within: false,
        },
        Case {
            name: "nothing",
            blocks: vec!["", ""],
            passed: "",
            last: None,
            within: false,
        },
    ];
    for case in cases {
        let mut splitter = Splitter::starting_after(None);
        let mut passed = Vec::new();
        for block in case.blocks {
            passed.extend(splitter.push(block.as_bytes()).unwrap_or_default());
        }
        assert_eq!(passed, case.passed.as_bytes(), "{}", case.name);
        assert_eq!(splitter.last_event_id(), case.last, "{}", case.name);
        assert_eq!(splitter.has_partial_event(), case.within, "{}", case.name);
    }
}

quickcheck! {
    fn the_cuts_between_blocks_do_not_matter(events: Vec<u8>, cuts: Vec<usize>) -> bool {
        let mut text = String::new();
        for (number, event) in events.iter().enumerate() {
            text.push_str(&format!("id: {number}\ndata: {event}\n\n"));
        }
        let mut splitter = Splitter::starting_after(None);
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts {
            let (block, more) = rest.split_at(cut % (rest.len() + 1));
            passed.extend(splitter.push(block).unwrap_or_default());
            rest = more;
        }
        passed.extend(splitter.push(rest).unwrap_or_default());
        passed == text.as_bytes() && !splitter.has_partial_event()
    }
}
