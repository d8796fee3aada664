//! Lending of slots between availability zones.
//!
//! Each zone's dispatcher publishes the requests that wait without a slot as a [`Demand`], at once
//! when demand begins, grows or ends. A dispatcher with a free slot lends it ([`Loan`]) if none of
//! its own requests waits, or if its least served waiting account has more weighted service than
//! another zone's by more than a threshold. It also lends the slot if a request of the account that
//! is to get it has waited much longer in another zone. The borrower grants the slot to a request
//! of the account that the loan names, else to the request that it ranks first, and returns it when
//! the attempt ends. So it takes one round trip until another zone uses an idle slot, and fairness
//! holds across zones.
//!
//! A demand message carries the full demand with a sequence number, not a change: if one is lost,
//! duplicated or late, the next one corrects it. A loan occupies the lender's slot until it is
//! returned, or until the borrower's digest no longer lists it. An unreachable zone is sent no
//! demand and no loans. The loans to it occupy their slots until the server's load reports show the
//! slots to be free, or until the pool's longest run time has passed.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::cost::Service;
use primrose_core::id::AccountId;
use primrose_core::id::Member;
use primrose_core::id::ServerId;
use primrose_core::id::ZoneId;
use primrose_share::weighted_service;
use primrose_share::Ledger;

use crate::message::Demand;
use crate::message::Digest;
use crate::message::Epoch;
use crate::message::LoanId;
use crate::message::Seen;
use crate::message::Sequence;
use crate::message::Wait;
use crate::message::Want;
use crate::policy::Candidate;
use crate::policy::Policy;
use crate::timing::DEMAND_EXPIRY;
use crate::timing::DEMAND_INTERVAL;
use crate::timing::DEMAND_REFRESH_INTERVAL;
use crate::timing::DIGEST_INTERVAL;
use crate::timing::MAX_DEMAND_BURST;
use crate::timing::MAX_DEMAND_RECEIVERS;

#[cfg(doc)]
use crate::message::Loan;

/// Demand below which each additional request is published after the minimum interval.
const SMALL_DEMAND: u32 = 8;
/// Minimum time from a demand message to one that is sent only because of a new account among the
/// least served, in minimum intervals.
const NEW_ACCOUNT_INTERVALS: u32 = 4;
/// How much longer a request of the same account must have waited in another zone to be served
/// first.
const AGE_MARGIN: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct ReceivedDemand {
    demand: Demand,
    at: Mono,
}

/// Another zone's dispatcher of this pool, with the latest state received from it.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    pub(crate) holder: Option<Member>,
    demand: Option<ReceivedDemand>,
    /// Sequence number of the latest digest.
    digest: Sequence,
    /// When the oldest waiting request of each account there began to wait.
    oldest_since: BTreeMap<AccountId, Mono>,
    /// Whether the zone has a server for suspect requests; `None` before its first digest.
    pub(crate) hosts_suspects: Option<bool>,
    /// Latest loan received from the zone.
    pub(crate) seen: Seen,
}

/// Slot that is lent to another zone.
#[derive(Debug, Clone)]
pub(crate) struct Lent {
    pub(crate) zone: ZoneId,
    pub(crate) server: ServerId,
    /// Account that the loan is for; empty for a suspect's loan and for one that an earlier
    /// dispatcher made.
    pub(crate) account: AccountId,
    pub(crate) at: Mono,
    /// The borrower is unreachable, or the router that used the slot was lost.
    pub(crate) orphaned: bool,
    /// The router that used the slot was lost, and the borrower has returned the loan as orphaned.
    pub(crate) router_lost: bool,
    pub(crate) suspect: bool,
}

/// Another zone's account that ranks first for a loan.
#[derive(Debug, Clone)]
pub(crate) struct RemoteCandidate {
    pub(crate) zone: ZoneId,
    pub(crate) account: AccountId,
    pub(crate) rank: i64,
}

/// Requests that wait in this zone without a slot.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct UnmetDemand {
    pub(crate) wants: Vec<Want>,
    pub(crate) suspects: u32,
}

impl UnmetDemand {
    pub(crate) fn total(&self) -> u32 {
        self.wants.iter().map(|w| w.count).sum()
    }

    fn is_zero(&self) -> bool {
        self.wants.is_empty() && self.suspects == 0
    }
}

/// Demand that was last published to the other zones, and the state of its rate limit.
#[derive(Debug, Default)]
struct PublishedDemand {
    demand: UnmetDemand,
    /// Loans received since that publication.
    loans_received: u32,
    /// When it was published; zero makes the next publication due.
    at: Mono,
    /// Time up to which the permitted message rate is used up.
    rate_used_until: Mono,
    sequence: Sequence,
}

/// Lending and borrowing state of one dispatcher.
#[derive(Debug, Default)]
pub(crate) struct Lending {
    pub(crate) peers: BTreeMap<ZoneId, Peer>,
    pub(crate) lent: BTreeMap<LoanId, Lent>,
    published: PublishedDemand,
}

