//! Cases, each one path through the machine with the actions that it must lead to.

use std::time::Duration;

use primrose_core::id::AttemptId;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;
use primrose_request::Action;
use primrose_request::AttemptResult;
use primrose_request::ClaimReply;
use primrose_request::ConnEvent;
use primrose_request::ConnId;
use primrose_request::Event;
use primrose_request::FailureStage;
use primrose_request::Grant;
use primrose_request::IdempotencyKey;
use primrose_request::Lifecycle;
use primrose_request::RetryDecision;
use primrose_request::Spec;

use crate::draft;
use crate::keyless;
use crate::order;
use crate::whole;
use crate::NOW;

const ALLOWED: Event = Event::Retry(RetryDecision::Allowed {
    delay: Duration::ZERO,
    suspect: true,
});

fn attempt(number: u32) -> AttemptId {
    AttemptId {
        request: draft().id,
        number,
    }
}

fn grant(number: u32, server: &str, valid_until: Duration) -> Event {
    Event::Granted(Grant {
        attempt: attempt(number),
        server: server.to_owned(),
        addr: "127.0.0.1:9000"
            .parse()
            .expect("the address is well formed"),
        valid_until,
    })
}

/// An event of a connection, given as attempt and number.
fn on(attempt_number: u32, number: u32, event: ConnEvent) -> Event {
    let attempt = attempt(attempt_number);
    let conn = ConnId { attempt, number };
    Event::Conn { conn, event }
}

/// A claim reply that nothing is to be done under.
fn claim(reply: ClaimReply) -> Event {
    Event::Claim(reply)
}

struct Case {
    name: &'static str,
    spec: Spec,
    events: Vec<Event>,
    /// The first word of each action of all events.
    actions: &'static str,
    /// Outcome and code that the caller is told.
    told: Option<(Outcome, Option<ErrorCode>)>,
}

fn run(case: &Case) {
    let mut life = Lifecycle::new(case.spec.clone());
    let mut names = Vec::new();
    let mut told = None;
    for event in &case.events {
        for action in life.handle(event.clone(), NOW) {
            let text = format!("{action:?}");
            let end = text.find([' ', '(']).unwrap_or(text.len());
            names.push(text[..end].to_owned());
            if let Action::Finish(verdict) = action {
                told = Some((verdict.outcome, verdict.code));
            }
        }
    }
    assert_eq!(names.join(" "), case.actions, "{}", case.name);
    assert_eq!(told, case.told, "{}", case.name);
}

