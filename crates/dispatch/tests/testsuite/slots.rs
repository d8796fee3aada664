//! The dispatcher alone: slots, limits, the choice of server, and suspects.

use primrose_core::host::HostState;
use primrose_dispatch::dispatcher::Event;
use primrose_dispatch::message::Body;
use primrose_dispatch::message::Decline;
use primrose_dispatch::message::Ending;
use primrose_dispatch::message::Running;
use primrose_dispatch::message::Seen;
use primrose_dispatch::message::Sync;

use crate::build::attempt;
use crate::build::finished;
use crate::build::member;
use crate::build::registration;
use crate::build::seconds;
use crate::build::server;
use crate::build::Bench;

#[test]
fn grants_up_to_the_limit_and_again_when_one_ends() {
    let mut bench = Bench::new((2, 2), &["s0"]);
    for request in 1..=4 {
        bench.register(request, "a");
    }
    assert_eq!(bench.granted(), [1, 2]);
    bench.finish(1, Ending::Done);
    // Doubled: nothing more comes free.
    bench.finish(1, Ending::Done);
    assert_eq!(bench.granted(), [1, 2, 3]);
}

#[test]
fn doubled_registrations_are_granted_once() {
    let mut bench = Bench::new((4, 4), &["s0"]);
    bench.register(1, "a");
    bench.register(1, "a");
    assert_eq!(bench.granted(), [1]);
}

#[test]
fn declined_request_keeps_its_place() {
    let mut bench = Bench::new((1, 1), &["s0"]);
    bench.register(1, "a");
    bench.register(2, "a");
    let grant = bench.grants[0].clone();
    let decline = Decline {
        attempt: grant.attempt,
        epoch: grant.epoch,
        sequence: grant.sequence,
        waits: true,
    };
    bench.hear("h0", Body::Decline(decline));
    // A doubled decline is of an earlier grant.
    bench.hear("h0", Body::Decline(decline));
    assert_eq!(bench.granted(), [1, 1]);
}

#[test]
fn unlisted_slot_is_taken_back() {
    let mut bench = Bench::new((1, 1), &["s0"]);
    bench.register(1, "a");
    bench.register(2, "a");
    bench.renew(vec![1]);
    assert_eq!(bench.granted(), [1]);
    // Its end was lost.
    bench.renew(vec![]);
    assert_eq!(bench.granted(), [1, 2]);
}

#[test]
fn slot_of_a_lost_router_stays_counted_until_shown_free() {
    // Reports after the loss, and whether the slot is given out again.
    for (running, freed) in [(1, false), (0, true)] {
        let mut bench = Bench::new((1, 1), &["s0"]);
        bench.hear("h9", Body::Sync(sync_of(1, Vec::new())));
        bench.hear("h9", Body::Register(registration(1, "a")));
        bench.register(2, "a");
        bench.tell(Event::RouterDown(member("h9")));
        for _ in 0..20 {
            bench.pass(seconds(0.5));
            bench.renew(vec![]);
            bench.load("s0", running);
        }
        assert_eq!(bench.granted().contains(&2), freed, "running {running}");
    }
}

#[test]
fn slot_of_a_lost_router_is_free_after_the_longest_run() {
    let mut bench = Bench::new((1, 1), &["s0"]);
    bench.hear("h9", Body::Sync(sync_of(1, Vec::new())));
    bench.hear("h9", Body::Register(registration(1, "a")));
    bench.tell(Event::RouterDown(member("h9")));
    bench.pass(seconds(59.0));
    bench.renew(vec![]);
    bench.register(2, "a");
    assert_eq!(bench.granted(), [1]);
    bench.pass(seconds(2.0));
    assert_eq!(bench.granted(), [1, 2]);
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
fn new_dispatcher_counts_what_already_runs() {
    let mut bench = Bench::new((2, 2), &["s0"]);
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
    bench.hear(
        "h9",
        Body::Sync(sync_of(1, vec![running(8, "s0"), running(9, "s0")])),
    );
    bench.register(1, "a");
    assert_eq!(bench.granted(), []);
    bench.hear("h9", Body::Finished(finished(8, Ending::Done)));
    assert_eq!(bench.granted(), [1]);
}

#[test]
fn silent_router_gets_no_grants() {
    let mut bench = Bench::new((2, 2), &["s0"]);
    bench.pass(seconds(3.0));
    bench.register(1, "a");
    assert_eq!(bench.granted(), []);
    bench.renew(vec![]);
    assert_eq!(bench.granted(), [1]);
}

#[test]
fn leaving_server_gets_nothing_new() {
    let mut bench = Bench::new((4, 4), &["s0", "s1"]);
    bench.register(1, "a");
    bench.register(2, "a");
    let leaving = |id: &str| {
        let mut entry = server(id);
        entry.state = HostState::Leaving;
        entry
    };
    bench.servers(vec![leaving("s0"), server("s1")]);
    for request in 3..=6 {
        bench.register(request, "a");
    }
    assert_eq!((bench.on("s0"), bench.on("s1")), (1, 4));
    // Gone from the list altogether, it is the same.
    bench.servers(vec![server("s1")]);
    bench.finish(1, Ending::Done);
    assert_eq!(bench.on("s0"), 1);
}

/// Answers in a row, seconds before each, time between tokens, and the limit after them.
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
        // Slow start: one slot more with each good answer.
        answers(1, 0.0, GOOD, 3),
        answers(3, 0.0, GOOD, 6),
        answers(5, 0.0, GOOD, 6),
        // A tenth less at the first miss, once for answers that ran at the same time.
        answers(1, 0.0, SLOW, 5),
        answers(3, 0.0, SLOW, 5),
        answers(1, 2.1, SLOW, 4),
        // One slot more for a limit's worth of good answers.
        answers(1, 0.0, GOOD, 5),
        answers(4, 0.0, GOOD, 5),
        answers(2, 0.0, GOOD, 6),
        answers(20, 2.1, SLOW, 2),
    ];
    let mut bench = Bench::new((2, 6), &["s0"]);
    for request in 1..=80 {
        bench.register(request, "a");
    }
    let mut oldest = 1;
    for (number, answers) in cases.iter().enumerate() {
        for _ in 0..answers.count {
            bench.pass(seconds(answers.pause));
            let running = bench.granted()[oldest as usize - 1..].to_vec();
            bench.renew(running);
            let mut finished = finished(oldest, Ending::Done);
            finished.inter = Some(answers.inter);
            bench.hear("h0", Body::Finished(finished));
            oldest += 1;
        }
        let status = bench.dispatcher.status(bench.now);
        assert_eq!(status.servers[0].limit, answers.limit, "case {number}");
    }
}