impl Lending {
    /// Sets the holders of the other zones; returns the new ones.
    pub(crate) fn set_peers(&mut self, holders: BTreeMap<ZoneId, Option<Member>>) -> Vec<Member> {
        let mut new = Vec::new();
        self.peers.retain(|zone, _| holders.contains_key(zone));
        for (zone, holder) in holders {
            let peer = self.peers.entry(zone).or_default();
            if peer.holder == holder {
                continue;
            }
            *peer = Peer {
                holder: holder.clone(),
                ..Peer::default()
            };
            new.extend(holder);
        }
        new
    }

    /// Returns whether any other zone has published unmet demand.
    pub(crate) fn has_remote_demand(&self) -> bool {
        let mut received = self.peers.values().filter_map(|peer| peer.demand.as_ref());
        received.any(|received| !received.demand.wants.is_empty() || received.demand.suspects > 0)
    }

    /// Returns the zone whose dispatcher a router holds.
    pub(crate) fn zone_held_by(&self, member: &Member) -> Option<&ZoneId> {
        let mut peers = self.peers.iter();
        let found = peers.find(|(_, p)| p.holder.as_ref() == Some(member));
        found.map(|(zone, _)| zone)
    }

    pub(crate) fn holder(&self, zone: &str) -> Option<&Member> {
        self.peers.get(zone)?.holder.as_ref()
    }

    /// Iterates over the reachable holders.
    pub(crate) fn holders(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().filter_map(|p| p.holder.as_ref())
    }

    /// Records a digest; returns whether it is newer than all before from the zone.
    pub(crate) fn record_digest(&mut self, zone: &str, digest: &Digest, now: Mono) -> bool {
        let Some(peer) = self.peers.get_mut(zone) else {
            return false;
        };
        if digest.sequence <= peer.digest {
            return false;
        }
        peer.digest = digest.sequence;
        peer.hosts_suspects = Some(digest.hosts);
        let since = |wait: &Wait| now.saturating_sub(Duration::from_millis(wait.waited.into()));
        let waiting = digest.waiting.iter();
        peer.oldest_since = waiting.map(|w| (w.account.clone(), since(w))).collect();
        true
    }

    pub(crate) fn record_demand(&mut self, zone: &str, demand: Demand, now: Mono) {
        let Some(peer) = self.peers.get_mut(zone) else {
            return;
        };
        let old = peer.demand.as_ref().map_or(0, |old| old.demand.sequence);
        if demand.sequence > old {
            peer.demand = Some(ReceivedDemand { demand, at: now });
        }
    }

    /// Records a loan from a zone; returns whether it is newer than all before.
    pub(crate) fn record_loan(&mut self, zone: &str, id: LoanId) -> bool {
        let Some(peer) = self.peers.get_mut(zone) else {
            return false;
        };
        if peer.seen.epoch != id.epoch {
            peer.seen = Seen {
                epoch: id.epoch,
                sequence: 0,
            };
        }
        let newer = id.sequence > peer.seen.sequence;
        peer.seen.sequence = peer.seen.sequence.max(id.sequence);
        if newer {
            self.published.loans_received += 1;
        }
        newer
    }

    /// Returns the account that ranks first among the unmet demand of all other zones.
    ///
    /// `cost` is the expected cost of one loan. It is added to the account's service for each loan
    /// that digests cannot reflect yet, so that the account does not receive too many loans
    /// meanwhile.
    pub(crate) fn best_remote(
        &self,
        epoch: Epoch,
        ledger: &Ledger,
        policy: &dyn Policy,
        cost: Service,
        now: Mono,
    ) -> Option<RemoteCandidate> {
        let mut best: Option<RemoteCandidate> = None;
        for (zone, peer) in &self.peers {
            let Some(demand) = peer.current_demand(now) else {
                continue;
            };
            let total: u32 = demand.wants.iter().map(|w| w.count).sum();
            if total <= self.unseen_loans(zone, demand.seen, epoch) {
                continue;
            }
            for want in &demand.wants {
                let account = &want.account;
                let pending_service = self.unreported_loans(account, now).saturating_mul(cost);
                let pending_service = weighted_service(pending_service, ledger.weight(account));
                let candidate = Candidate {
                    account,
                    service: ledger.service(account).saturating_add(pending_service),
                    arrival: u64::MAX,
                };
                let rank = policy.rank(&candidate);
                if best.as_ref().is_none_or(|b| rank < b.rank) {
                    best = Some(RemoteCandidate {
                        zone: zone.clone(),
                        account: account.clone(),
                        rank,
                    });
                }
            }
        }
        best
    }

    /// Returns the zone in which the account's oldest request began to wait more than
    /// [`AGE_MARGIN`] before `since`, and to which no slot was lent for the account recently.
    pub(crate) fn zone_with_older(&self, account: &str, since: Mono, now: Mono) -> Option<&ZoneId> {
        let recent = |zone: &str| {
            let mut lent = self.lent.values();
            lent.any(|l| l.zone == zone && l.account == account && l.is_recent(now))
        };
        let peers = self.peers.iter().filter(|(_, p)| p.holder.is_some());
        let heads = peers.filter_map(|(zone, p)| Some((p.oldest_since.get(account)?, zone)));
        let older = heads.filter(|(at, zone)| **at + AGE_MARGIN < since && !recent(zone));
        older.min().map(|(_, zone)| zone)
    }

