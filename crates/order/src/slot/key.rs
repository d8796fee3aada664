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
use super::Found;
use super::Hold;
use super::Phase;
use super::Slot;
use crate::mark;
use crate::mark::ServerMark;

impl Slot {
    /// Takes in what the key holds.
    pub(crate) fn on_read(
        &mut self,
        result: StoreResult<Option<Entry>>,
        context: &mut Context<'_>,
    ) {
        self.in_flight = false;
        let Phase::Wanting { .. } = self.phase else {
            return;
        };
        let entry = match result {
            Ok(entry) => entry,
            Err(error) => {
                log::warn!("failed to read the key of {}: {error}", self.target.server);
                self.want_later(context);
                return;
            }
        };
        let Some(entry) = entry else {
            self.phase = Phase::Taking(Found {
                version: 0,
                base: 0,
                busy: false,
            });
            return;
        };
        // A damaged mark hides whether an order is under way, so it counts as one.
        let mark = mark::decode(&entry.value).unwrap_or(ServerMark {
            busy: true,
            ..ServerMark::default()
        });
        match entry.lease.as_deref() {
            None => {
                self.phase = Phase::Taking(Found {
                    version: entry.version,
                    base: mark.base,
                    busy: mark.busy,
                });
            }
            // Taken by a commit whose reply was lost; what was there before it is not known any more.
            Some(id) if context.lease == Some(id) => {
                let hold = Hold {
                    base: mark.base,
                    lock: entry.fence,
                    version: entry.version,
                };
                self.begin_hold(hold, true, context);
            }
            Some(_) => {
                let look = context.now + self.backoff.next_delay(context.rng) + context.config.look;
                self.reset(look);
            }
        }
    }

    /// Takes in the list of the permits, of which other servers of the writer use some.
    pub(crate) fn on_listed(
        &mut self,
        result: StoreResult<Vec<Entry>>,
        used: &BTreeSet<u32>,
        context: &mut Context<'_>,
    ) {
        self.in_flight = false;
        let (Some(permit), Some(lease)) = (&mut self.permit, context.lease) else {
            return;
        };
        let chosen = match result {
            Ok(entries) => permit.listed(&entries, used, lease, context.config, context.rng),
            Err(error) => {
                log::warn!("failed to list the load permits: {error}");
                false
            }
        };
        if !chosen {
            permit.pause(context.now + self.backoff.next_delay(context.rng));
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
            Phase::Taking(found) => self.taken(&found, result, context),
            Phase::Raising(over) => self.raised(over, &result, context),
            Phase::Releasing { look, .. } => self.released(look, &result, context),
            Phase::Permit => self.permit_committed(&result, context),
            _ => (),
        }
    }

    fn taken(
        &mut self,
        found: &Found,
        result: StoreResult<CommitResult>,
        context: &mut Context<'_>,
    ) {
        let key = self.keys.server(&self.target.server);
        match result {
            Ok(CommitResult::Applied(written)) => {
                let Some(last) = written.iter().rev().find(|one| one.key == key) else {
                    self.want_later(context);
                    return;
                };
                let hold = Hold {
                    base: found.base,
                    lock: last.fence,
                    version: last.version,
                };
                self.begin_hold(hold, found.busy, context);
            }
            // Reads the key again: at once after a lost reply, since it may be ours.
            Err(StoreError::Lost { .. }) => self.phase = Phase::Wanting { retry: context.now },
            Ok(CommitResult::Conflict(_)) | Err(_) => self.want_later(context),
        }
    }

    fn begin_hold(&mut self, hold: Hold, busy: bool, context: &mut Context<'_>) {
        self.hold = Some(hold);
        self.sends = 0;
        self.phase = if busy && !self.target.checks {
            Phase::Quiet {
                until: context.now + context.config.quiet_time(),
            }
        } else {
            Phase::Checking { at: context.now }
        };
    }

    fn raised(
        &mut self,
        over: Fence,
        result: &StoreResult<CommitResult>,
        context: &mut Context<'_>,
    ) {
        match (result, &mut self.hold) {
            (Ok(CommitResult::Applied(written)), Some(hold)) => {
                hold.base = raised_base(over, hold.lock);
                hold.version = written.last().map_or(hold.version, |last| last.version);
                self.phase = Phase::Checking { at: context.now };
            }
            // The new base counts only once the service is known to hold it, under our lease.
            _ => self.want_later(context),
        }
    }

    fn released(
        &mut self,
        look: Mono,
        result: &StoreResult<CommitResult>,
        context: &mut Context<'_>,
    ) {
        match result {
            // After a conflict there is nothing to give back.
            Ok(_) => self.reset(look),
            Err(error) => {
                log::warn!("failed to release {}: {error}", self.target.server);
                let retry = context.now + self.backoff.next_delay(context.rng);
                self.phase = Phase::Releasing { retry, look };
            }
        }
    }

    fn permit_committed(&mut self, result: &StoreResult<CommitResult>, context: &mut Context<'_>) {
        let Some(permit) = &mut self.permit else {
            return;
        };
        if !permit.committed(result, context.now, context.config) {
            permit.pause(context.now + self.backoff.next_delay(context.rng));
        }
        if permit.is_ready() {
            self.backoff.reset();
            // Waiting may have taken long: the server is looked at once more before it loads.
            self.phase = Phase::Checking { at: context.now };
        }
    }
}
