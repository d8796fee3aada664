//! Tests of the claims desk over a store in memory with faults at any call.

mod calls;
mod fleet;
mod keys;
mod sweep;
mod writer;

use std::sync::Arc;
use std::time::Duration;

use primrose_claim::ClaimAction;
use primrose_claim::ClaimRequest;
use primrose_claim::ClaimWriter;
use primrose_claim::Limits;
use primrose_claim::Reply;
use primrose_core::clock::Clock;
use primrose_core::id::Member;
use primrose_core::id::RequestId;
use primrose_store::memory::MemoryStore;
use primrose_support::clock::FakeClock;

/// An order of one request; the key is the same for all.
fn claim_request(request: RequestId, action: ClaimAction) -> ClaimRequest {
    ClaimRequest {
        request,
        member: Member {
            host: "entry-1".to_owned(),
            incarnation: 1,
        },
        account: "parish-3".to_owned(),
        key: "van-12".to_owned(),
        body: [1; 32],
        action,
    }
}

/// A store and a clock that several desks share.
struct Harness {
    clock: Arc<FakeClock>,
    store: MemoryStore,
}

impl Harness {
    fn new() -> Self {
        let clock = Arc::new(FakeClock::new());
        let store = MemoryStore::new(clock.clone());
        Self { clock, store }
    }

    fn submit(&self, writer: &mut ClaimWriter, request: ClaimRequest) -> Option<Reply> {
        writer.submit(request, self.clock.now())
    }

    /// Moves the clock on in steps until nothing waits at the desk.
    fn settle(&self, writer: &mut ClaimWriter) -> Vec<Reply> {
        let mut replies = Vec::new();
        for _ in 0..400 {
            if writer.waiting() == 0 {
                break;
            }
            self.clock.advance(Duration::from_millis(50));
            replies.extend(writer.step(&self.store, &*self.clock));
        }
        assert_eq!(writer.waiting(), 0, "the desk does not come to rest");
        replies
    }

    /// Submits an order at the desk and returns all replies until it rests.
    fn ask(&self, writer: &mut ClaimWriter, request: ClaimRequest) -> Vec<Reply> {
        let mut replies: Vec<Reply> = self.submit(writer, request).into_iter().collect();
        replies.extend(self.settle(writer));
        replies
    }
}

fn writer() -> ClaimWriter {
    ClaimWriter::new("primrose", Limits::default())
}
