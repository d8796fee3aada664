//! A single requester: queue bounds, deadlines, leases and re-registration.

use primrose_core::outcome::ErrorCode;
use primrose_core::table::QueueBounds;
use primrose_dispatch::message::Body;
use primrose_dispatch::message::Decline;
use primrose_dispatch::message::Ending;
use primrose_dispatch::requester::Action;
use primrose_dispatch::requester::Event;
use primrose_dispatch::requester::Requester;
use primrose_support::tables::engine_pool;

use crate::harness::attempt;
use crate::harness::finished;
use crate::harness::grant;
use crate::harness::member;
use crate::harness::message;
use crate::harness::pending_request;
use crate::harness::seconds;
use crate::harness::table;
use crate::harness::POOL;

fn requester() -> Requester {
    let mut pool = engine_pool(POOL);
    pool.queue = QueueBounds {
        account_requests: 3,
        account_bytes: 100,
        total_requests: 5,
        total_bytes: 120,
    };
    Requester::new(table(pool))
}

fn with_holder() -> Requester {
    let mut requester = requester();
    requester.handle(holder("h0"), seconds(1.0));
    requester
}

fn holder(host: &str) -> Event {
    Event::Holder {
        pool: POOL.into(),
        holder: Some(member(host)),
    }
}

fn receive(requester: &mut Requester, from: &str, body: Body, at: f64) -> Vec<Action> {
    let from = member(from);
    let message = message(body);
    requester.handle(Event::Message { from, message }, seconds(at))
}