#[test]
fn a_stream_comes_through_retries_and_resumption() {
    let head = ConnEvent::Head { status: 200 };
    let item = |seq| ConnEvent::Item { seq };
    let begun = |rest: Vec<Event>| {
        let mut events = vec![Event::Start, grant(1, "s1", NOW)];
        events.push(on(1, 1, ConnEvent::Connected));
        events.push(on(1, 1, head));
        events.extend(rest);
        events
    };
    let cases = [
        Case {
            name: "plain",
            spec: draft(),
            events: begun(vec![on(1, 1, item(1)), on(1, 1, ConnEvent::BodyEnd)]),
            actions: "Enqueue Open Send Forward Forward Report Finish",
            told: Some((Outcome::Done, None)),
        },
        Case {
            name: "broken, resumed with a repeat, late item of the first connection",
            spec: draft(),
            events: begun(vec![
                on(1, 1, item(1)),
                on(1, 1, ConnEvent::Failed(FailureStage::AfterSend)),
                on(1, 1, item(2)),
                on(1, 2, ConnEvent::Resumed),
                on(1, 2, item(1)),
                on(1, 2, item(2)),
                on(1, 2, ConnEvent::BodyEnd),
            ]),
            actions: "Enqueue Open Send Forward Forward Disconnect Resume Forward Report Finish",
            told: Some((Outcome::Done, None)),
        },
        Case {
            name: "a gap is asked for again",
            spec: draft(),
            events: begun(vec![
                on(1, 1, item(1)),
                on(1, 1, item(3)),
                on(1, 2, ConnEvent::Resumed),
                on(1, 2, item(2)),
            ]),
            actions: "Enqueue Open Send Forward Forward Disconnect Resume Forward",
            told: None,
        },
        Case {
            name: "server gone after a part was shown",
            spec: draft(),
            events: begun(vec![on(1, 1, item(1)), on(1, 1, ConnEvent::ServerLost)]),
            actions: "Enqueue Open Send Forward Forward Report Finish",
            told: Some((Outcome::Unknown, Some(ErrorCode::ServerLost))),
        },
        Case {
            name: "server gone before the first item: again elsewhere",
            spec: draft(),
            events: begun(vec![
                on(1, 1, ConnEvent::ServerLost),
                ALLOWED,
                grant(2, "s2", NOW),
                on(1, 1, item(1)),
            ]),
            actions: "Enqueue Open Send Report RequestRetry Enqueue Open",
            told: None,
        },
        Case {
            name: "a whole answer that broke in the middle runs again",
            spec: whole(),
            events: begun(vec![
                on(1, 1, item(1)),
                on(1, 1, ConnEvent::Failed(FailureStage::AfterSend)),
                on(1, 2, ConnEvent::Connected),
                ALLOWED,
            ]),
            actions: "Enqueue Open Send Hold Cancel Probe Disconnect Report DropHeld RequestRetry \
                      Enqueue",
            told: None,
        },
        Case {
            name: "budget used up",
            spec: draft(),
            events: begun(vec![
                on(1, 1, ConnEvent::ServerLost),
                Event::Retry(RetryDecision::Denied),
            ]),
            actions: "Enqueue Open Send Report RequestRetry Finish",
            told: Some((Outcome::Unknown, Some(ErrorCode::ServerLost))),
        },
        Case {
            name: "caller gone: the run is stopped",
            spec: draft(),
            events: begun(vec![on(1, 1, item(1)), Event::CallerDisconnected]),
            actions: "Enqueue Open Send Forward Forward Cancel Report Finish",
            told: Some((Outcome::Unknown, None)),
        },
    ];
    for case in &cases {
        run(case);
    }
}

#[test]
fn a_broken_answer_tells_whether_the_server_died() {
    let broken = |spec: Spec, rest: Vec<Event>| {
        let mut events = vec![Event::Start];
        if spec.needs_claim() {
            events.push(claim(ClaimReply::Made));
        }
        events.push(grant(1, "s1", NOW));
        events.push(on(1, 1, ConnEvent::Connected));
        events.push(on(1, 1, ConnEvent::Failed(FailureStage::AfterSend)));
        events.extend(rest);
        (spec, events)
    };
    let refused = ConnEvent::Failed(FailureStage::BeforeSend);
    struct Case {
        name: &'static str,
        play: (Spec, Vec<Event>),
        result: AttemptResult,
    }
    let cases = [
        Case {
            name: "still listens",
            play: broken(whole(), vec![on(1, 2, ConnEvent::Connected)]),
            result: AttemptResult::Broken,
        },
        Case {
            name: "no longer listens",
            play: broken(whole(), vec![on(1, 2, refused)]),
            result: AttemptResult::ServerLost,
        },
        Case {
            name: "the caller leaves meanwhile",
            play: broken(whole(), vec![Event::CallerDisconnected, on(1, 2, refused)]),
            result: AttemptResult::ServerLost,
        },
        Case {
            name: "the deadline passes meanwhile",
            play: broken(whole(), vec![Event::Deadline, on(1, 2, refused)]),
            result: AttemptResult::ServerLost,
        },
        Case {
            name: "an order",
            play: broken(order(), vec![on(1, 2, refused)]),
            result: AttemptResult::ServerLost,
        },
    ];
    for case in cases {
        let (spec, events) = case.play;
        let mut life = Lifecycle::new(spec);
        let actions = events.into_iter().flat_map(|event| life.handle(event, NOW));
        let results: Vec<_> = actions
            .filter_map(|action| match action {
                Action::Report { result, .. } => Some(result),
                _ => None,
            })
            .collect();
        assert_eq!(results, [case.result], "{}", case.name);
    }
}

