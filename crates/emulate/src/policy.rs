//! Placement policies to compare: the gateways' own and a baseline.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::Decision;
use primrose_fleet::Fleet;
use primrose_fleet::PlacementRequest;

/// Policy by which gateways place requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The placement and admission code of the gateways.
    Fleet,
    /// Baseline: first come, first served, to the least loaded server. The objective is raised to
    /// an hour, and placement ignores shared prefixes.
    LeastLoaded,
}

/// Decision on one request.
#[derive(Debug, Clone)]
pub enum PolicyDecision {
    /// Sends the request to a server.
    Send(Box<primrose_fleet::Placement>),
    /// Refuses the request; the caller may retry after this time.
    Refuse(Duration),
}

impl Policy {
    /// Decides whether and where a request is sent.
    pub fn decide(
        self,
        fleet: &mut Fleet,
        request: &PlacementRequest,
        now: Mono,
    ) -> PolicyDecision {
        let mut request = request.clone();
        if self == Self::LeastLoaded {
            // Without shared prefixes and with an objective of an hour, only load decides.
            if let Some(prompt) = &mut request.prompt {
                prompt.own_tokens += prompt.shared_tokens;
                prompt.shared_tokens = 0;
            }
            let mut route = (*request.route).clone();
            route.objective = Duration::from_secs(3_600);
            request.route = route.into();
        }
        match fleet.decide(&request, now) {
            Decision::Send(placement) => PolicyDecision::Send(Box::new(placement)),
            Decision::Refuse(refusal) => PolicyDecision::Refuse(refusal.retry_after),
        }
    }
}
