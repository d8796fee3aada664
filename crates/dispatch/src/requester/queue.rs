//! Bounded queue of one pool at one router.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use primrose_core::clock::Mono;
use primrose_core::id::AccountId;
use primrose_core::id::RequestId;
use primrose_core::table::QueueBounds;

use crate::message::Checksum;
use crate::requester::PendingRequest;

#[derive(Debug, Default, Clone, Copy)]
struct Usage {
    requests: usize,
    bytes: usize,
}

impl Usage {
    fn add(&mut self, bytes: usize) {
        self.requests += 1;
        self.bytes += bytes;
    }

    fn remove(&mut self, bytes: usize) {
        self.requests -= 1;
        self.bytes -= bytes;
    }
}

#[derive(Debug)]
struct Entry {
    pending: PendingRequest,
    arrival: u64,
    since: Mono,
}

/// Waiting requests, with their number and size per account and in total.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    entries: BTreeMap<RequestId, Entry>,
    arrivals: BTreeMap<u64, RequestId>,
    deadlines: BTreeSet<(Mono, RequestId)>,
    accounts: BTreeMap<AccountId, Usage>,
    total: Usage,
    checksum: Checksum,
    arrival_count: u64,
}

impl Queue {
    /// Returns whether one more request would stay within the bounds.
    pub(crate) fn has_room(&self, pending: &PendingRequest, bounds: &QueueBounds) -> bool {
        let account = self.accounts.get(&pending.account).copied();
        let account = account.unwrap_or_default();
        account.requests < bounds.account_requests
            && account.bytes.saturating_add(pending.bytes) <= bounds.account_bytes
            && self.total.requests < bounds.total_requests
            && self.total.bytes.saturating_add(pending.bytes) <= bounds.total_bytes
    }

    pub(crate) fn push(&mut self, pending: PendingRequest, now: Mono) {
        self.remove(pending.request);
        let request = pending.request;
        self.arrival_count += 1;
        self.arrivals.insert(self.arrival_count, request);
        self.deadlines.insert((pending.deadline, request));
        self.total.add(pending.bytes);
        let usage = self.accounts.entry(pending.account.clone()).or_default();
        usage.add(pending.bytes);
        self.checksum.add(pending.attempt());
        let arrival = self.arrival_count;
        let entry = Entry {
            pending,
            arrival,
            since: now,
        };
        self.entries.insert(request, entry);
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&PendingRequest> {
        self.entries.get(&request).map(|e| &e.pending)
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<PendingRequest> {
        let Entry {
            pending, arrival, ..
        } = self.entries.remove(&request)?;
        self.arrivals.remove(&arrival);
        self.deadlines.remove(&(pending.deadline, request));
        self.total.remove(pending.bytes);
        if let Some(usage) = self.accounts.get_mut(&pending.account) {
            usage.remove(pending.bytes);
            if usage.requests == 0 {
                self.accounts.remove(&pending.account);
            }
        }
        self.checksum.remove(pending.attempt());
        Some(pending)
    }

    /// Removes and returns a request whose deadline has passed.
    pub(crate) fn pop_expired(&mut self, now: Mono) -> Option<PendingRequest> {
        let (deadline, request) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.remove(request)
    }

    /// Iterates over the waiting requests, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PendingRequest> {
        self.arrivals.values().filter_map(|r| self.get(*r))
    }

    /// Iterates over the waiting requests and when each was enqueued, oldest first.
    pub(crate) fn iter_since(&self) -> impl Iterator<Item = (&PendingRequest, Mono)> {
        let entries = self.arrivals.values().filter_map(|r| self.entries.get(r));
        entries.map(|e| (&e.pending, e.since))
    }

    /// Iterates over the accounts and their numbers of waiting requests.
    pub(crate) fn accounts(&self) -> impl Iterator<Item = (&AccountId, usize)> {
        self.accounts.iter().map(|(a, usage)| (a, usage.requests))
    }

    pub(crate) fn checksum(&self) -> Checksum {
        self.checksum
    }
}
