//! Slots lent between availability zones.
//!
//! Each zone's dispatcher tells the others what waits without a slot (a
//! [`Demand`]), at once when that begins, grows or ends. A
//! dispatcher whose slot comes free, and that has nothing waiting, or whose least served waiting
//! account lies more than a threshold above another zone's, lends that one slot
//! ([`Loan`]). The borrower grants it to its best registration and returns it
//! at the attempt's end. So an idle slot costs one round trip, and fairness crosses zone borders.
//!
//! Demand is a level with a sequence number, not a change: lost, doubled or late, the next one
//! states the truth. Loans count in the lender's slots until returned, or until the borrower
//! renews without listing them. A zone that is cut off is neither asked nor lent to; what it holds
//! stays counted until the server reports it free or the longest run is over.

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
use crate::timing::DEMAND_BURST;
use crate::timing::DEMAND_GAP;
use crate::timing::DEMAND_PEERS;
use crate::timing::DEMAND_REFRESH;
use crate::timing::DEMAND_STALE;
use crate::timing::DIGEST_EVERY;

#[cfg(doc)]
use crate::message::Loan;

/// Demand up to which each request more is told at once.
const SMALL_DEMAND: u32 = 8;
/// Pauses between two tellings for the sake of another account among the least served.
const NEWCOMER_GAPS: u32 = 4;
/// How much longer a request of the same account must have waited in another zone to go first.
const AGE_MARGIN: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Told {
    demand: Demand,
    at: Mono,
}

/// Another zone, as far as this pool is concerned.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    pub(crate) holder: Option<Member>,
    demand: Option<Told>,
    digest: Sequence,
    /// When the oldest request of each account that waits there began to wait.
    oldest: BTreeMap<AccountId, Mono>,
    /// Whether suspects could run there; nothing if it has not said yet.
    pub(crate) hosts: Option<bool>,
    /// Latest loan received from it.
    pub(crate) seen: Seen,
}

/// A slot that another zone uses.
#[derive(Debug, Clone)]
pub(crate) struct Lent {
    pub(crate) zone: ZoneId,
    pub(crate) server: ServerId,
    pub(crate) account: AccountId,
    pub(crate) at: Mono,
    /// The borrower cannot be reached, or its router is lost.
    pub(crate) orphaned: bool,
    /// The borrower's router is lost; the borrower has given the loan up.
    pub(crate) lost: bool,
    pub(crate) suspect: bool,
}

/// The account of another zone that would be served next.
#[derive(Debug, Clone)]
pub(crate) struct Remote {
    pub(crate) zone: ZoneId,
    pub(crate) account: AccountId,
    pub(crate) rank: i64,
}

/// What waits here without a slot.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Level {
    pub(crate) wants: Vec<Want>,
    pub(crate) suspects: u32,
}

impl Level {
    pub(crate) fn total(&self) -> u32 {
        self.wants.iter().map(|w| w.count).sum()
    }

    fn is_zero(&self) -> bool {
        self.wants.is_empty() && self.suspects == 0
    }
}

/// What was last told to the other zones.
#[derive(Debug, Default)]
struct Telling {
    level: Level,
    /// Loans received since.
    received: u32,
    at: Mono,
    /// Time up to which the rate of telling is used up.
    paid: Mono,
    sequence: Sequence,
}

/// State of lending and borrowing.
#[derive(Debug, Default)]
pub(crate) struct Spill {
    pub(crate) peers: BTreeMap<ZoneId, Peer>,
    pub(crate) lent: BTreeMap<LoanId, Lent>,
    telling: Telling,
}

impl Spill {
    /// Takes the holders of the other zones; returns the ones that are new.
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

    /// Whether another zone has told of requests that wait there.
    pub(crate) fn is_asked(&self) -> bool {
        let mut told = self.peers.values().filter_map(|peer| peer.demand.as_ref());
        told.any(|told| !told.demand.wants.is_empty() || told.demand.suspects > 0)
    }

    /// Finds the zone of which a router is the holder.
    pub(crate) fn zone_of(&self, member: &Member) -> Option<&ZoneId> {
        let mut peers = self.peers.iter();
        let found = peers.find(|(_, p)| p.holder.as_ref() == Some(member));
        found.map(|(zone, _)| zone)
    }

