//! How requests are batched into calls.

use std::time::Duration;

use primrose_claim::ClaimAction;
use primrose_claim::ClaimRequest;
use primrose_claim::ClaimResult;
use primrose_claim::ClaimWriter;
use primrose_claim::Limits;
use primrose_claim::Reply;
use primrose_core::clock::Clock;

use crate::claim_request;
use crate::writer;
use crate::Harness;

fn request_with_own_key(request: u64, action: ClaimAction) -> ClaimRequest {
    ClaimRequest {
        key: format!("van-{request}"),
        ..claim_request(request, action)
    }
}

/// Submits all requests at once; returns the replies and the number of calls to the store.
fn submit_batch(
    harness: &Harness,
    writer: &mut ClaimWriter,
    requests: Vec<ClaimRequest>,
) -> (Vec<Reply>, u64) {
    let before = harness.store.calls().total();
    let mut replies = Vec::new();
    for request in requests {
        replies.extend(harness.submit(writer, request));
    }
    replies.extend(harness.drain(writer));
    (replies, harness.store.calls().total() - before)
}

#[test]
fn a_batch_of_64_requests_costs_one_call() {
    let harness = Harness::new();
    let mut writer = writer();
    let claims = (0..64)
        .map(|n| request_with_own_key(n, ClaimAction::Claim))
        .collect();
    let (replies, calls) = submit_batch(&harness, &mut writer, claims);
    assert_eq!(replies.len(), 64);
    assert!(replies.iter().all(|r| r.result == ClaimResult::Made));
    assert_eq!(calls, 1);
    let closes = (0..64)
        .map(|n| request_with_own_key(n, ClaimAction::Unknown))
        .collect();
    let (_, calls) = submit_batch(&harness, &mut writer, closes);
    assert_eq!(calls, 1);
}

#[test]
fn a_conflicting_claim_is_busy_and_the_rest_of_the_batch_is_made() {
    let harness = Harness::new();
    let mut other = writer();
    harness.submit_and_drain(&mut other, request_with_own_key(30, ClaimAction::Claim));
    let claims = (0..64)
        .map(|n| ClaimRequest {
            request: n + 100,
            ..request_with_own_key(n, ClaimAction::Claim)
        })
        .collect();
    let (replies, calls) = submit_batch(&harness, &mut writer(), claims);
    let made = replies.iter().filter(|r| r.result == ClaimResult::Made);
    assert_eq!(made.count(), 63);
    let busy = replies.iter().filter(|r| r.result == ClaimResult::Busy);
    assert_eq!(busy.map(|r| r.request).collect::<Vec<_>>(), [130]);
    // The failed commit, one read, and two commits of 32 and 31 claims.
    assert_eq!(calls, 4);
}

#[test]
fn requests_are_collected_for_the_batch_window() {
    let harness = Harness::new();
    let mut writer = writer();
    harness.submit(&mut writer, request_with_own_key(1, ClaimAction::Claim));
    assert!(writer.step(&harness.store, &*harness.clock).is_empty());
    assert_eq!(harness.store.calls().total(), 0);
    assert_eq!(
        writer.next_wake(),
        Some(harness.clock.now() + Duration::from_millis(5))
    );
    harness.clock.advance(Duration::from_millis(5));
    assert_eq!(writer.step(&harness.store, &*harness.clock).len(), 1);
}

#[test]
fn waiting_requests_are_limited() {
    let limits = Limits {
        max_claims: 2,
        max_closes: 2,
        ..Limits::default()
    };
    let harness = Harness::new();
    let mut writer = ClaimWriter::new("primrose", limits);
    for n in 0..3 {
        let rejection = harness.submit(&mut writer, request_with_own_key(n, ClaimAction::Claim));
        assert_eq!(rejection.is_some(), n == 2);
    }
    for n in 10..13 {
        harness.submit(&mut writer, request_with_own_key(n, ClaimAction::Unknown));
    }
    assert_eq!(writer.counts().dropped, 1);
    assert_eq!(writer.waiting(), 4);
}

#[test]
fn flush_writes_close_requests_without_the_batch_window() {
    let harness = Harness::new();
    let mut writer = writer();
    let claims = (0..3)
        .map(|n| request_with_own_key(n, ClaimAction::Claim))
        .collect();
    submit_batch(&harness, &mut writer, claims);
    for n in 0..3 {
        harness.submit(&mut writer, request_with_own_key(n, ClaimAction::Release));
    }
    assert_eq!(writer.flush(&harness.store, &*harness.clock), 0);
    harness.submit(&mut writer, request_with_own_key(4, ClaimAction::Release));
    harness.store.set_down(true);
    assert_eq!(writer.flush(&harness.store, &*harness.clock), 1);
}

#[test]
fn flush_does_not_wait_for_a_call_in_flight() {
    let harness = Harness::new();
    let mut writer = writer();
    harness.submit(&mut writer, request_with_own_key(1, ClaimAction::Claim));
    harness.clock.advance(Duration::from_millis(5));
    assert!(writer.next_call(harness.clock.now(), 0).is_some());
    harness.submit(&mut writer, request_with_own_key(2, ClaimAction::Release));
    assert_eq!(writer.flush(&harness.store, &*harness.clock), 2);
}
