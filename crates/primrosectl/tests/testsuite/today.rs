//! Tests that the daily page comes from the router that misses the fewest intervals.

use primrose_report::page::Gap;
use primrose_report::page::Page;
use primrose_report::page::Verdict;
use primrosectl::ops::today::fetch;

use crate::fleet::router;
use crate::fleet::FakeFleet;

/// Creates a page on which this many intervals of a zone are missing.
fn page(sentence: &str, missing: usize) -> Page {
    let gap = Gap {
        zone: "habra".to_owned(),
        from: "10:00".to_owned(),
        to: "11:00".to_owned(),
        first: 40,
        intervals: missing,
    };
    let verdict = Verdict {
        well: true,
        whole: missing == 0,
        over: true,
        sentence: sentence.to_owned(),
    };
    Page {
        day: "2026-12-04".to_owned(),
        time_zone: "Asia/Kolkata".to_owned(),
        verdict,
        measures: Vec::new(),
        gaps: (missing > 0).then_some(gap).into_iter().collect(),
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
fn page_with_the_fewest_missing_intervals_is_taken() {
    let cases = [
        Case {
            name: "complete page after one with gaps",
            pages: &[(1, 4), (3, 0)],
            best: Some(3),
        },
        Case {
            name: "fewer gaps",
            pages: &[(1, 4), (2, 2), (3, 3)],
            best: Some(2),
        },
        Case {
            name: "no router answers",
            pages: &[],
            best: None,
        },
    ];
    let routers = [router(1), router(2), router(3)];
    for case in cases {
        let mut fleet = FakeFleet::default();
        for (port, missing) in case.pages {
            let json = serde_json::to_string(&page(&port.to_string(), *missing));
            fleet.day_pages.insert(*port, json.expect("encodes"));
        }
        let taken = fetch(&fleet, &routers, None).ok();
        let taken = taken.map(|page| page.verdict.sentence);
        assert_eq!(
            taken,
            case.best.map(|port| port.to_string()),
            "{}",
            case.name
        );
    }
}

#[test]
fn unreadable_page_is_skipped() {
    let mut fleet = FakeFleet::default();
    fleet.day_pages.insert(1, "{".to_owned());
    let json = serde_json::to_string(&page("whole", 0)).expect("encodes");
    let error = fetch(&fleet, &[router(1)], None).expect_err("no JSON");
    assert!(
        error
            .to_string()
            .contains("failed to read the router's answer"),
        "{error}"
    );
    fleet.day_pages.insert(2, json);
    assert!(fetch(&fleet, &[router(1), router(2)], None).is_ok());
}