fn refusals(actions: &[Action]) -> Vec<(u64, ErrorCode)> {
    let refusal = |action: &Action| match action {
        Action::Refuse { request, code } => Some((*request, *code)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

fn runs(actions: &[Action]) -> usize {
    let run = |action: &&Action| matches!(action, Action::Run(_));
    actions.iter().filter(run).count()
}

fn declines(actions: &[Action]) -> Vec<Decline> {
    let decline = |action: &Action| match action {
        Action::Send { message, .. } => match message.body {
            Body::Decline(decline) => Some(decline),
            _ => None,
        },
        _ => None,
    };
    actions.iter().filter_map(decline).collect()
}

/// Arriving requests, as account and body size, and the expected refusals.
struct Bounds {
    arrivals: &'static [(&'static str, usize)],
    refused: &'static [u64],
}

#[test]
fn only_the_flooding_account_is_refused() {
    let cases = [
        Bounds {
            arrivals: &[("a", 1), ("a", 1), ("a", 1), ("a", 1), ("b", 1)],
            refused: &[3],
        },
        Bounds {
            arrivals: &[("a", 60), ("a", 41), ("a", 40), ("b", 20)],
            refused: &[1],
        },
        // Bounds over all accounts: by number, and by size.
        Bounds {
            arrivals: &[("a", 1), ("a", 1), ("b", 1), ("b", 1), ("c", 1), ("d", 1)],
            refused: &[5],
        },
        Bounds {
            arrivals: &[("a", 70), ("b", 51), ("c", 50)],
            refused: &[1],
        },
    ];
    for case in cases {
        let mut requester = with_holder();
        let mut refused = Vec::new();
        for (request, (account, bytes)) in (0..).zip(case.arrivals) {
            let mut pending_request = pending_request(request, account);
            pending_request.bytes = *bytes;
            let actions = requester.handle(Event::Enqueue(pending_request), seconds(1.0));
            for (request, code) in refusals(&actions) {
                assert_eq!(code, ErrorCode::QueueFull);
                refused.push(request);
            }
        }
        assert_eq!(refused, case.refused);
    }
}

#[test]
fn retries_are_admitted_to_a_full_queue() {
    let mut requester = with_holder();
    for request in 0..3 {
        requester.handle(Event::Enqueue(pending_request(request, "a")), seconds(1.0));
    }
    let mut again = pending_request(9, "a");
    again.number = 2;
    let actions = requester.handle(Event::Enqueue(again), seconds(1.0));
    assert_eq!(refusals(&actions), []);
}

#[test]
fn deadline_refuses_and_withdraws_a_waiting_request() {
    let mut requester = with_holder();
    requester.handle(Event::Enqueue(pending_request(5, "a")), seconds(1.0));
    assert_eq!(refusals(&requester.handle(Event::Tick, seconds(59.9))), []);
    let actions = requester.handle(Event::Tick, seconds(60.0));
    assert_eq!(refusals(&actions), [(5, ErrorCode::Deadline)]);
    let withdraws = |a: &Action| matches!(a, Action::Send { message, .. } if matches!(message.body, Body::Withdraw(w) if w.request == 5));
    assert!(actions.iter().any(withdraws));
    // A grant that was in flight at the withdrawal does not run.
    let actions = receive(&mut requester, "h0", Body::Grant(grant(5, 1, 1)), 60.0);
    assert_eq!(runs(&actions), 0);
    assert!(!declines(&actions)[0].waits);
}

/// Grant and its expected effect: run, or declined while the request waits or does not wait.
struct Lease {
    from: &'static str,
    beat: u64,
    at: f64,
    runs: usize,
    waits: Option<bool>,
}

#[test]
fn grant_lease_is_checked_against_the_routers_clock() {
    let cases = [
        Lease {
            from: "h0",
            beat: 1,
            at: 1.1,
            runs: 1,
            waits: None,
        },
        // The router was paused, so the renewal that the grant refers to is too old.
        Lease {
            from: "h0",
            beat: 1,
            at: 4.0,
            runs: 0,
            waits: Some(true),
        },
        // The grant refers to a renewal that was never sent.
        Lease {
            from: "h0",
            beat: 5,
            at: 1.1,
            runs: 0,
            waits: Some(true),
        },
        // The grant is not from the holder that this router knows.
        Lease {
            from: "h1",
            beat: 1,
            at: 1.1,
            runs: 0,
            waits: Some(false),
        },
    ];
    for case in cases {
        let mut requester = with_holder();
        requester.handle(Event::Enqueue(pending_request(5, "a")), seconds(1.0));
        let body = Body::Grant(grant(5, 1, case.beat));
        let actions = receive(&mut requester, case.from, body, case.at);
        assert_eq!(runs(&actions), case.runs);
        let waits = declines(&actions).first().map(|d| d.waits);
        assert_eq!(waits, case.waits);
    }
}

#[test]
fn duplicate_and_reordered_grants_run_once() {
    let mut requester = with_holder();
    requester.handle(Event::Enqueue(pending_request(5, "a")), seconds(1.0));
    requester.handle(Event::Enqueue(pending_request(6, "a")), seconds(1.0));
    let late = receive(&mut requester, "h0", Body::Grant(grant(6, 2, 1)), 1.1);
    assert_eq!(runs(&late), 1);
    let doubled = receive(&mut requester, "h0", Body::Grant(grant(6, 2, 1)), 1.1);
    assert_eq!(doubled, []);
    // The earlier grant arrives last: the dispatcher may already have reclaimed its slot.
    let crossed = receive(&mut requester, "h0", Body::Grant(grant(5, 1, 1)), 1.1);
    assert_eq!(runs(&crossed), 0);
    assert!(declines(&crossed)[0].waits);
    let ended = Event::Ended(finished(6, Ending::Done));
    requester.handle(ended.clone(), seconds(2.0));
    assert_eq!(requester.handle(ended, seconds(2.0)), []);
    let after = receive(&mut requester, "h0", Body::Grant(grant(6, 2, 1)), 2.0);
    assert_eq!(runs(&after), 0);
}

#[test]
fn new_holder_receives_all_waiting_and_running_requests() {
    let mut requester = with_holder();
    for request in [5, 6, 7] {
        requester.handle(Event::Enqueue(pending_request(request, "a")), seconds(1.0));
    }
    receive(&mut requester, "h0", Body::Grant(grant(6, 1, 1)), 1.1);
    let actions = requester.handle(holder("h1"), seconds(1.2));
    let [Action::Send { to, message }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(*to, member("h1"));
    let Body::Sync(sync) = &message.body else {
        panic!("{message:?}");
    };
    let waiting: Vec<_> = sync.waiting.iter().map(|r| r.request).collect();
    assert_eq!(waiting, [5, 7]);
    assert_eq!(sync.running[0].attempt, attempt(6));
    // An update with the same holder sends nothing.
    assert_eq!(requester.handle(holder("h1"), seconds(1.3)), []);
}

#[test]
fn long_queue_is_registered_in_messages_of_bounded_size() {
    let mut requester = Requester::new(table(engine_pool(POOL)));
    for request in 0..700 {
        let account = format!("account{}", request / 100);
        requester.handle(
            Event::Enqueue(pending_request(request, &account)),
            seconds(1.0),
        );
    }
    let actions = requester.handle(holder("h0"), seconds(1.0));
    let mut registered = Vec::new();
    for action in actions {
        let Action::Send { message, .. } = action else {
            panic!("{action:?}");
        };
        match message.body {
            Body::Sync(sync) => {
                assert!(sync.waiting.len() <= 256);
                registered.extend(sync.waiting.iter().map(|r| r.request));
            }
            Body::Register(registration) => registered.push(registration.request),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(registered, (0..700).collect::<Vec<_>>());
}

#[test]
fn shutdown_serves_waiting_requests_and_then_refuses_them() {
    let mut requester = with_holder();
    requester.handle(Event::Enqueue(pending_request(5, "a")), seconds(1.0));
    requester.handle(Event::Drain, seconds(1.0));
    let actions = requester.handle(Event::Enqueue(pending_request(6, "a")), seconds(1.0));
    assert_eq!(refusals(&actions), [(6, ErrorCode::ShuttingDown)]);
    let actions = requester.handle(Event::Abandon, seconds(2.0));
    assert_eq!(refusals(&actions), [(5, ErrorCode::ShuttingDown)]);
}
