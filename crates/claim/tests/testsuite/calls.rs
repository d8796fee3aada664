//! How many calls orders cost, alone and in groups.

use std::time::Duration;

use primrose_claim::ClaimResult;
use primrose_claim::Desk;
use primrose_claim::Limits;
use primrose_claim::Order;
use primrose_claim::Reply;
use primrose_claim::Wish;
use primrose_core::clock::Clock;

use crate::desk;
use crate::order;
use crate::Bench;

fn keyed(request: u64, wish: Wish) -> Order {
    Order {
        key: format!("van-{request}"),
        ..order(request, wish)
    }
}

/// Submits all orders at once and returns the replies and the number of calls.
fn group(bench: &Bench, desk: &mut Desk, orders: Vec<Order>) -> (Vec<Reply>, u64) {
    let before = bench.store.calls().total();
    let mut replies = Vec::new();
    for order in orders {
        replies.extend(bench.submit(desk, order));
    }
    replies.extend(bench.settle(desk));
    (replies, bench.store.calls().total() - before)
}

#[test]
fn a_group_of_64_orders_costs_two_calls() {
    let bench = Bench::new();
    let mut desk = desk();
    let claims = (0..64).map(|n| keyed(n, Wish::Claim)).collect();
    let (replies, calls) = group(&bench, &mut desk, claims);
    assert_eq!(replies.len(), 64);
    assert!(replies.iter().all(|r| r.result == ClaimResult::Made));
    assert_eq!(calls, 1);
    let closings = (0..64).map(|n| keyed(n, Wish::Unknown)).collect();
    let (_, calls) = group(&bench, &mut desk, closings);
    assert_eq!(calls, 1);
}

#[test]
fn a_conflict_splits_off_one_order_and_the_others_go_through() {
    let bench = Bench::new();
    let mut other = desk();
    bench.ask(&mut other, keyed(30, Wish::Claim));
    let claims = (0..64)
        .map(|n| Order {
            request: n + 100,
            ..keyed(n, Wish::Claim)
        })
        .collect();
    let (replies, calls) = group(&bench, &mut desk(), claims);
    let made = replies.iter().filter(|r| r.result == ClaimResult::Made);
    assert_eq!(made.count(), 63);
    let busy = replies.iter().filter(|r| r.result == ClaimResult::Busy);
    assert_eq!(busy.map(|r| r.request).collect::<Vec<_>>(), [130]);
    // The failed commit, the read, and 63 claims in halves: 32 and 31.
    assert_eq!(calls, 4);
}

#[test]
fn orders_gather_for_the_window() {
    let bench = Bench::new();
    let mut desk = desk();
    bench.submit(&mut desk, keyed(1, Wish::Claim));
    assert!(desk.step(&bench.store, &*bench.clock).is_empty());
    assert_eq!(bench.store.calls().total(), 0);
    assert_eq!(
        desk.wake(),
        Some(bench.clock.now() + Duration::from_millis(5))
    );
    bench.clock.advance(Duration::from_millis(5));
    assert_eq!(desk.step(&bench.store, &*bench.clock).len(), 1);
}

#[test]
fn what_waits_is_bounded() {
    let limits = Limits {
        claims: 2,
        closings: 2,
        ..Limits::default()
    };
    let bench = Bench::new();
    let mut desk = Desk::new("primrose", limits);
    for n in 0..3 {
        let turned_away = bench.submit(&mut desk, keyed(n, Wish::Claim));
        assert_eq!(turned_away.is_some(), n == 2);
    }
    for n in 10..13 {
        bench.submit(&mut desk, keyed(n, Wish::Unknown));
    }
    assert_eq!(desk.counts().dropped, 1);
    assert_eq!(desk.waiting(), 4);
}

#[test]
fn the_last_closings_do_not_wait_for_the_window() {
    let bench = Bench::new();
    let mut desk = desk();
    let claims = (0..3).map(|n| keyed(n, Wish::Claim)).collect();
    group(&bench, &mut desk, claims);
    for n in 0..3 {
        bench.submit(&mut desk, keyed(n, Wish::Release));
    }
    assert_eq!(desk.finish(&bench.store, &*bench.clock), 0);
    bench.submit(&mut desk, keyed(4, Wish::Release));
    bench.store.set_down(true);
    assert_eq!(desk.finish(&bench.store, &*bench.clock), 1);
}

#[test]
fn finishing_does_not_wait_for_a_call_that_is_under_way() {
    let bench = Bench::new();
    let mut desk = desk();
    bench.submit(&mut desk, keyed(1, Wish::Claim));
    bench.clock.advance(Duration::from_millis(5));
    assert!(desk.plan(bench.clock.now(), 0).is_some());
    bench.submit(&mut desk, keyed(2, Wish::Release));
    assert_eq!(desk.finish(&bench.store, &*bench.clock), 2);
}
