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
    pub(crate) beat: RenewalNumber,
    heard: Mono,
    asked: Option<Mono>,
}

/// Registered routers and their latest renewals.
#[derive(Debug, Default)]
pub(crate) struct Routers {
    by_member: BTreeMap<Member, Router>,
}

impl Routers {
    /// Records a renewal; returns whether it is newer than all before.
    pub(crate) fn renewed(&mut self, member: &Member, beat: RenewalNumber, now: Mono) -> bool {
        let new = Router {
            beat: 0,
            heard: now,
            asked: None,
        };
        let router = self.by_member.entry(member.clone()).or_insert(new);
        if beat <= router.beat {
            return false;
        }
        router.beat = beat;
        router.heard = now;
        true
    }

    /// Returns whether a resync may be requested from the router now, and records the request.
    pub(crate) fn may_ask(&mut self, member: &Member, now: Mono) -> bool {
        let Some(router) = self.by_member.get_mut(member) else {
            // The router has not renewed yet; its first renewal will be compared.
            return false;
        };
        let last = router.asked;
        if last.is_some_and(|at| now.saturating_sub(at) < MIN_RESYNC_INTERVAL) {
            return false;
        }
        router.asked = Some(now);
        true
    }

    /// Returns the latest renewal of a router, if it is recent enough for grants.
    pub(crate) fn fresh(&self, member: &Member, now: Mono) -> Option<RenewalNumber> {
        let router = self.by_member.get(member)?;
        let fresh = now.saturating_sub(router.heard) < ROUTER_STALE_AFTER;
        fresh.then_some(router.beat)
    }

    pub(crate) fn remove(&mut self, member: &Member) {
        self.by_member.remove(member);
    }

    /// Removes and returns the routers that have not renewed for [`ROUTER_EXPIRY`].
    pub(crate) fn remove_silent(&mut self, now: Mono) -> Vec<Member> {
        let silent = |r: &Router| now.saturating_sub(r.heard) >= ROUTER_EXPIRY;
        let all = self.by_member.iter();
        let gone: Vec<_> = all
            .filter(|(_, r)| silent(r))
            .map(|(m, _)| m.clone())
            .collect();
        for member in &gone {
            self.by_member.remove(member);
        }
        gone
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.by_member.keys()
    }
}
