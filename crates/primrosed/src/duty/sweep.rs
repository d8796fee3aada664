//! The sweep thread: removes claims whose retention time has passed.
//!
//! One router of the fleet sweeps at a time, or one in each part of a network partition; two at once
//! do no harm. The age of a claim is derived from versions of the key-value service and from this
//! process's monotonic clock, so a router that has just taken over the duty removes nothing for
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

use crate::duty::StopFlag;
use crate::snapshots::Snapshots;

/// Interval between writes that reveal the current version of the service.
const VERSION_WRITE_INTERVAL: Duration = Duration::from_secs(600);
/// Interval at which the thread checks for work.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a call to the service failed.
const ERROR_PAUSE: Duration = Duration::from_secs(10);

/// State of the sweep thread.
pub(crate) struct SweepThread {
    pub(crate) sweeper: Sweeper,
    /// Key that is written to learn the current version of the service.
    pub(crate) version_key: String,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) snapshots: Arc<Snapshots>,
    pub(crate) stop: Arc<StopFlag>,
}

impl SweepThread {
    /// Runs until the stop flag is set.
    pub(crate) fn run(mut self) {
        let mut next_version_write = Mono::ZERO;
        while !self.stop.is_stopped() {
            if !self.snapshots.sweeping() {
                self.stop.wait(CHECK_INTERVAL);
                continue;
            }
            match self.sweep_once(&mut next_version_write) {
                Ok(()) => self.stop.wait(CHECK_INTERVAL),
                Err(error) => {
                    log::warn!("failed to sweep claims: {error}");
                    self.stop.wait(ERROR_PAUSE);
                }
            }
        }
    }

    fn sweep_once(&mut self, next_version_write: &mut Mono) -> Result<()> {
        let now = self.clock.now();
        if now >= *next_version_write {
            self.learn_version(now)?;
            *next_version_write = now + VERSION_WRITE_INTERVAL;
        }
        let accounts = self.snapshots.accounts();
        let accounts: Vec<AccountId> = accounts.list().keys().cloned().collect();
        let Some(prefix) = self.sweeper.next_prefix(&accounts, now) else {
            return Ok(());
        };
        let entries = self.store.list(&prefix)?;
        if self.sweeper.sweep(&entries, now).is_empty() {
            return Ok(());
        }
        // Shows whether the service was restored since the last write.
        self.learn_version(now)?;
        for ops in self.sweeper.sweep(&entries, now) {
            // A claim that has changed since is kept and considered again in a later pass.
            self.store.commit(&ops)?;
        }
        Ok(())
    }

    /// Learns the current version of the service by writing a key.
    fn learn_version(&mut self, now: Mono) -> Result<()> {
        let op = Op::Put {
            key: self.version_key.clone(),
            value: Vec::new(),
        };
        if let CommitResult::Applied(written) = self.store.commit(&[op])? {
            for one in written {
                self.sweeper.record_write(one.version, now);
            }
        }
        Ok(())
    }
}
