//! Sequences of events and the actions that the lifecycle must return for them.

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

use crate::buffered;
use crate::draft;
use crate::keyless;
use crate::order;
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

/// Returns an event of a connection, given by attempt and connection number.
fn on(attempt_number: u32, number: u32, event: ConnEvent) -> Event {
    let attempt = attempt(attempt_number);
    let conn = ConnId { attempt, number };
    Event::Conn { conn, event }
}

/// Returns the event of a claim reply.
fn claim(reply: ClaimReply) -> Event {
    Event::Claim(reply)
}

struct Case {
    name: &'static str,
    spec: Spec,
    events: Vec<Event>,
    /// Names of all returned actions, separated by spaces.
    actions: &'static str,
    /// Outcome and error code of the final result.
    final_result: Option<(Outcome, Option<ErrorCode>)>,
}

fn run(case: &Case) {
    let mut lifecycle = Lifecycle::new(case.spec.clone());
    let mut names = Vec::new();
    let mut final_result = None;
    for event in &case.events {
        for action in lifecycle.handle(event.clone(), NOW) {
            let text = format!("{action:?}");
            let end = text.find([' ', '(']).unwrap_or(text.len());
            names.push(text[..end].to_owned());
            if let Action::Finish(result) = action {
                final_result = Some((result.outcome, result.code));
            }
        }
    }
    assert_eq!(names.join(" "), case.actions, "{}", case.name);
    assert_eq!(final_result, case.final_result, "{}", case.name);
}

#[test]
fn engine_responses_are_resumed_retried_or_ended() {
    let head = ConnEvent::Head { status: 200 };
    let item = |seq| ConnEvent::Item { seq };
    let response_started = |rest: Vec<Event>| {
        let mut events = vec![Event::Start, grant(1, "s1", NOW)];
        events.push(on(1, 1, ConnEvent::Connected));
        events.push(on(1, 1, head));
        events.extend(rest);
        events
    };
    let cases = [
        Case {
            name: "uninterrupted",
            spec: draft(),
            events: response_started(vec![on(1, 1, item(1)), on(1, 1, ConnEvent::BodyEnd)]),
            actions: "Enqueue Open Send Forward Forward Report Finish",
            final_result: Some((Outcome::Done, None)),
        },
        Case {
            name:
                "broken and resumed, with a repeated item and a late item of the first connection",
            spec: draft(),
            events: response_started(vec![
                on(1, 1, item(1)),
                on(1, 1, ConnEvent::Failed(FailureStage::AfterSend)),
                on(1, 1, item(2)),
                on(1, 2, ConnEvent::Resumed),
                on(1, 2, item(1)),
                on(1, 2, item(2)),
                on(1, 2, ConnEvent::BodyEnd),
            ]),
            actions: "Enqueue Open Send Forward Forward Disconnect Resume Forward Report Finish",
            final_result: Some((Outcome::Done, None)),
        },
        Case {
            name: "a missing item is requested again",
            spec: draft(),
            events: response_started(vec![
                on(1, 1, item(1)),
                on(1, 1, item(3)),
                on(1, 2, ConnEvent::Resumed),
                on(1, 2, item(2)),
            ]),
            actions: "Enqueue Open Send Forward Forward Disconnect Resume Forward",
            final_result: None,
        },
        Case {
            name: "server lost after part of the response was forwarded",
            spec: draft(),
            events: response_started(vec![on(1, 1, item(1)), on(1, 1, ConnEvent::ServerLost)]),
            actions: "Enqueue Open Send Forward Forward Report Finish",
            final_result: Some((Outcome::Unknown, Some(ErrorCode::ServerLost))),
        },
        Case {
            name: "server lost before the first item: retried on another server",
            spec: draft(),
            events: response_started(vec![
                on(1, 1, ConnEvent::ServerLost),
                ALLOWED,
                grant(2, "s2", NOW),
                on(1, 1, item(1)),
            ]),
            actions: "Enqueue Open Send Report RequestRetry Enqueue Open",
            final_result: None,
        },
        Case {
            name: "a buffered response that broke off is retried",
            spec: buffered(),
            events: response_started(vec![
                on(1, 1, item(1)),
                on(1, 1, ConnEvent::Failed(FailureStage::AfterSend)),
                on(1, 2, ConnEvent::Connected),
                ALLOWED,
            ]),
            actions: "Enqueue Open Send Hold Cancel Probe Disconnect Report DropHeld RequestRetry \
                      Enqueue",
            final_result: None,
        },
        Case {
            name: "retry budget used up",
            spec: draft(),
            events: response_started(vec![
                on(1, 1, ConnEvent::ServerLost),
                Event::Retry(RetryDecision::Denied),
            ]),
            actions: "Enqueue Open Send Report RequestRetry Finish",
            final_result: Some((Outcome::Unknown, Some(ErrorCode::ServerLost))),
        },
        Case {
            name: "caller disconnected: the run is cancelled",
            spec: draft(),
            events: response_started(vec![on(1, 1, item(1)), Event::CallerDisconnected]),
            actions: "Enqueue Open Send Forward Forward Cancel Report Finish",
            final_result: Some((Outcome::Unknown, None)),
        },
    ];
    for case in &cases {
        run(case);
    }
}

