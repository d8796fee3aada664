//! The sweep thread: removes claims that have been kept long enough.
//!
//! One router of the fleet sweeps at a time, or one in each part of a partition; two would do no
//! harm. How old a claim is rests on versions that the key-value service gave out and on this
//! process's monotonic clock, so a router that has just taken up the duty removes nothing for
//! hours.

use std::sync::Arc;
use std::time::Duration;

use primrose_claim::sweep::Sweeper;
use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_core::id::AccountId;
use primrose_store::store::CommitResult;
use primrose_store::store::Op;
use primrose_store::store::Result;
use primrose_store::store::Store;

use crate::duty::Stop;
use crate::published::Published;

/// Time between two writes that tell which version the service has reached.
const MARK_EVERY: Duration = Duration::from_secs(600);
/// Time between two looks for work.
const LOOK: Duration = Duration::from_millis(500);
/// Pause after the service did not answer.
const PAUSE: Duration = Duration::from_secs(10);

/// The sweep duty of one router.
pub(crate) struct Sweep {
    pub(crate) sweeper: Sweeper,
    /// Key that is written to learn the service's version.
    pub(crate) mark: String,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) published: Arc<Published>,
    pub(crate) stop: Arc<Stop>,
}

impl Sweep {
    /// Runs until stopped.
    pub(crate) fn run(mut self) {
        let mut next_mark = Mono::ZERO;
        while !self.stop.stopped() {
            if !self.published.sweeping() {
                self.stop.wait(LOOK);
                continue;
            }
            match self.turn(&mut next_mark) {
                Ok(()) => self.stop.wait(LOOK),
                Err(error) => {
                    log::warn!("failed to sweep claims: {error}");
                    self.stop.wait(PAUSE);
                }
            }
        }
    }

    fn turn(&mut self, next_mark: &mut Mono) -> Result<()> {
        let now = self.clock.now();
        if now >= *next_mark {
            self.mark(now)?;
            *next_mark = now + MARK_EVERY;
        }
        let accounts = self.published.accounts();
        let accounts: Vec<AccountId> = accounts.list().keys().cloned().collect();
        let Some(prefix) = self.sweeper.next_prefix(&accounts, now) else {
            return Ok(());
        };
        let entries = self.store.list(&prefix)?;
        for ops in self.sweeper.sweep(&entries, now) {
            // A claim that has changed since stays; it comes up again.
            self.store.commit(&ops)?;
        }
        Ok(())
    }

    /// Learns which version the service has reached, by a write of its own.
    fn mark(&mut self, now: Mono) -> Result<()> {
        let op = Op::Put {
            key: self.mark.clone(),
            value: Vec::new(),
        };
        if let CommitResult::Applied(written) = self.store.commit(&[op])? {
            for one in written {
                self.sweeper.record_version(one.version, now);
            }
        }
        Ok(())
    }
}
