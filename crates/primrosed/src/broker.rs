//! The front's broker over the router's rings.

use std::sync::Arc;

use crossbeam_channel::Sender;
use crossbeam_channel::TrySendError;
use primrose_core::clock::Clock;
use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::AccountId;
use primrose_core::outcome::ErrorCode;
use primrose_core::table::Table;
use primrose_front::broker::Ask;
use primrose_front::broker::FingerprintStatus;
use primrose_front::broker::Overloaded;
use primrose_front::Broker;
use primrose_report::observation::Observation;

use crate::input::Input;
use crate::published::Published;
use crate::reporter::Reporter;
use crate::seen;

/// Hands asks to the thread whose duty they are.
pub(crate) struct RingBroker {
    pub(crate) published: Arc<Published>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) decide: Sender<Input>,
    pub(crate) claims: Sender<Ask>,
    pub(crate) reporter: Reporter,
}

impl Broker for RingBroker {
    fn table(&self) -> Arc<Table> {
        self.published.table()
    }

    fn account(&self, bearer: &str) -> Option<AccountId> {
        let accounts = self.published.accounts();
        accounts.find(bearer.as_bytes()).cloned()
    }

    fn ready(&self) -> bool {
        self.published.ready()
    }

    fn fingerprint_status(&self, fingerprint: Fingerprint) -> FingerprintStatus {
        self.published.standing(fingerprint, self.clock.now())
    }

    fn refused(&self, code: ErrorCode) {
        self.reporter.see(Observation::Refused { code });
    }

    fn submit(&self, ask: Ask) -> Result<(), Overloaded> {
        match &ask {
            Ask::Ended(ended) => self.reporter.see_all(seen::request(ended, &self.table())),
            Ask::Report(report) => self.reporter.see_all(seen::attempt(report)),
            _ => {}
        }
        match ask {
            Ask::Claim { .. } | Ask::Release { .. } | Ask::Settle { .. } => {
                offer_claim(&self.claims, ask)
            }
            _ => offer_input(&self.decide, ask),
        }
    }
}

fn offer_claim(ring: &Sender<Ask>, ask: Ask) -> Result<(), Overloaded> {
    ring.try_send(ask).map_err(|error| match error {
        TrySendError::Full(ask) | TrySendError::Disconnected(ask) => {
            Overloaded { ask: Box::new(ask) }
        }
    })
}

fn offer_input(ring: &Sender<Input>, ask: Ask) -> Result<(), Overloaded> {
    let Err(error) = ring.try_send(Input::Ask(ask)) else {
        return Ok(());
    };
    match error.into_inner() {
        Input::Ask(ask) => Err(Overloaded { ask: Box::new(ask) }),
        _ => unreachable!("the ring hands back what was offered"),
    }
}
