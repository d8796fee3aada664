//! A single dispatcher: slots, limits and the choice of server.

use primrose_core::host::HostState;
use primrose_dispatch::dispatcher::Event;
use primrose_dispatch::message::Body;
use primrose_dispatch::message::Decline;
use primrose_dispatch::message::Ending;
use primrose_dispatch::message::Running;
use primrose_dispatch::message::Seen;
use primrose_dispatch::message::Sync;

use crate::harness::attempt;
use crate::harness::finished;
use crate::harness::member;
use crate::harness::registration;
use crate::harness::seconds;
use crate::harness::server;
use crate::harness::DispatcherHarness;

#[test]
fn grants_up_to_the_limit_and_again_when_one_ends() {
    let mut harness = DispatcherHarness::new((2, 2), &["s0"]);
    for request in 1..=4 {
        harness.register(request, "a");
    }
    assert_eq!(harness.granted(), [1, 2]);
    harness.finish(1, Ending::Done);
    // A duplicate does not free another slot.
    harness.finish(1, Ending::Done);
    assert_eq!(harness.granted(), [1, 2, 3]);
}

#[test]
fn duplicate_registrations_are_granted_once() {
    let mut harness = DispatcherHarness::new((4, 4), &["s0"]);
    harness.register(1, "a");
    harness.register(1, "a");
    assert_eq!(harness.granted(), [1]);
}

#[test]
fn declined_request_keeps_its_place() {
    let mut harness = DispatcherHarness::new((1, 1), &["s0"]);
    harness.register(1, "a");
    harness.register(2, "a");
    let grant = harness.grants[0].clone();
    let decline = Decline {
        attempt: grant.attempt,
        epoch: grant.epoch,
        sequence: grant.sequence,
        waits: true,
    };
    harness.receive("h0", Body::Decline(decline));
    // A duplicate declines an earlier grant and is ignored.
    harness.receive("h0", Body::Decline(decline));
    assert_eq!(harness.granted(), [1, 1]);
}

#[test]
fn slot_of_an_unlisted_attempt_is_reclaimed() {
    let mut harness = DispatcherHarness::new((1, 1), &["s0"]);
    harness.register(1, "a");
    harness.register(2, "a");
    harness.renew(vec![1]);
    assert_eq!(harness.granted(), [1]);
    // The `Finished` message of request 1 was lost.
    harness.renew(vec![]);
    assert_eq!(harness.granted(), [1, 2]);
}

#[test]
fn slot_of_a_lost_router_stays_taken_until_reported_free() {
    // Running requests reported after the loss, and whether the slot is granted again.
    for (running, freed) in [(1, false), (0, true)] {
        let mut harness = DispatcherHarness::new((1, 1), &["s0"]);
        harness.receive("h9", Body::Sync(sync_of(1, Vec::new())));
        harness.receive("h9", Body::Register(registration(1, "a")));
        harness.register(2, "a");
        harness.handle(Event::RouterDown(member("h9")));
        for _ in 0..20 {
            harness.advance(seconds(0.5));
            harness.renew(vec![]);
            harness.report_load("s0", running);
        }
        assert_eq!(harness.granted().contains(&2), freed, "running {running}");
    }
}

#[test]
fn slot_of_a_lost_router_is_freed_after_the_longest_run() {
    let mut harness = DispatcherHarness::new((1, 1), &["s0"]);
    harness.receive("h9", Body::Sync(sync_of(1, Vec::new())));
    harness.receive("h9", Body::Register(registration(1, "a")));
    harness.handle(Event::RouterDown(member("h9")));
    harness.advance(seconds(59.0));
    harness.renew(vec![]);
    harness.register(2, "a");
    assert_eq!(harness.granted(), [1]);
    harness.advance(seconds(2.0));
    assert_eq!(harness.granted(), [1, 2]);
}

fn sync_of(beat: u64, running: Vec<Running>) -> Sync {
    Sync {
        beat,
        seen: Seen::default(),
        waiting: Vec::new(),
        running,
    }
}

#[test]
fn new_dispatcher_counts_running_attempts() {
    let mut harness = DispatcherHarness::new((2, 2), &["s0"]);
    let running = |request, server: &str| Running {
        attempt: attempt(request),
        account: "a".into(),
        route: "draft".into(),
        server: server.into(),
        loan: None,
        charged: 100,
        used: 10,
        suspect: false,
    };
    harness.receive(
        "h9",
        Body::Sync(sync_of(1, vec![running(8, "s0"), running(9, "s0")])),
    );
    harness.register(1, "a");
    assert_eq!(harness.granted(), []);
    harness.receive("h9", Body::Finished(finished(8, Ending::Done)));
    assert_eq!(harness.granted(), [1]);
}

#[test]
fn router_without_renewals_gets_no_grants() {
    let mut harness = DispatcherHarness::new((2, 2), &["s0"]);
    harness.advance(seconds(3.0));
    harness.register(1, "a");
    assert_eq!(harness.granted(), []);
    harness.renew(vec![]);
    assert_eq!(harness.granted(), [1]);
}

#[test]
fn leaving_server_gets_no_new_requests() {
    let mut harness = DispatcherHarness::new((4, 4), &["s0", "s1"]);
    harness.register(1, "a");
    harness.register(2, "a");
    let leaving = |id: &str| {
        let mut entry = server(id);
        entry.state = HostState::Leaving;
        entry
    };
    harness.set_servers(vec![leaving("s0"), server("s1")]);
    for request in 3..=6 {
        harness.register(request, "a");
    }
    assert_eq!((harness.grants_on("s0"), harness.grants_on("s1")), (1, 4));
    // Removing the server from the list has the same effect.
    harness.set_servers(vec![server("s1")]);
    harness.finish(1, Ending::Done);
    assert_eq!(harness.grants_on("s0"), 1);
}

