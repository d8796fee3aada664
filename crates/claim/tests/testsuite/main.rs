//! Tests of claim writers over an in-memory store that can fail at any call.

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

/// Returns a claim request; account, idempotency key and body are always the same.
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

/// A store and a clock that several claim writers share.
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

    /// Advances the clock in steps until no request waits.
    fn drain(&self, writer: &mut ClaimWriter) -> Vec<Reply> {
        let mut replies = Vec::new();
        for _ in 0..400 {
            if writer.waiting() == 0 {
                break;
            }
            self.clock.advance(Duration::from_millis(50));
            replies.extend(writer.step(&self.store, &*self.clock));
        }
        assert_eq!(writer.waiting(), 0, "requests still wait after 20 s");
        replies
    }

    /// Submits a request and returns all replies until no request waits.
    fn submit_and_drain(&self, writer: &mut ClaimWriter, request: ClaimRequest) -> Vec<Reply> {
        let mut replies: Vec<Reply> = self.submit(writer, request).into_iter().collect();
        replies.extend(self.drain(writer));
        replies
    }
}

fn writer() -> ClaimWriter {
    ClaimWriter::new("primrose", Limits::default())
}
