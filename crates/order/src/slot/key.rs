//! Handling of replies of the key-value service: the key of the server and its permit.

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
    /// Handles the result of reading the key.
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
        // A malformed record does not show whether an order is in flight, so one is assumed.
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
            // Taken by a commit whose reply was lost; the record before it is no longer known.
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

    /// Handles the list of the permits; other servers of the writer use some of them.
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

    /// Handles the result of a commit.
    pub(crate) fn on_committed(
        &mut self,
        result: StoreResult<CommitResult>,
        context: &mut Context<'_>,
    ) {
        self.in_flight = false;
        match self.phase.clone() {
            Phase::TakingKey(found) => self.on_key_taken(&found, result, context),
            Phase::RaisingFence(seen_fence) => self.on_fence_raised(seen_fence, &result, context),
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
                let Some(last) = written.iter().rev().find(|entry| entry.key == key) else {
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
            // Reads the key again; after a lost reply at once, since the key may be held.
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
        seen_fence: Fence,
        result: &StoreResult<CommitResult>,
        context: &mut Context<'_>,
    ) {
        match (result, &mut self.held_key) {
            (Ok(CommitResult::Applied(written)), Some(held_key)) => {
                held_key.base = raised_base(seen_fence, held_key.key_fence);
                held_key.version = written.last().map_or(held_key.version, |last| last.version);
                self.phase = Phase::Observing { at: context.now };
            }
            // The new base is valid only once the service has confirmed it under the current lease.
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
            // After a conflict there is nothing to release.
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
            // The server may have changed during the wait, so it is observed again before the load.
            self.phase = Phase::Observing { at: context.now };
        }
    }
}
