//! The page comes from the router that saw most.

use primrose_report::page::Gap;
use primrose_report::page::Page;
use primrose_report::page::Verdict;
use primrosectl::ops::today::fetch;

use crate::fleet::router;
use crate::fleet::FakeFleet;

/// Makes a page on which a zone was not seen for some intervals.
fn page(sentence: &str, hidden: usize) -> Page {
    let gap = Gap {
        zone: "habra".to_owned(),
        from: "10:00".to_owned(),
        to: "11:00".to_owned(),
        first: 40,
        intervals: hidden,
    };
    let verdict = Verdict {
        well: true,
        whole: hidden == 0,
        over: true,
        sentence: sentence.to_owned(),
    };
    Page {
        day: "2026-12-04".to_owned(),
        time_zone: "Asia/Kolkata".to_owned(),
        verdict,
        measures: Vec::new(),
        gaps: (hidden > 0).then_some(gap).into_iter().collect(),
        outages: Vec::new(),
        pools: Vec::new(),
        accounts: Vec::new(),
        notes: Vec::new(),
    }
}

struct Case {
    name: &'static str,
    pages: &'static [(u16, usize)],
    best: Option<u16>,
}

#[test]
fn the_page_with_the_fewest_gaps_is_taken() {
    let cases = [
        Case {
            name: "whole after one with gaps",
            pages: &[(1, 4), (3, 0)],
            best: Some(3),
        },
        Case {
            name: "fewer gaps",
            pages: &[(1, 4), (2, 2), (3, 3)],
            best: Some(2),
        },
        Case {
            name: "nobody",
            pages: &[],
            best: None,
        },
    ];
    let routers = [router(1), router(2), router(3)];
    for case in cases {
        let mut fleet = FakeFleet::default();
        for (port, hidden) in case.pages {
            let json = serde_json::to_string(&page(&port.to_string(), *hidden));
            fleet.days.insert(*port, json.expect("encodes"));
        }
        let found = fetch(&fleet, &routers, None).ok();
        let found = found.map(|page| page.verdict.sentence);
        assert_eq!(
            found,
            case.best.map(|port| port.to_string()),
            "{}",
            case.name
        );
    }
}

#[test]
fn a_page_that_cannot_be_read_is_passed_over() {
    let mut fleet = FakeFleet::default();
    fleet.days.insert(1, "{".to_owned());
    let json = serde_json::to_string(&page("whole", 0)).expect("encodes");
    let error = fetch(&fleet, &[router(1)], None).expect_err("no JSON");
    assert!(
        error
            .to_string()
            .contains("failed to read the router's answer"),
        "{error}"
    );
    fleet.days.insert(2, json);
    assert!(fetch(&fleet, &[router(1), router(2)], None).is_ok());
}
