//! Tests of the claims desk over a store in memory with faults at any call.

mod calls;
mod desk;
mod fleet;
mod keys;
mod sweep;

use std::sync::Arc;
use std::time::Duration;

use primrose_claim::Desk;
use primrose_claim::Limits;
use primrose_claim::Order;
use primrose_claim::Reply;
use primrose_claim::Wish;
use primrose_core::clock::Clock;
use primrose_core::id::Member;
use primrose_core::id::RequestId;
use primrose_store::memory::MemoryStore;
use primrose_support::clock::FakeClock;

/// An order of one request; the key is the same for all.
fn order(request: RequestId, wish: Wish) -> Order {
    Order {
        request,
        member: Member {
            host: "entry-1".to_owned(),
            incarnation: 1,
        },
        account: "parish-3".to_owned(),
        key: "van-12".to_owned(),
        body: [1; 32],
        wish,
    }
}

/// A store and a clock that several desks share.
struct Bench {
    clock: Arc<FakeClock>,
    store: MemoryStore,
}

impl Bench {
    fn new() -> Self {
        let clock = Arc::new(FakeClock::new());
        let store = MemoryStore::new(clock.clone());
        Self { clock, store }
    }

    fn submit(&self, desk: &mut Desk, order: Order) -> Option<Reply> {
        desk.submit(order, self.clock.now())
    }

    /// Moves the clock on in steps until nothing waits at the desk.
    fn settle(&self, desk: &mut Desk) -> Vec<Reply> {
        let mut replies = Vec::new();
        for _ in 0..400 {
            if desk.waiting() == 0 {
                break;
            }
            self.clock.advance(Duration::from_millis(50));
            replies.extend(desk.step(&self.store, &*self.clock));
        }
        assert_eq!(desk.waiting(), 0, "the desk does not come to rest");
        replies
    }

    /// Submits an order at the desk and returns all replies until it rests.
    fn ask(&self, desk: &mut Desk, order: Order) -> Vec<Reply> {
        let mut replies: Vec<Reply> = self.submit(desk, order).into_iter().collect();
        replies.extend(self.settle(desk));
        replies
    }
}

fn desk() -> Desk {
    Desk::new("primrose", Limits::default())
}