#[test]
fn excess_that_a_server_reports_lowers_its_free_slots() {
    // Running as reported, granted by this dispatcher out of four slots.
    for (reported, granted) in [(0, 4), (1, 3), (3, 1), (9, 0)] {
        let mut bench = Bench::new((4, 4), &["s0"]);
        bench.load("s0", reported);
        bench.load("s0", reported);
        for request in 1..=5 {
            bench.register(request, "a");
        }
        assert_eq!(bench.grants.len(), granted, "reported {reported}");
    }
}

/// A server counts a request for a moment after its answer has ended; if its report falls into that
/// moment, no slot may stay idle until the next one.
#[test]
fn excess_in_one_report_alone_lowers_nothing() {
    for (first, second) in [(5, 4), (0, 5), (9, 0)] {
        let mut bench = Bench::new((4, 4), &["s0"]);
        for request in 1..=4 {
            bench.register(request, "a");
        }
        bench.load("s0", first);
        bench.load("s0", second);
        bench.finish(1, Ending::Done);
        bench.register(5, "a");
        assert_eq!(
            bench.granted(),
            [1, 2, 3, 4, 5],
            "reported {first}, {second}"
        );
    }
}

#[test]
fn report_that_lags_does_not_idle_a_slot() {
    let mut bench = Bench::new((2, 2), &["s0"]);
    for request in 1..=3 {
        bench.register(request, "a");
    }
    bench.finish(1, Ending::Done);
    bench.finish(2, Ending::Done);
    // Taken while both ran.
    bench.load("s0", 2);
    bench.register(4, "a");
    assert_eq!(bench.granted(), [1, 2, 3, 4]);
}

#[test]
fn prompt_goes_where_its_beginning_is_cached() {
    let mut bench = Bench::new((4, 4), &["s0", "s1", "s2"]);
    let mut with = |request, prefixes: &[u32]| {
        let mut registration = registration(request, "a");
        registration.prefixes = prefixes.to_vec();
        bench.register_with(registration);
        bench.grants.last().unwrap().server.clone()
    };
    let first = with(1, &[10, 11]);
    let second = with(2, &[20, 21]);
    assert_ne!(first, second);
    assert_eq!(with(3, &[10, 11, 12]), first);
    assert_eq!(with(4, &[20, 22]), second);
    // Without a free slot there, elsewhere.
    with(5, &[10]);
    with(6, &[10]);
    assert_ne!(with(7, &[10, 11]), first);
}

#[test]
fn failing_server_is_left_alone_for_longer_each_time() {
    let mut bench = Bench::new((1, 1), &["s0"]);
    bench.register(1, "a");
    bench.finish(1, Ending::Lost);
    bench.register(2, "a");
    assert_eq!(bench.granted(), [1]);
    bench.pass(seconds(0.2));
    assert_eq!(bench.granted(), [1, 2]);
    bench.finish(2, Ending::Lost);
    bench.register(3, "a");
    bench.pass(seconds(0.3));
    assert_eq!(bench.granted(), [1, 2]);
    bench.pass(seconds(0.2));
    assert_eq!(bench.granted(), [1, 2, 3]);
}

#[test]
fn server_taken_over_starts_at_half_the_limit() {
    let mut bench = Bench::new((4, 4), &[]);
    let mut adopted = server("s0");
    adopted.adopted = true;
    bench.servers(vec![adopted]);
    for request in 1..=5 {
        bench.register(request, "a");
    }
    assert_eq!(bench.grants.len(), 2);
    for _ in 0..31 {
        bench.pass(seconds(1.0));
        let running = bench.granted();
        bench.renew(running);
    }
    assert_eq!(bench.grants.len(), 4);
}