#[test]
fn giving_up_tells_whether_the_server_was_silent() {
    let second = Duration::from_secs(1);
    let table = [
        (NOW + second, AttemptResult::Abandoned),
        (NOW + second / 2, AttemptResult::Cancelled),
    ];
    for (at, wanted) in table {
        let mut life = Lifecycle::new(draft());
        life.handle(Event::Start, NOW);
        life.handle(grant(1, "s1", NOW), NOW);
        life.handle(on(1, 1, ConnEvent::Connected), NOW);
        let actions = life.handle(Event::CallerDisconnected, at);
        let report = actions
            .iter()
            .any(|action| matches!(action, Action::Report { result, .. } if *result == wanted));
        assert!(report, "{at:?}: {actions:?}");
    }
}

#[test]
fn a_stream_in_doubt_is_probed_when_its_caller_leaves() {
    run(&Case {
        name: "while it is being resumed",
        spec: draft(),
        events: vec![
            Event::Start,
            grant(1, "s1", NOW),
            on(1, 1, ConnEvent::Connected),
            on(1, 1, ConnEvent::Head { status: 200 }),
            on(1, 1, ConnEvent::Item { seq: 1 }),
            on(1, 1, ConnEvent::Failed(FailureStage::AfterSend)),
            Event::CallerDisconnected,
            on(1, 2, ConnEvent::Failed(FailureStage::BeforeSend)),
            on(1, 3, ConnEvent::Failed(FailureStage::BeforeSend)),
        ],
        actions: "Enqueue Open Send Forward Forward Disconnect Resume Finish Cancel Probe \
                  Disconnect Report",
        told: Some((Outcome::Unknown, None)),
    });
}

#[test]
fn grants_that_are_stale_or_doubled_are_handed_back() {
    let late = NOW - Duration::from_millis(1);
    let cases = [
        Case {
            name: "stale after a pause",
            spec: draft(),
            events: vec![Event::Start, grant(1, "s1", late)],
            actions: "Enqueue Report Enqueue",
            told: None,
        },
        Case {
            name: "the same grant twice",
            spec: draft(),
            events: vec![Event::Start, grant(1, "s1", NOW), grant(1, "s1", NOW)],
            actions: "Enqueue Open",
            told: None,
        },
        Case {
            name: "two dispatchers grant two servers",
            spec: draft(),
            events: vec![Event::Start, grant(1, "s1", NOW), grant(1, "s2", NOW)],
            actions: "Enqueue Open Report",
            told: None,
        },
        Case {
            name: "grant after the deadline",
            spec: draft(),
            events: vec![Event::Start, Event::Deadline, grant(1, "s1", NOW)],
            actions: "Enqueue Withdraw Finish Report",
            told: Some((Outcome::NotRun, Some(ErrorCode::Deadline))),
        },
    ];
    for case in &cases {
        run(case);
    }
}

