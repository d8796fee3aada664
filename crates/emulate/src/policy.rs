//! Who decides: the real code, or a baseline.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::Decision;
use primrose_fleet::Fleet;
use primrose_fleet::PlacementRequest;

/// A way to decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The gateways' own decisions.
    Fleet,
    /// First come, first served, to the server that runs least; nothing is refused, and prompts
    /// have no homes.
    LeastLoaded,
}

/// What becomes of a request.
#[derive(Debug, Clone)]
pub enum Verdict {
    /// It goes to a server.
    Send(Box<primrose_fleet::Placement>),
    /// It is refused; the caller may come back after a time.
    Refuse(Duration),
}

impl Policy {
    /// Decides on a request.
    pub fn decide(self, fleet: &mut Fleet, request: &PlacementRequest, now: Mono) -> Verdict {
        let mut request = request.clone();
        if self == Self::LeastLoaded {
            // Without parts in common and without a limit on waiting, only load is left to decide.
            if let Some(prompt) = &mut request.prompt {
                prompt.own_tokens += prompt.shared_tokens;
                prompt.shared_tokens = 0;
            }
            let mut route = (*request.route).clone();
            route.objective = Duration::from_secs(3_600);
            request.route = route.into();
        }
        match fleet.decide(&request, now) {
            Decision::Send(placement) => Verdict::Send(Box::new(placement)),
            Decision::Refuse(refusal) => Verdict::Refuse(refusal.retry_after),
        }
    }
}
