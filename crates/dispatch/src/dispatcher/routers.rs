//! Liveness of the routers that register with a dispatcher.

use std::collections::BTreeMap;

use primrose_core::clock::Mono;
use primrose_core::id::Member;

use crate::message::RenewalNumber;
use crate::timing::MIN_RESYNC_INTERVAL;
use crate::timing::ROUTER_EXPIRY;
use crate::timing::ROUTER_STALE_AFTER;

#[derive(Debug, Clone, Copy)]
pub(crate) struct Router {
    pub(crate) renewal: RenewalNumber,
    renewed_at: Mono,
    resync_requested_at: Option<Mono>,
}

/// Registered routers and their latest renewals.
#[derive(Debug, Default)]
pub(crate) struct Routers {
    by_member: BTreeMap<Member, Router>,
}

impl Routers {
    /// Records a renewal; returns whether it is newer than all before.
    pub(crate) fn record_renewal(
        &mut self,
        member: &Member,
        renewal: RenewalNumber,
        now: Mono,
    ) -> bool {
        let new = Router {
            renewal: 0,
            renewed_at: now,
            resync_requested_at: None,
        };
        let router = self.by_member.entry(member.clone()).or_insert(new);
        if renewal <= router.renewal {
            return false;
        }
        router.renewal = renewal;
        router.renewed_at = now;
        true
    }

    /// Returns whether a resync may be requested from the router now, and records the request.
    pub(crate) fn may_request_resync(&mut self, member: &Member, now: Mono) -> bool {
        let Some(router) = self.by_member.get_mut(member) else {
            // The router has not renewed yet; its first renewal will be compared.
            return false;
        };
        let last = router.resync_requested_at;
        if last.is_some_and(|at| now.saturating_sub(at) < MIN_RESYNC_INTERVAL) {
            return false;
        }
        router.resync_requested_at = Some(now);
        true
    }

    /// Returns the latest renewal of a router, if it is recent enough for grants.
    pub(crate) fn current_renewal(&self, member: &Member, now: Mono) -> Option<RenewalNumber> {
        let router = self.by_member.get(member)?;
        let is_current = now.saturating_sub(router.renewed_at) < ROUTER_STALE_AFTER;
        is_current.then_some(router.renewal)
    }

    pub(crate) fn remove(&mut self, member: &Member) {
        self.by_member.remove(member);
    }

    /// Removes and returns the routers that have not renewed for [`ROUTER_EXPIRY`].
    pub(crate) fn remove_expired(&mut self, now: Mono) -> Vec<Member> {
        let is_expired = |r: &Router| now.saturating_sub(r.renewed_at) >= ROUTER_EXPIRY;
        let all = self.by_member.iter();
        let expired: Vec<_> = all
            .filter(|(_, r)| is_expired(r))
            .map(|(m, _)| m.clone())
            .collect();
        for member in &expired {
            self.by_member.remove(member);
        }
        expired
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.by_member.keys()
    }
}