    /// Returns a zone in which suspect requests wait.
    pub(crate) fn suspect_zone(&self, now: Mono) -> Option<&ZoneId> {
        let waits = |p: &Peer| p.current_demand(now).is_some_and(|d| d.suspects > 0);
        let mut peers = self.peers.iter();
        peers.find(|(_, p)| waits(p)).map(|(zone, _)| zone)
    }

    /// Returns the sequence number under which to publish `demand` now, or `None` if no message is
    /// due.
    pub(crate) fn next_publication(&mut self, demand: &UnmetDemand, now: Mono) -> Option<Sequence> {
        let peers = self.holders().count().min(MAX_DEMAND_RECEIVERS);
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        let interval = DEMAND_INTERVAL * peers;
        if peers == 0 || !self.is_publish_due(demand, interval, now) {
            return None;
        }
        let earliest = now.saturating_sub(interval * MAX_DEMAND_BURST);
        let rate_used_until = self.published.rate_used_until.max(earliest) + interval;
        if rate_used_until > now {
            return None;
        }
        self.published = PublishedDemand {
            demand: demand.clone(),
            loans_received: 0,
            at: now,
            rate_used_until,
            sequence: self.published.sequence + 1,
        };
        Some(self.published.sequence)
    }

    /// Returns the receivers of the demand with this sequence number: all reachable zones, or a
    /// rotating subset if there are more than [`MAX_DEMAND_RECEIVERS`].
    pub(crate) fn demand_receivers(&self, sequence: Sequence) -> Vec<(Member, Seen)> {
        let peers = self.peers.values();
        let reachable = peers.filter_map(|p| Some((p.holder.clone()?, p.seen)));
        let mut reachable: Vec<_> = reachable.collect();
        if reachable.len() > MAX_DEMAND_RECEIVERS {
            let turn = usize::try_from(sequence)
                .unwrap_or(0)
                .wrapping_mul(MAX_DEMAND_RECEIVERS);
            let first = turn % reachable.len();
            reachable.rotate_left(first);
            reachable.truncate(MAX_DEMAND_RECEIVERS);
        }
        reachable
    }

    /// Makes a publication due, because a zone has a new holder.
    pub(crate) fn force_publication(&mut self) {
        self.published.at = Mono::ZERO;
    }

    fn is_publish_due(&self, demand: &UnmetDemand, interval: Duration, now: Mono) -> bool {
        let published = &self.published.demand;
        let since = now.saturating_sub(self.published.at);
        if demand.is_zero() && published.is_zero() {
            // Zero demand need not be repeated if lost: demand that is not refreshed expires.
            return false;
        }
        if demand.is_zero() != published.is_zero() || demand.suspects != published.suspects {
            return true;
        }
        // Demand that the other zones still assume, after the loans received since.
        let assumed = published
            .total()
            .saturating_sub(self.published.loans_received);
        let total = demand.total();
        // Doubled demand is published at once, so that a burst of arrivals takes few messages; a
        // smaller increase waits for the minimum interval.
        let doubled = total > assumed && total >= assumed.saturating_mul(2);
        let more = total > assumed && assumed < SMALL_DEMAND && since >= interval;
        if doubled || more || total < assumed / 2 {
            return true;
        }
        // A loan may be the only way for a new account among the least served to get a slot.
        let is_published =
            |account: &AccountId| published.wants.iter().any(|w| w.account == *account);
        let has_new_account = demand.wants.iter().any(|w| !is_published(&w.account));
        if has_new_account && since >= interval * NEW_ACCOUNT_INTERVALS {
            return true;
        }
        since >= DEMAND_REFRESH_INTERVAL || (demand != published && since >= DIGEST_INTERVAL)
    }

    /// Returns the number of loans to a zone that its demand does not take into account yet.
    fn unseen_loans(&self, zone: &str, seen: Seen, epoch: Epoch) -> u32 {
        let last = if seen.epoch == epoch {
            seen.sequence
        } else {
            0
        };
        let loans = self.lent.iter().filter(|(id, lent)| {
            lent.zone == zone && id.epoch == epoch && id.sequence > last && !lent.suspect
        });
        u32::try_from(loans.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of loans for an account that no digest can reflect yet.
    fn unreported_loans(&self, account: &str, now: Mono) -> Service {
        let loans = self.lent.values();
        let loans = loans.filter(|lent| lent.account == account && lent.is_recent(now));
        loans.count() as Service
    }
}

impl Lent {
    /// Returns whether the loan is so recent that digests may not reflect its charge yet.
    fn is_recent(&self, now: Mono) -> bool {
        now.saturating_sub(self.at) < DIGEST_INTERVAL * 2
    }
}

impl Peer {
    fn current_demand(&self, now: Mono) -> Option<&Demand> {
        self.holder.as_ref()?;
        let received = self.demand.as_ref()?;
        let valid = now.saturating_sub(received.at) < DEMAND_EXPIRY;
        valid.then_some(&received.demand)
    }
}
