//! Tests of the request lifecycle: tables of cases, and random interleavings of events.

mod cases;
mod harness;
mod outcomes;

use std::time::Duration;

use primrose_core::table::PoolKind;
use primrose_request::Spec;
use primrose_support::tables::model_route;
use primrose_support::tables::order_route;

/// Monotonic time at which most events of these tests occur.
const NOW: Duration = Duration::from_secs(10);

/// Returns a streamed request to a model engine.
fn draft() -> Spec {
    Spec {
        id: 0xa1,
        account: "parish-3".to_owned(),
        route: model_route("drafts", "draft-7b", "drafting"),
        kind: PoolKind::Engine,
        stream: true,
        key: None,
        body: [7; 32],
        fingerprint: 70,
        suspect: false,
    }
}

/// Returns an order to a plain service, with an idempotency key.
fn order() -> Spec {
    let key = primrose_request::IdempotencyKey::parse("van-12").expect("the key is well formed");
    Spec {
        route: order_route("orders", "/orders", "dispatch"),
        kind: PoolKind::Plain,
        stream: false,
        key: Some(key),
        ..draft()
    }
}

/// Returns a request to a model engine with a buffered response.
fn buffered() -> Spec {
    Spec {
        stream: false,
        ..draft()
    }
}

/// Returns an order without an idempotency key.
fn keyless() -> Spec {
    Spec {
        key: None,
        ..order()
    }
}

/// Returns an order to a model engine with a streamed response.
fn streamed_order() -> Spec {
    Spec {
        kind: PoolKind::Engine,
        stream: true,
        ..order()
    }
}