#[test]
fn an_order_is_sent_once_under_its_claim() {
    let sent = |rest: Vec<Event>| {
        let mut events = vec![Event::Start, claim(ClaimReply::Made)];
        events.push(grant(1, "s1", NOW));
        events.push(on(1, 1, ConnEvent::Connected));
        events.extend(rest);
        events
    };
    let head = on(1, 1, ConnEvent::Head { status: 201 });
    let cases = [
        Case {
            name: "broken after sending",
            spec: order(),
            events: sent(vec![
                on(1, 1, ConnEvent::Failed(FailureStage::AfterSend)),
                on(1, 2, ConnEvent::Connected),
            ]),
            actions: "Claim Enqueue Open Send Cancel Settle Finish Probe Disconnect Report",
            told: Some((Outcome::Unknown, Some(ErrorCode::ServerLost))),
        },
        Case {
            name: "refused by the server",
            spec: order(),
            events: sent(vec![
                on(1, 1, ConnEvent::Failed(FailureStage::RefusedNotRun)),
                Event::Retry(RetryDecision::Denied),
            ]),
            actions: "Claim Enqueue Open Send Report RequestRetry ReleaseClaim Finish",
            told: Some((Outcome::NotRun, Some(ErrorCode::ServerRefused))),
        },
        Case {
            name: "caller gone, the outcome is still recorded",
            spec: order(),
            events: sent(vec![
                Event::CallerDisconnected,
                head.clone(),
                on(1, 1, ConnEvent::Item { seq: 1 }),
                on(1, 1, ConnEvent::BodyEnd),
            ]),
            actions: "Claim Enqueue Open Send Hold Report Settle Finish",
            told: Some((Outcome::Done, None)),
        },
        Case {
            name: "deadline, then the longest run",
            spec: order(),
            events: sent(vec![Event::Deadline, head, Event::RunLimit]),
            actions: "Claim Enqueue Open Send Finish Cancel Report Settle",
            told: Some((Outcome::Unknown, Some(ErrorCode::Timeout))),
        },
        Case {
            name: "deadline before the first byte",
            spec: order(),
            events: vec![
                Event::Start,
                claim(ClaimReply::Made),
                grant(1, "s1", NOW),
                Event::Deadline,
                on(1, 1, ConnEvent::Connected),
            ],
            actions: "Claim Enqueue Open Cancel Report ReleaseClaim Finish",
            told: Some((Outcome::NotRun, Some(ErrorCode::Deadline))),
        },
        Case {
            name: "the claim is made after the deadline",
            spec: order(),
            events: vec![Event::Start, Event::Deadline, claim(ClaimReply::Made)],
            actions: "Claim Finish ReleaseClaim",
            told: Some((Outcome::NotRun, Some(ErrorCode::Deadline))),
        },
        Case {
            name: "no key: no claim, and still sent once",
            spec: keyless(),
            events: vec![
                Event::Start,
                grant(1, "s1", NOW),
                on(1, 1, ConnEvent::Connected),
                on(1, 1, ConnEvent::ServerLost),
            ],
            actions: "Enqueue Open Send Report Finish",
            told: Some((Outcome::Unknown, Some(ErrorCode::ServerLost))),
        },
    ];
    for case in &cases {
        run(case);
    }
}

#[test]
fn what_an_earlier_request_left_is_told() {
    let retry_after = Duration::from_secs(3);
    let table = [
        (
            ClaimReply::Done,
            "Claim Forward Finish",
            Outcome::Done,
            None,
        ),
        (
            ClaimReply::Busy,
            "Claim Finish",
            Outcome::Unknown,
            Some(ErrorCode::InProgress),
        ),
        (
            ClaimReply::Unknown,
            "Claim Finish",
            Outcome::Unknown,
            Some(ErrorCode::OutcomeUnknown),
        ),
        (
            ClaimReply::NotRun,
            "Claim Finish",
            Outcome::NotRun,
            Some(ErrorCode::KeyClosed),
        ),
        (
            ClaimReply::Conflict,
            "Claim Finish",
            Outcome::NotRun,
            Some(ErrorCode::KeyReused),
        ),
        (
            ClaimReply::Unavailable { retry_after },
            "Claim Finish",
            Outcome::NotRun,
            Some(ErrorCode::ClaimsUnavailable),
        ),
    ];
    for (reply, actions, outcome, code) in table {
        run(&Case {
            name: "resend",
            spec: order(),
            events: vec![Event::Start, claim(reply)],
            actions,
            told: Some((outcome, code)),
        });
    }
}

#[test]
fn keys_are_checked() {
    struct Case {
        text: String,
        ok: bool,
    }
    let cases = [
        Case {
            text: "van 12".to_owned(),
            ok: true,
        },
        Case {
            text: "x".repeat(255),
            ok: true,
        },
        Case {
            text: "x".repeat(256),
            ok: false,
        },
        Case {
            text: String::new(),
            ok: false,
        },
        Case {
            text: "line\nfeed".to_owned(),
            ok: false,
        },
        Case {
            text: "é".to_owned(),
            ok: false,
        },
    ];
    for case in cases {
        assert_eq!(
            IdempotencyKey::parse(&case.text).is_ok(),
            case.ok,
            "{:?}",
            case.text
        );
    }
}