    pub(crate) fn holder(&self, zone: &str) -> Option<&Member> {
        self.peers.get(zone)?.holder.as_ref()
    }

    /// Lists the holders that can be reached.
    pub(crate) fn holders(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().filter_map(|p| p.holder.as_ref())
    }

    /// Notes a digest; tells whether it is later than all before from the zone.
    pub(crate) fn note_digest(&mut self, zone: &str, digest: &Digest, now: Mono) -> bool {
        let Some(peer) = self.peers.get_mut(zone) else {
            return false;
        };
        if digest.sequence <= peer.digest {
            return false;
        }
        peer.digest = digest.sequence;
        peer.hosts = Some(digest.hosts);
        let since = |wait: &Wait| now.saturating_sub(Duration::from_millis(wait.waited.into()));
        let waiting = digest.waiting.iter();
        peer.oldest = waiting.map(|w| (w.account.clone(), since(w))).collect();
        true
    }

    pub(crate) fn note_demand(&mut self, zone: &str, demand: Demand, now: Mono) {
        let Some(peer) = self.peers.get_mut(zone) else {
            return;
        };
        let old = peer.demand.as_ref().map_or(0, |t| t.demand.sequence);
        if demand.sequence > old {
            peer.demand = Some(Told { demand, at: now });
        }
    }

    /// Notes a loan from a zone; tells whether it is later than all before.
    pub(crate) fn note_loan(&mut self, zone: &str, id: LoanId) -> bool {
        let Some(peer) = self.peers.get_mut(zone) else {
            return false;
        };
        if peer.seen.epoch != id.epoch {
            peer.seen = Seen {
                epoch: id.epoch,
                sequence: 0,
            };
        }
        let later = id.sequence > peer.seen.sequence;
        peer.seen.sequence = peer.seen.sequence.max(id.sequence);
        if later {
            self.telling.received += 1;
        }
        later
    }

    /// Finds the account of another zone that ranks lowest among those with unmet demand.
    ///
    /// `cost` is what one loan is expected to cost; loans that digests do not show yet are added to
    /// the account's service, so that a low account is not served many times over.
    pub(crate) fn best(
        &self,
        epoch: Epoch,
        ledger: &Ledger,
        policy: &dyn Policy,
        cost: Service,
        now: Mono,
    ) -> Option<Remote> {
        let mut best: Option<Remote> = None;
        for (zone, peer) in &self.peers {
            let Some(demand) = peer.current(now) else {
                continue;
            };
            let total: u32 = demand.wants.iter().map(|w| w.count).sum();
            if total <= self.unseen(zone, demand.seen, epoch) {
                continue;
            }
            for want in &demand.wants {
                let account = &want.account;
                let pending = self.pending(account, now).saturating_mul(cost);
                let pending = weighted_service(pending, ledger.weight(account));
                let candidate = Candidate {
                    account,
                    service: ledger.service(account).saturating_add(pending),
                    arrival: u64::MAX,
                };
                let rank = policy.rank(&candidate);
                if best.as_ref().is_none_or(|b| rank < b.rank) {
                    best = Some(Remote {
                        zone: zone.clone(),
                        account: account.clone(),
                        rank,
                    });
                }
            }
        }
        best
    }

    /// Finds the zone in which an account's oldest request has waited much longer than since
    /// `since`, and that has not been lent a slot for it lately.
    pub(crate) fn older(&self, account: &str, since: Mono, now: Mono) -> Option<&ZoneId> {
        let recent = |zone: &str| {
            let mut lent = self.lent.values();
            lent.any(|l| l.zone == zone && l.account == account && l.is_recent(now))
        };
        let peers = self.peers.iter().filter(|(_, p)| p.holder.is_some());
        let heads = peers.filter_map(|(zone, p)| Some((p.oldest.get(account)?, zone)));
        let older = heads.filter(|(at, zone)| **at + AGE_MARGIN < since && !recent(zone));
        older.min().map(|(_, zone)| zone)
    }

