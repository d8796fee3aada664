//! Implementation of the front's [`Broker`] over the channels of the router's threads.

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
use crate::observations;
use crate::reporter::Reporter;
use crate::snapshots::Snapshots;

/// Routes each [`Ask`] to the thread that handles it: claims or decisions.
pub(crate) struct ChannelBroker {
    pub(crate) snapshots: Arc<Snapshots>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) decide: Sender<Input>,
    pub(crate) claims: Sender<Ask>,
    pub(crate) reporter: Reporter,
}

impl Broker for ChannelBroker {
    fn table(&self) -> Arc<Table> {
        self.snapshots.table()
    }

    fn account(&self, bearer: &str) -> Option<AccountId> {
        let accounts = self.snapshots.accounts();
        accounts.find(bearer.as_bytes()).cloned()
    }

    fn ready(&self) -> bool {
        self.snapshots.ready()
    }

    fn fingerprint_status(&self, fingerprint: Fingerprint) -> FingerprintStatus {
        self.snapshots.standing(fingerprint, self.clock.now())
    }

    fn refused(&self, code: ErrorCode) {
        self.reporter.observe(Observation::Refused { code });
    }

    fn submit(&self, ask: Ask) -> Result<(), Overloaded> {
        match &ask {
            Ask::Ended(ended) => self
                .reporter
                .observe_all(observations::of_request(ended, &self.table())),
            Ask::Report(report) => self.reporter.observe_all(observations::of_attempt(report)),
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

fn offer_claim(sender: &Sender<Ask>, ask: Ask) -> Result<(), Overloaded> {
    sender.try_send(ask).map_err(|error| match error {
        TrySendError::Full(ask) | TrySendError::Disconnected(ask) => {
            Overloaded { ask: Box::new(ask) }
        }
    })
}

fn offer_input(sender: &Sender<Input>, ask: Ask) -> Result<(), Overloaded> {
    let Err(error) = sender.try_send(Input::Ask(ask)) else {
        return Ok(());
    };
    match error.into_inner() {
        Input::Ask(ask) => Err(Overloaded { ask: Box::new(ask) }),
        _ => unreachable!("try_send returns the input that it was given"),
    }
}
