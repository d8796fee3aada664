//! The HTML page is self-contained, has no scripts, and escapes names.

use primrose_report::html;
use primrose_report::observation::Observation;
use primrose_report::record::Record;

use crate::support::cover;
use crate::support::next_day;
use crate::support::page_at;
use crate::support::record;

fn busy_day(account: &str) -> Record {
    let mut record = record("a", "a-1", 1);
    for interval in (0..96).filter(|interval| !(30..38).contains(interval)) {
        cover(&mut record, interval);
        let busy = (interval as u64) % 11;
        let pool = "drafting".to_owned();
        let slots = Observation::Slots {
            pool: pool.clone(),
            span: std::time::Duration::from_secs(900),
            slots: 10,
            busy,
            waiting: if busy == 10 { 3 } else { 0 },
        };
        record.observe(interval, &slots);
        let served = Observation::Served {
            pool,
            account: account.to_owned(),
            service: 100_000 + busy * 10_000,
        };
        record.observe(interval, &served);
    }
    record
}

#[test]
fn page_is_self_contained() {
    let page = page_at(&[busy_day("large")], &["a"], next_day());
    let html = html::render(&page);
    assert!(html.contains(&format!("<h1 class=\"unseen\">{}", page.verdict.sentence)));
    assert_eq!(html.matches("<svg").count(), 3);
    assert!(html.contains("name=\"viewport\""));
    assert!(html.contains("@media print"));
    for external in [
        "<script",
        "<link",
        "<img",
        "src=",
        "url(",
        "@import",
        "javascript:",
    ] {
        assert!(!html.contains(external), "{external}");
    }
}

#[test]
fn names_are_escaped() {
    let name = "<script>alert('a')</script>&\"";
    let mut record = busy_day(name);
    let gap = Observation::Gap {
        pool: "<b>".to_owned(),
        ahead: name.to_owned(),
        behind: "small".to_owned(),
        gap: 5,
    };
    record.observe(0, &gap);
    let html = html::render(&page_at(&[record], &["<i>"], next_day()));
    for markup in ["<script", "<b>", "<i>"] {
        assert!(!html.contains(markup), "{markup}");
    }
    assert!(html.contains("&lt;script&gt;alert(&#39;a&#39;)"));
}

#[test]
fn plot_lines_are_interrupted_by_gaps() {
    let page = page_at(&[busy_day("large")], &["a"], next_day());
    let html = html::render(&page);
    let plot = html.split("<svg").nth(1).expect("a plot");
    assert!(plot.matches("<polyline").count() >= 2, "{plot}");
    assert!(plot.contains("#DEDEDE"), "the gap is shown grey");
}