    /// Finds a zone in which suspect requests wait.
    pub(crate) fn suspect_zone(&self, now: Mono) -> Option<&ZoneId> {
        let waits = |p: &Peer| p.current(now).is_some_and(|d| d.suspects > 0);
        let mut peers = self.peers.iter();
        peers.find(|(_, p)| waits(p)).map(|(zone, _)| zone)
    }

    /// Decides whether the level is to be told now; if so, returns its sequence number.
    pub(crate) fn tell(&mut self, level: &Level, now: Mono) -> Option<Sequence> {
        let peers = self.holders().count().min(DEMAND_PEERS);
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        let gap = DEMAND_GAP * peers;
        if peers == 0 || !self.is_due(level, gap, now) {
            return None;
        }
        let earliest = now.saturating_sub(gap * DEMAND_BURST);
        let paid = self.telling.paid.max(earliest) + gap;
        if paid > now {
            return None;
        }
        self.telling = Telling {
            level: level.clone(),
            received: 0,
            at: now,
            paid,
            sequence: self.telling.sequence + 1,
        };
        Some(self.telling.sequence)
    }

    /// Lists the zones to be told the level that has this number: all, or some in turn.
    pub(crate) fn told_zones(&self, sequence: Sequence) -> Vec<(Member, Seen)> {
        let peers = self.peers.values();
        let reachable = peers.filter_map(|p| Some((p.holder.clone()?, p.seen)));
        let mut reachable: Vec<_> = reachable.collect();
        if reachable.len() > DEMAND_PEERS {
            let turn = usize::try_from(sequence)
                .unwrap_or(0)
                .wrapping_mul(DEMAND_PEERS);
            let first = turn % reachable.len();
            reachable.rotate_left(first);
            reachable.truncate(DEMAND_PEERS);
        }
        reachable
    }

    /// Makes the next call of [`Spill::tell`] tell, because a zone has a new holder.
    pub(crate) fn tell_anew(&mut self) {
        self.telling.at = Mono::ZERO;
    }

    fn is_due(&self, level: &Level, gap: Duration, now: Mono) -> bool {
        let told = &self.telling.level;
        let since = now.saturating_sub(self.telling.at);
        if level.is_zero() && told.is_zero() {
            // A lost zero needs no repair: demand that is not refreshed becomes void.
            return false;
        }
        if level.is_zero() != told.is_zero() || level.suspects != told.suspects {
            return true;
        }
        // What the others still believe to be wanted, after the loans that came since.
        let believed = told.total().saturating_sub(self.telling.received);
        let total = level.total();
        // Doubling is told at once, so that a burst of arrivals takes few messages; one more, after
        // a pause.
        let doubled = total > believed && total >= believed.saturating_mul(2);
        let more = total > believed && believed < SMALL_DEMAND && since >= gap;
        if doubled || more || total < believed / 2 {
            return true;
        }
        // An account that is new among the least served may have nothing else than a slot lent here.
        let named = |account: &AccountId| told.wants.iter().any(|w| w.account == *account);
        let newcomer = level.wants.iter().any(|w| !named(&w.account));
        if newcomer && since >= gap * NEWCOMER_GAPS {
            return true;
        }
        since >= DEMAND_REFRESH || (level != told && since >= DIGEST_EVERY)
    }

    /// Counts the loans to a zone that its demand does not take into account yet.
    fn unseen(&self, zone: &str, seen: Seen, epoch: Epoch) -> u32 {
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

    /// Counts the loans for an account that no digest can show yet.
    fn pending(&self, account: &str, now: Mono) -> Service {
        let loans = self.lent.values();
        let loans = loans.filter(|lent| lent.account == account && lent.is_recent(now));
        loans.count() as Service
    }
}

impl Lent {
    /// Tells whether digests may not show yet what the loan changed.
    fn is_recent(&self, now: Mono) -> bool {
        now.saturating_sub(self.at) < DIGEST_EVERY * 2
    }
}

impl Peer {
    fn current(&self, now: Mono) -> Option<&Demand> {
        self.holder.as_ref()?;
        let told = self.demand.as_ref()?;
        let valid = now.saturating_sub(told.at) < DEMAND_STALE;
        valid.then_some(&told.demand)
    }
}
