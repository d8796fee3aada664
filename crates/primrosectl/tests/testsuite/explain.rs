//! Tests of tracing a request through the log lines of several gateways.

use primrosectl::ops::explain::RequestTrace;

struct Case {
    name: &'static str,
    logs: Vec<&'static str>,
    events: Vec<&'static str>,
    reason: Option<&'static str>,
}

const REFUSED: &str = r#"
  12.0160 front-a-1 {"unix_ms":10,"host":"a-1","event":"refused","request":"r1","account":"p","route":"q","status":503,"reason":"over_share","predicted_ms":220,"allowed_ms":180,"retry_after_ms":140}
{"unix_ms":11,"host":"a-1","event":"refused","request":"r2","status":503,"reason":"overload"}
"#;

const SENT: &str = r#"
{"unix_ms":20,"host":"a-1","event":"sent","request":"r3","server":"s1","tried":0}
{"unix_ms":32,"host":"a-1","event":"attempt_failed","request":"r3","server":"s1","reason":"connection reset","next":"another_server"}
{"unix_ms":33,"host":"a-1","event":"sent","request":"r3","server":"s2","tried":1}
{"unix_ms":90,"host":"a-1","event":"answered","request":"r3","status":200,"outcome":"resumed","whole_ms":70}
"#;

const BROKEN: &str =
    "{\"unix_ms\":1,\"host\":\"b-1\",\"event\":\"lines_dropped\",\"count\":4}\n{\"unix";

#[test]
fn trace_holds_the_lines_of_one_request_and_the_reason_of_its_end() {
    let cases = vec![
        Case {
            name: "refused",
            logs: vec![SENT, REFUSED],
            events: vec!["refused"],
            reason: Some(
                "refused with 503, not run: over_share (expected wait 220 ms, 180 ms allowed)",
            ),
        },
        Case {
            name: "not in the log",
            logs: vec![SENT],
            events: vec![],
            reason: None,
        },
    ];
    for case in cases {
        let mut trace = RequestTrace::default();
        for log in case.logs {
            trace.read(log.as_bytes(), "r1").expect("read");
        }
        let events: Vec<_> = trace.steps.iter().map(|step| step.event.as_str()).collect();
        assert_eq!(events, case.events, "{}", case.name);
        assert_eq!(trace.reason().as_deref(), case.reason, "{}", case.name);
    }
}

#[test]
fn reason_of_a_resumed_request_names_the_earlier_failure() {
    let mut trace = RequestTrace::default();
    trace.read(SENT.as_bytes(), "r3").expect("read");
    assert_eq!(trace.steps.len(), 4);
    assert_eq!(
        trace.reason().as_deref(),
        Some("answered 200 after 70 ms, resumed; before: connection reset")
    );
}

#[test]
fn dropped_and_unreadable_lines_are_counted() {
    let mut trace = RequestTrace::default();
    trace.read(BROKEN.as_bytes(), "r1").expect("read");
    assert_eq!((trace.dropped, trace.unreadable), (4, 1));
}
