//! Answers of the key-value service: the server's key and its permit.

use std::collections::BTreeSet;

use primrose_core::clock::Mono;
use primrose_core::id::Fence;
use primrose_store::store::CommitResult;
use primrose_store::store::Entry;
use primrose_store::store::Result as StoreResult;
use primrose_store::store::StoreError;

use super::raised_base;
use super::Context;
use super::FoundKey;
use super::HeldKey;
use super::Phase;
use super::ServerReconciler;
use crate::record;
use crate::record::ServerRecord;

impl ServerReconciler {
    /// Takes in what the key holds.
    pub(crate) fn on_read(
        &mut self,
        result: StoreResult<Option<Entry>>,
        context: &mut Context<'_>,
    ) {
        self.in_flight = false;
        let Phase::ReadingKey { .. } = self.phase else {
            return;
        };
        let entry = match result {
            Ok(entry) => entry,
            Err(error) => {
                log::warn!("failed to read the key of {}: {error}", self.target.server);
                self.retry_read_later(context);
                return;
            }
        };
        let Some(entry) = entry else {
            self.phase = Phase::TakingKey(FoundKey {
                version: 0,
                base: 0,
                busy: false,
            });
            return;
        };
        // A damaged mark hides whether an order is under way, so it counts as one.
        let record = record::decode(&entry.value).unwrap_or(ServerRecord {
            busy: true,
            ..ServerRecord::default()
        });
        match entry.lease.as_deref() {
            None => {
                self.phase = Phase::TakingKey(FoundKey {
                    version: entry.version,
                    base: record.base,
                    busy: record.busy,
                });
            }
            // Taken by a commit whose reply was lost; what was there before it is not known any more.
            Some(id) if context.lease == Some(id) => {
                let held_key = HeldKey {
                    base: record.base,
                    key_fence: entry.fence,
                    version: entry.version,
                };
                self.on_key_held(held_key, true, context);
            }
            Some(_) => {
                let observe_at = context.now
                    + self.backoff.next_delay(context.rng)
                    + context.config.observe_interval;
                self.reset(observe_at);
            }
        }
    }

    /// Takes in the list of the permits, of which other servers of the writer use some.
    pub(crate) fn on_listed(
        &mut self,
        result: StoreResult<Vec<Entry>>,
        used_by_others: &BTreeSet<u32>,
        context: &mut Context<'_>,
    ) {
        self.in_flight = false;
        let (Some(permit), Some(lease)) = (&mut self.permit, context.lease) else {
            return;
        };
        let chosen = match result {
            Ok(entries) => {
                permit.on_listed(&entries, used_by_others, lease, context.config, context.rng)
            }
            Err(error) => {
                log::warn!("failed to list the load permits: {error}");
                false
            }
        };
        if !chosen {
            permit.delay_until(context.now + self.backoff.next_delay(context.rng));
        }
    }

    /// Takes in what became of a commit.
    pub(crate) fn on_committed(
        &mut self,
        result: StoreResult<CommitResult>,
        context: &mut Context<'_>,
    ) {
        self.in_flight = false;
        match self.phase.clone() {
            Phase::TakingKey(found) => self.on_key_taken(&found, result, context),
            Phase::RaisingFence(over) => self.on_fence_raised(over, &result, context),
            Phase::Releasing { observe_at, .. } => {
                self.on_key_released(observe_at, &result, context)
            }
            Phase::AcquiringPermit => self.on_permit_committed(&result, context),
            _ => (),
        }
    }

    fn on_key_taken(
        &mut self,
        found: &FoundKey,
        result: StoreResult<CommitResult>,
        context: &mut Context<'_>,
    ) {
        let key = self.keys.server(&self.target.server);
        match result {
            Ok(CommitResult::Applied(written)) => {
                let Some(last) = written.iter().rev().find(|one| one.key == key) else {
                    self.retry_read_later(context);
                    return;
                };
                let held_key = HeldKey {
                    base: found.base,
                    key_fence: last.fence,
                    version: last.version,
                };
                self.on_key_held(held_key, found.busy, context);
            }
            // Reads the key again: at once after a lost reply, since it may be ours.
            Err(StoreError::Lost { .. }) => {
                self.phase = Phase::ReadingKey {
                    retry_at: context.now,
                }
            }
            Ok(CommitResult::Conflict(_)) | Err(_) => self.retry_read_later(context),
        }
    }

    fn on_key_held(&mut self, held_key: HeldKey, busy: bool, context: &mut Context<'_>) {
        self.held_key = Some(held_key);
        self.send_attempts = 0;
        self.phase = if busy && !self.target.checks_fence {
            Phase::WaitingOut {
                until: context.now + context.config.takeover_delay(),
            }
        } else {
            Phase::Observing { at: context.now }
        };
    }

    fn on_fence_raised(
        &mut self,
        over: Fence,
        result: &StoreResult<CommitResult>,
        context: &mut Context<'_>,
    ) {
        match (result, &mut self.held_key) {
            (Ok(CommitResult::Applied(written)), Some(held_key)) => {
                held_key.base = raised_base(over, held_key.key_fence);
                held_key.version = written.last().map_or(held_key.version, |last| last.version);
                self.phase = Phase::Observing { at: context.now };
            }
            // The new base counts only once the service is known to hold it, under our lease.
            _ => self.retry_read_later(context),
        }
    }

    fn on_key_released(
        &mut self,
        observe_at: Mono,
        result: &StoreResult<CommitResult>,
        context: &mut Context<'_>,
    ) {
        match result {
            // After a conflict there is nothing to give back.
            Ok(_) => self.reset(observe_at),
            Err(error) => {
                log::warn!("failed to release {}: {error}", self.target.server);
                let retry_at = context.now + self.backoff.next_delay(context.rng);
                self.phase = Phase::Releasing {
                    retry_at,
                    observe_at,
                };
            }
        }
    }

    fn on_permit_committed(
        &mut self,
        result: &StoreResult<CommitResult>,
        context: &mut Context<'_>,
    ) {
        let Some(permit) = &mut self.permit else {
            return;
        };
        if !permit.on_committed(result, context.now, context.config) {
            permit.delay_until(context.now + self.backoff.next_delay(context.rng));
        }
        if permit.is_ready() {
            self.backoff.reset();
            // Waiting may have taken long: the server is looked at once more before it loads.
            self.phase = Phase::Observing { at: context.now };
        }
    }
}