#[test]
fn broken_response_reports_whether_the_server_crashed() {
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
        sequence: (Spec, Vec<Event>),
        result: AttemptResult,
    }
    let cases = [
        Case {
            name: "server still accepts connections",
            sequence: broken(buffered(), vec![on(1, 2, ConnEvent::Connected)]),
            result: AttemptResult::Broken,
        },
        Case {
            name: "server no longer accepts connections",
            sequence: broken(buffered(), vec![on(1, 2, refused)]),
            result: AttemptResult::ServerLost,
        },
        Case {
            name: "the caller disconnects during the probe",
            sequence: broken(
                buffered(),
                vec![Event::CallerDisconnected, on(1, 2, refused)],
            ),
            result: AttemptResult::ServerLost,
        },
        Case {
            name: "the deadline passes during the probe",
            sequence: broken(buffered(), vec![Event::Deadline, on(1, 2, refused)]),
            result: AttemptResult::ServerLost,
        },
        Case {
            name: "an order",
            sequence: broken(order(), vec![on(1, 2, refused)]),
            result: AttemptResult::ServerLost,
        },
    ];
    for case in cases {
        let (spec, events) = case.sequence;
        let mut lifecycle = Lifecycle::new(spec);
        let actions = events
            .into_iter()
            .flat_map(|event| lifecycle.handle(event, NOW));
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
fn cancelled_attempt_reports_whether_the_server_was_silent() {
    let second = Duration::from_secs(1);
    let table = [
        (NOW + second, AttemptResult::Abandoned),
        (NOW + second / 2, AttemptResult::Cancelled),
    ];
    for (at, expected) in table {
        let mut lifecycle = Lifecycle::new(draft());
        lifecycle.handle(Event::Start, NOW);
        lifecycle.handle(grant(1, "s1", NOW), NOW);
        lifecycle.handle(on(1, 1, ConnEvent::Connected), NOW);
        let actions = lifecycle.handle(Event::CallerDisconnected, at);
        let report = actions
            .iter()
            .any(|action| matches!(action, Action::Report { result, .. } if *result == expected));
        assert!(report, "{at:?}: {actions:?}");
    }
}

#[test]
fn server_of_a_broken_stream_is_probed_after_the_caller_disconnects() {
    run(&Case {
        name: "while the stream is being resumed",
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
        final_result: Some((Outcome::Unknown, None)),
    });
}

#[test]
fn expired_duplicate_and_late_grants_are_not_used() {
    let expired = NOW - Duration::from_millis(1);
    let cases = [
        Case {
            name: "expired during a pause of the process",
            spec: draft(),
            events: vec![Event::Start, grant(1, "s1", expired)],
            actions: "Enqueue Report Enqueue",
            final_result: None,
        },
        Case {
            name: "duplicate grant",
            spec: draft(),
            events: vec![Event::Start, grant(1, "s1", NOW), grant(1, "s1", NOW)],
            actions: "Enqueue Open",
            final_result: None,
        },
        Case {
            name: "two dispatchers grant slots on two servers",
            spec: draft(),
            events: vec![Event::Start, grant(1, "s1", NOW), grant(1, "s2", NOW)],
            actions: "Enqueue Open Report",
            final_result: None,
        },
        Case {
            name: "grant after the deadline",
            spec: draft(),
            events: vec![Event::Start, Event::Deadline, grant(1, "s1", NOW)],
            actions: "Enqueue Withdraw Finish Report",
            final_result: Some((Outcome::NotRun, Some(ErrorCode::Deadline))),
        },
    ];
    for case in &cases {
        run(case);
    }
}

#[test]
fn order_is_sent_at_most_once() {
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
            name: "connection broken after sending",
            spec: order(),
            events: sent(vec![
                on(1, 1, ConnEvent::Failed(FailureStage::AfterSend)),
                on(1, 2, ConnEvent::Connected),
            ]),
            actions: "Claim Enqueue Open Send Cancel Settle Finish Probe Disconnect Report",
            final_result: Some((Outcome::Unknown, Some(ErrorCode::ServerLost))),
        },
        Case {
            name: "refused by the server",
            spec: order(),
            events: sent(vec![
                on(1, 1, ConnEvent::Failed(FailureStage::RefusedNotRun)),
                Event::Retry(RetryDecision::Denied),
            ]),
            actions: "Claim Enqueue Open Send Report RequestRetry ReleaseClaim Finish",
            final_result: Some((Outcome::NotRun, Some(ErrorCode::ServerRefused))),
        },
        Case {
            name: "caller disconnected: the outcome is still recorded",
            spec: order(),
            events: sent(vec![
                Event::CallerDisconnected,
                head.clone(),
                on(1, 1, ConnEvent::Item { seq: 1 }),
                on(1, 1, ConnEvent::BodyEnd),
            ]),
            actions: "Claim Enqueue Open Send Hold Report Settle Finish",
            final_result: Some((Outcome::Done, None)),
        },
        Case {
            name: "deadline, then the maximum run time",
            spec: order(),
            events: sent(vec![Event::Deadline, head, Event::RunLimit]),
            actions: "Claim Enqueue Open Send Finish Cancel Report Settle",
            final_result: Some((Outcome::Unknown, Some(ErrorCode::Timeout))),
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
            final_result: Some((Outcome::NotRun, Some(ErrorCode::Deadline))),
        },
        Case {
            name: "the claim is made after the deadline",
            spec: order(),
            events: vec![Event::Start, Event::Deadline, claim(ClaimReply::Made)],
            actions: "Claim Finish ReleaseClaim",
            final_result: Some((Outcome::NotRun, Some(ErrorCode::Deadline))),
        },
        Case {
            name: "without a key: no claim, and still sent only once",
            spec: keyless(),
            events: vec![
                Event::Start,
                grant(1, "s1", NOW),
                on(1, 1, ConnEvent::Connected),
                on(1, 1, ConnEvent::ServerLost),
            ],
            actions: "Enqueue Open Send Report Finish",
            final_result: Some((Outcome::Unknown, Some(ErrorCode::ServerLost))),
        },
    ];
    for case in &cases {
        run(case);
    }
}

#[test]
fn resend_gets_the_result_of_the_earlier_request() {
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
            final_result: Some((outcome, code)),
        });
    }
}

#[test]
fn invalid_idempotency_keys_are_rejected() {
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
