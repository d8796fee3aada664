//! Registrations of waiting requests at a dispatcher.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::AccountId;
use primrose_core::id::Member;
use primrose_core::id::RequestId;
use primrose_share::Ledger;

use crate::message;
use crate::message::Checksum;
use crate::message::Registration;
use crate::message::Wait;
use crate::message::Want;
use crate::policy::Candidate;
use crate::policy::Policy;

/// Maximum number of accounts in a demand message.
const MAX_WANT_ACCOUNTS: usize = 4;
/// Maximum number of requests that a demand message counts for one account.
const MAX_WANT_COUNT: usize = 64;

/// Waiting request and the router that holds it.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) registration: Registration,
    pub(crate) router: Member,
    pub(crate) deadline: Mono,
    /// When the request began to wait.
    since: Mono,
    arrival: u64,
}

/// Request to serve next.
#[derive(Debug, Clone)]
pub(crate) struct NextRequest {
    pub(crate) request: RequestId,
    pub(crate) account: AccountId,
    pub(crate) rank: i64,
    /// When the request began to wait.
    pub(crate) since: Mono,
}

type Arrivals = BTreeMap<u64, RequestId>;
type Accounts = BTreeMap<AccountId, Arrivals>;

/// All waiting requests, by account in order of arrival, with suspect ones kept separately.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    entries: BTreeMap<RequestId, Entry>,
    normal: Accounts,
    suspects: Accounts,
    checksums: BTreeMap<Member, Checksum>,
    arrival_count: u64,
}

impl Waiting {
    pub(crate) fn push(&mut self, router: Member, registration: Registration, now: Mono) {
        let left = Duration::from_millis(registration.left.into());
        let waited = Duration::from_millis(registration.waited.into());
        self.remove(registration.request);
        self.arrival_count += 1;
        self.insert(Entry {
            registration,
            router,
            deadline: now + left,
            since: now.saturating_sub(waited),
            arrival: self.arrival_count,
        });
    }

    /// Restores a request to its previous position.
    pub(crate) fn restore(&mut self, entry: Entry) {
        self.remove(entry.registration.request);
        self.insert(entry);
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&request)?;
        let accounts = if entry.registration.suspect {
            &mut self.suspects
        } else {
            &mut self.normal
        };
        let account = &entry.registration.account;
        if let Some(arrivals) = accounts.get_mut(account) {
            arrivals.remove(&entry.arrival);
            if arrivals.is_empty() {
                accounts.remove(account);
            }
        }
        if let Some(checksum) = self.checksums.get_mut(&entry.router) {
            checksum.remove(entry.registration.attempt());
            if checksum.count == 0 {
                self.checksums.remove(&entry.router);
            }
        }
        Some(entry)
    }

    /// Removes all requests of a router; returns them in order of arrival.
    pub(crate) fn remove_router(&mut self, router: &Member) -> Vec<Entry> {
        if !self.checksums.contains_key(router) {
            return Vec::new();
        }
        let of_router = self.entries.values().filter(|e| e.router == *router);
        let requests: Vec<_> = of_router.map(|e| e.registration.request).collect();
        let mut entries: Vec<_> = requests
            .into_iter()
            .filter_map(|r| self.remove(r))
            .collect();
        entries.sort_by_key(|e| e.arrival);
        entries
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&Entry> {
        self.entries.get(&request)
    }

    pub(crate) fn checksum(&self, router: &Member) -> Checksum {
        self.checksums.get(router).copied().unwrap_or_default()
    }

    /// Returns whether any request of an account waits.
    pub(crate) fn has_account(&self, account: &str) -> bool {
        self.normal.contains_key(account) || self.suspects.contains_key(account)
    }

    pub(crate) fn accounts(&self) -> impl Iterator<Item = (&AccountId, usize)> {
        self.normal.iter().map(|(a, arrivals)| (a, arrivals.len()))
    }

    /// Returns how long the oldest request of each account has waited.
    pub(crate) fn oldest_waits(&self, now: Mono) -> Vec<Wait> {
        let heads = self.normal.iter().filter_map(|(account, arrivals)| {
            let oldest = arrivals.values().next()?;
            let since = self.entries.get(oldest)?.since;
            Some(Wait {
                account: account.clone(),
                waited: message::millis(now.saturating_sub(since)),
            })
        });
        heads.collect()
    }

    /// Returns the oldest eligible request of an account.
    pub(crate) fn oldest(
        &self,
        account: &str,
        is_eligible: &dyn Fn(&Entry) -> bool,
    ) -> Option<RequestId> {
        let entry = self.first_eligible(self.normal.get(account)?, is_eligible)?;
        Some(entry.registration.request)
    }

    pub(crate) fn suspects(&self) -> usize {
        self.suspects.values().map(BTreeMap::len).sum()
    }

    /// Returns the eligible request to serve next.
    pub(crate) fn next_request(
        &self,
        suspect: bool,
        policy: &dyn Policy,
        ledger: &Ledger,
        is_eligible: &dyn Fn(&Entry) -> bool,
    ) -> Option<NextRequest> {
        let accounts = if suspect {
            &self.suspects
        } else {
            &self.normal
        };
        let heads = accounts.iter().filter_map(|(account, arrivals)| {
            let entry = self.first_eligible(arrivals, is_eligible)?;
            let candidate = Candidate {
                account,
                service: ledger.service(account),
                arrival: entry.arrival,
            };
            let request = entry.registration.request;
            let rank = policy.rank(&candidate);
            let next = NextRequest {
                request,
                account: account.clone(),
                rank,
                since: entry.since,
            };
            Some((entry.arrival, next))
        });
        let best = heads.min_by_key(|(arrival, next)| (next.rank, *arrival));
        best.map(|(_, next)| next)
    }

    /// Returns the numbers of eligible requests of the least served accounts, least served first.
    pub(crate) fn wants(&self, ledger: &Ledger, is_eligible: &dyn Fn(&Entry) -> bool) -> Vec<Want> {
        let mut accounts: Vec<_> = self.normal.iter().collect();
        accounts.sort_by_key(|(account, _)| ledger.service(account));
        let mut wants = Vec::new();
        for (account, arrivals) in accounts {
            let entries = arrivals.values().filter_map(|r| self.entries.get(r));
            let count = entries
                .filter(|e| is_eligible(e))
                .take(MAX_WANT_COUNT)
                .count();
            if count == 0 {
                continue;
            }
            let account = account.clone();
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            wants.push(Want { account, count });
            if wants.len() == MAX_WANT_ACCOUNTS {
                break;
            }
        }
        wants
    }

    fn first_eligible(
        &self,
        arrivals: &Arrivals,
        is_eligible: &dyn Fn(&Entry) -> bool,
    ) -> Option<&Entry> {
        let mut entries = arrivals.values().filter_map(|r| self.entries.get(r));
        entries.find(|e| is_eligible(e))
    }

    fn insert(&mut self, entry: Entry) {
        let request = entry.registration.request;
        let account = entry.registration.account.clone();
        let accounts = if entry.registration.suspect {
            &mut self.suspects
        } else {
            &mut self.normal
        };
        let arrivals = accounts.entry(account).or_default();
        arrivals.insert(entry.arrival, request);
        let checksum = self.checksums.entry(entry.router.clone()).or_default();
        checksum.add(entry.registration.attempt());
        self.entries.insert(request, entry);
    }
}
