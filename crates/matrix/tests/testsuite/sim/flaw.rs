//! Rules broken on purpose, to show that the checker notices.

use primrose_claim::ClaimResult;
use primrose_core::outcome::Outcome;
use primrose_request::ConnEvent;
use primrose_request::ConnId;
use primrose_request::FailureStage;
use primrose_request::FinalResult;

use super::item::RouterNo;
use super::world::World;

/// A rule that is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// Another's open claim is taken over.
    TakesClaimsOver,
    /// A claim counts as made though the service does not answer.
    SendsWithoutClaim,
    /// A broken connection is reported as if nothing had been sent.
    DeniesSending,
    /// Callers hear `not run` instead of `unknown`.
    GuessesNotRun,
    /// Callers hear `done` instead of `unknown`.
    GuessesDone,
    /// Items are numbered anew, so that gaps and repeats pass.
    RenumbersItems,
    /// Some callers are told nothing.
    ForgetsCallers,
    /// Callers are told twice.
    TellsTwice,
    /// Ended attempts are not reported, so that their slots stay taken.
    LeaksSlots,
    /// Leaving servers get new work.
    IgnoresLeaving,
    /// A graceful shutdown cuts off what is in flight.
    CutsOnDrain,
    /// Strikes are not recorded.
    ForgetsStrikes,
}

/// All flaws.
pub(crate) const FLAWS: [Flaw; 12] = [
    Flaw::TakesClaimsOver,
    Flaw::SendsWithoutClaim,
    Flaw::DeniesSending,
    Flaw::GuessesNotRun,
    Flaw::GuessesDone,
    Flaw::RenumbersItems,
    Flaw::ForgetsCallers,
    Flaw::TellsTwice,
    Flaw::LeaksSlots,
    Flaw::IgnoresLeaving,
    Flaw::CutsOnDrain,
    Flaw::ForgetsStrikes,
];

impl World {
    fn has(&self, flaw: Flaw) -> bool {
        self.flaw == Some(flaw)
    }

    pub(crate) fn bend_claim(&self, result: ClaimResult) -> ClaimResult {
        let over = self.has(Flaw::TakesClaimsOver)
            && matches!(result, ClaimResult::Busy | ClaimResult::Unknown);
        let without =
            self.has(Flaw::SendsWithoutClaim) && matches!(result, ClaimResult::Unavailable { .. });
        if over || without {
            return ClaimResult::Made;
        }
        result
    }

    pub(crate) fn bend_event(&mut self, no: RouterNo, conn: ConnId, event: ConnEvent) -> ConnEvent {
        match event {
            ConnEvent::Failed(FailureStage::AfterSend) if self.has(Flaw::DeniesSending) => {
                ConnEvent::Failed(FailureStage::BeforeSend)
            }
            ConnEvent::Item { .. } if self.has(Flaw::RenumbersItems) => {
                let request = conn.attempt.request;
                let seen = self.callers[&request].seen.len();
                let held = self.routers[no]
                    .lives
                    .get(&request)
                    .map_or(0, |live| live.held.len());
                let seq = (seen + held) as u64 + 1;
                self.renumbered(request, event);
                ConnEvent::Item { seq }
            }
            _ => event,
        }
    }

    /// Remembers the true number of an item that is passed on under another.
    fn renumbered(&mut self, request: u64, event: ConnEvent) {
        if let ConnEvent::Item { seq } = event {
            self.true_items.entry(request).or_default().push(seq);
        }
    }

    pub(crate) fn bend_verdict(&self, verdict: FinalResult) -> Vec<FinalResult> {
        let unknown = verdict.outcome == Outcome::Unknown;
        match self.flaw {
            Some(Flaw::GuessesNotRun) if unknown => vec![FinalResult {
                outcome: Outcome::NotRun,
                ..verdict
            }],
            Some(Flaw::GuessesDone) if unknown => vec![FinalResult {
                outcome: Outcome::Done,
                code: None,
                ..verdict
            }],
            Some(Flaw::ForgetsCallers) if verdict.code.is_some() => Vec::new(),
            Some(Flaw::TellsTwice) => vec![verdict, verdict],
            _ => vec![verdict],
        }
    }

    pub(crate) fn flaw_leaks_slots(&self) -> bool {
        self.has(Flaw::LeaksSlots)
    }

    pub(crate) fn flaw_ignores_leaving(&self) -> bool {
        self.has(Flaw::IgnoresLeaving)
    }

    pub(crate) fn flaw_cuts_on_drain(&self) -> bool {
        self.has(Flaw::CutsOnDrain)
    }

    pub(crate) fn flaw_forgets_strikes(&self) -> bool {
        self.has(Flaw::ForgetsStrikes)
    }
}