/// Number of consecutive responses, seconds before each, time between tokens in microseconds, and
/// the expected limit after them.
struct Answers {
    count: u64,
    pause: f64,
    inter: u32,
    limit: u32,
}

fn answers(count: u64, pause: f64, inter: u32, limit: u32) -> Answers {
    Answers {
        count,
        pause,
        inter,
        limit,
    }
}

#[test]
fn limit_follows_the_targets_within_the_bounds() {
    const GOOD: u32 = 20_000;
    const SLOW: u32 = 50_000;
    let cases = [
        // Slow start: one slot more per response on target.
        answers(1, 0.0, GOOD, 3),
        answers(3, 0.0, GOOD, 6),
        answers(5, 0.0, GOOD, 6),
        // A tenth less at the first miss, once for responses that ran at the same time.
        answers(1, 0.0, SLOW, 5),
        answers(3, 0.0, SLOW, 5),
        answers(1, 2.1, SLOW, 4),
        // One slot more per `limit` responses on target.
        answers(1, 0.0, GOOD, 5),
        answers(4, 0.0, GOOD, 5),
        answers(2, 0.0, GOOD, 6),
        answers(20, 2.1, SLOW, 2),
    ];
    let mut harness = DispatcherHarness::new((2, 6), &["s0"]);
    for request in 1..=80 {
        harness.register(request, "a");
    }
    let mut oldest = 1;
    for (number, answers) in cases.iter().enumerate() {
        for _ in 0..answers.count {
            harness.advance(seconds(answers.pause));
            let running = harness.granted()[oldest as usize - 1..].to_vec();
            harness.renew(running);
            let mut finished = finished(oldest, Ending::Done);
            finished.inter = Some(answers.inter);
            harness.receive("h0", Body::Finished(finished));
            oldest += 1;
        }
        let status = harness.dispatcher.status(harness.now);
        assert_eq!(status.servers[0].limit, answers.limit, "case {number}");
    }
}

#[test]
fn reported_excess_reduces_free_slots() {
    // Reported running requests, and expected grants with four slots.
    for (reported, granted) in [(0, 4), (1, 3), (3, 1), (9, 0)] {
        let mut harness = DispatcherHarness::new((4, 4), &["s0"]);
        harness.report_load("s0", reported);
        harness.report_load("s0", reported);
        for request in 1..=5 {
            harness.register(request, "a");
        }
        assert_eq!(harness.grants.len(), granted, "reported {reported}");
    }
}

/// A server still counts a request for a moment after its response has ended. A load report taken
/// in that moment must not leave a slot idle until the next report.
#[test]
fn excess_in_a_single_report_is_ignored() {
    for (first, second) in [(5, 4), (0, 5), (9, 0)] {
        let mut harness = DispatcherHarness::new((4, 4), &["s0"]);
        for request in 1..=4 {
            harness.register(request, "a");
        }
        harness.report_load("s0", first);
        harness.report_load("s0", second);
        harness.finish(1, Ending::Done);
        harness.register(5, "a");
        assert_eq!(
            harness.granted(),
            [1, 2, 3, 4, 5],
            "reported {first}, {second}"
        );
    }
}

#[test]
fn lagging_report_does_not_leave_a_slot_idle() {
    let mut harness = DispatcherHarness::new((2, 2), &["s0"]);
    for request in 1..=3 {
        harness.register(request, "a");
    }
    harness.finish(1, Ending::Done);
    harness.finish(2, Ending::Done);
    // The report was taken while both ran.
    harness.report_load("s0", 2);
    harness.register(4, "a");
    assert_eq!(harness.granted(), [1, 2, 3, 4]);
}

#[test]
fn prompt_goes_to_the_server_that_cached_its_prefix() {
    let mut harness = DispatcherHarness::new((4, 4), &["s0", "s1", "s2"]);
    let mut with = |request, prefixes: &[u32]| {
        let mut registration = registration(request, "a");
        registration.prefixes = prefixes.to_vec();
        harness.register_with(registration);
        harness.grants.last().unwrap().server.clone()
    };
    let first = with(1, &[10, 11]);
    let second = with(2, &[20, 21]);
    assert_ne!(first, second);
    assert_eq!(with(3, &[10, 11, 12]), first);
    assert_eq!(with(4, &[20, 22]), second);
    // If that server has no free slot, the prompt goes to another one.
    with(5, &[10]);
    with(6, &[10]);
    assert_ne!(with(7, &[10, 11]), first);
}

#[test]
fn failing_server_is_held_off_longer_each_time() {
    let mut harness = DispatcherHarness::new((1, 1), &["s0"]);
    harness.register(1, "a");
    harness.finish(1, Ending::Lost);
    harness.register(2, "a");
    assert_eq!(harness.granted(), [1]);
    harness.advance(seconds(0.2));
    assert_eq!(harness.granted(), [1, 2]);
    harness.finish(2, Ending::Lost);
    harness.register(3, "a");
    harness.advance(seconds(0.3));
    assert_eq!(harness.granted(), [1, 2]);
    harness.advance(seconds(0.2));
    assert_eq!(harness.granted(), [1, 2, 3]);
}

#[test]
fn adopted_server_starts_at_half_the_limit() {
    let mut harness = DispatcherHarness::new((4, 4), &[]);
    let mut adopted = server("s0");
    adopted.adopted = true;
    harness.set_servers(vec![adopted]);
    for request in 1..=5 {
        harness.register(request, "a");
    }
    assert_eq!(harness.grants.len(), 2);
    for _ in 0..31 {
        harness.advance(seconds(1.0));
        let running = harness.granted();
        harness.renew(running);
    }
    assert_eq!(harness.grants.len(), 4);
}
