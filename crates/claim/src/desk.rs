//! The claim writer: batches requests into commits, and handles lost replies and outages.
//!
//! The writer is a state machine without I/O. [`ClaimWriter::submit`] queues a request,
//! [`ClaimWriter::next_call`] returns the next call to the service, and
//! [`ClaimWriter::handle_result`] takes its result. [`ClaimWriter::step`] does all of this over a
//! [`Store`], for a thread that does nothing else. At most one call is in flight; requests that
//! arrive meanwhile go into the next commit together, up to [`MAX_OPS`].

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::mem::take;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_core::id::RequestId;
use primrose_store::store::CommitResult;
use primrose_store::store::Entry;
use primrose_store::store::Key;
use primrose_store::store::Op;
use primrose_store::store::Store;
use primrose_store::store::StoreError;
use primrose_store::store::Version;
use primrose_store::store::Written;
use primrose_store::store::MAX_OPS;

use crate::call::Call;
use crate::call::CallResult;
use crate::call::Counts;
use crate::call::Limits;
use crate::circuit_breaker::CircuitBreaker;
use crate::record::UnixMillis;
use crate::request::ClaimAction;
use crate::request::ClaimRequest;
use crate::request::ClaimResult;
use crate::request::Reply;
use crate::task::KnownState;
use crate::task::PendingWrite;
use crate::task::Resolution;

/// Smallest batch limit to which conflicts reduce a commit, in operations.
const MIN_BATCH_OPS: usize = 4;

/// Batches claim and close requests into commits.
#[derive(Debug)]
pub struct ClaimWriter {
    prefix: String,
    limits: Limits,
    /// Claim requests that wait.
    claims: VecDeque<PendingWrite>,
    /// Close requests that wait: releases and outcomes.
    closes: VecDeque<PendingWrite>,
    /// Writes of the call in flight.
    in_flight: Vec<PendingWrite>,
    /// Versions of the open claims that this writer made.
    open_versions: HashMap<RequestId, Version>,
    breaker: CircuitBreaker,
    batch_limit: usize,
    read_last: bool,
    counts: Counts,
}

impl ClaimWriter {
    /// Creates a writer whose keys begin with the prefix.
    pub fn new(prefix: &str, limits: Limits) -> Self {
        Self {
            prefix: prefix.to_owned(),
            limits,
            claims: VecDeque::new(),
            closes: VecDeque::new(),
            in_flight: Vec::new(),
            open_versions: HashMap::new(),
            breaker: CircuitBreaker::default(),
            batch_limit: MAX_OPS,
            read_last: false,
            counts: Counts::default(),
        }
    }

    /// Returns the counters since the writer was created.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of requests that wait or are in flight.
    pub fn waiting(&self) -> usize {
        self.claims.len() + self.closes.len() + self.in_flight.len()
    }

    /// Queues a request; returns a reply at once if a claim has to be rejected.
    pub fn submit(&mut self, claim_request: ClaimRequest, now: Mono) -> Option<Reply> {
        let request = claim_request.request;
        if claim_request.action != ClaimAction::Claim {
            let version = self.open_versions.remove(&request);
            let write = PendingWrite::new(&self.prefix, claim_request, version, now);
            self.queue_close(write);
            return None;
        }
        let full = self.claims.len() >= self.limits.max_claims;
        if full || self.breaker.reject_for(now).is_some() {
            return Some(self.reject(request, now));
        }
        let write = PendingWrite::new(&self.prefix, claim_request, None, now);
        self.claims.push_back(write);
        None
    }

    fn reject(&mut self, request: RequestId, now: Mono) -> Reply {
        self.counts.unavailable += 1;
        let retry_after = self.breaker.retry_after(now);
        let result = ClaimResult::Unavailable { retry_after };
        Reply { request, result }
    }

    /// Queues a close request until it is written.
    ///
    /// Above the size limit, reduces all answers to their digests; above the limit on their number,
    /// drops the oldest request.
    fn queue_close(&mut self, write: PendingWrite) {
        self.closes.push_back(write);
        let bytes =
            |closes: &VecDeque<PendingWrite>| closes.iter().map(PendingWrite::bytes).sum::<usize>();
        if bytes(&self.closes) > self.limits.max_close_bytes {
            self.closes.iter_mut().for_each(PendingWrite::keep_digest);
        }
        if self.closes.len() > self.limits.max_closes {
            self.closes.pop_front();
            self.counts.dropped += 1;
        }
    }

    /// Rejects the claim requests that have timed out, and releases any claim that they may have
    /// written.
    pub fn expire(&mut self, now: Mono) -> Vec<Reply> {
        let timeout = self.limits.claim_timeout;
        let (expired, waiting): (Vec<_>, Vec<_>) = take(&mut self.claims)
            .into_iter()
            .partition(|write| now.saturating_sub(write.submitted_at) > timeout);
        self.claims = waiting.into();
        let mut replies = Vec::new();
        for mut write in expired {
            replies.push(self.reject(write.request.request, now));
            if write.may_have_applied {
                write.turn_into_release();
                self.queue_close(write);
            }
        }
        replies
    }

    /// Returns the next call, unless one is in flight or nothing can be done yet.
    pub fn next_call(&mut self, now: Mono, at: UnixMillis) -> Option<Call> {
        if !self.in_flight.is_empty() || self.breaker.blocked_until(now).is_some() {
            return None;
        }
        // Reads and commits alternate, so that neither starves the other.
        let read_first = !self.read_last;
        self.read_last = read_first;
        if read_first {
            return self.next_read().or_else(|| self.next_commit(now, at));
        }
        self.next_commit(now, at).or_else(|| self.next_read())
    }

    /// Returns the time at which to call [`ClaimWriter::expire`] and [`ClaimWriter::next_call`]
    /// again; `None` if nothing waits.
    pub fn next_wake(&self) -> Option<Mono> {
        let oldest = self.claims.front().or(self.closes.front())?;
        let due = oldest.submitted_at + self.limits.batch_window;
        Some(due.max(self.breaker.retry_at()))
    }

    fn next_read(&mut self) -> Option<Call> {
        let unread = |write: &PendingWrite| write.known_state == KnownState::Unread;
        let queues = [&mut self.claims, &mut self.closes];
        let write = queues.into_iter().find_map(|queue| {
            let index = queue.iter().position(unread)?;
            queue.remove(index)
        })?;
        let key = write.key.clone();
        self.in_flight.push(write);
        self.counts.reads += 1;
        Some(Call::Get(key))
    }

    fn next_commit(&mut self, now: Mono, at: UnixMillis) -> Option<Call> {
        if !self.batch_due(now) {
            return None;
        }
        let mut keys = HashSet::new();
        // A quarter of a commit is reserved for close requests, so that claims cannot starve them.
        let reserved = self.closes.len().min(self.batch_limit / 4);
        self.in_flight = take_ready(&mut self.claims, self.batch_limit - reserved, &mut keys);
        let limit = self.batch_limit - self.in_flight.len();
        let closes = take_ready(&mut self.closes, limit, &mut keys);
        self.in_flight.extend(closes);
        if self.in_flight.is_empty() {
            return None;
        }
        let ops: Vec<Op> = self
            .in_flight
            .iter()
            .filter_map(|write| write.op(at))
            .collect();
        self.counts.commits += 1;
        self.counts.ops += ops.len() as u64;
        Some(Call::Commit(ops))
    }

    /// Whether a commit is full, or its oldest request has waited for the batch window.
    fn batch_due(&self, now: Mono) -> bool {
        let fronts = [self.claims.front(), self.closes.front()];
        let oldest = fronts
            .into_iter()
            .flatten()
            .map(|write| write.submitted_at)
            .min();
        let full = self.claims.len() + self.closes.len() >= self.batch_limit;
        full || oldest.is_some_and(|since| now.saturating_sub(since) >= self.limits.batch_window)
    }

    /// Takes the result of the call that [`ClaimWriter::next_call`] returned last.
    pub fn handle_result(&mut self, result: CallResult, now: Mono, at: UnixMillis) -> Vec<Reply> {
        let writes = take(&mut self.in_flight);
        match result {
            CallResult::Got(Ok(entry)) => {
                self.breaker.on_success();
                self.on_read(writes, entry.as_ref(), at)
            }
            CallResult::Got(Err(error)) => self.on_error(writes, &error, now),
            CallResult::Committed(Ok(CommitResult::Applied(written))) => {
                self.breaker.on_success();
                self.batch_limit = (self.batch_limit * 2).min(MAX_OPS);
                self.on_applied(&writes, &written)
            }
            CallResult::Committed(Ok(CommitResult::Conflict(conflict))) => {
                self.breaker.on_success();
                self.batch_limit = (self.batch_limit / 2).max(MIN_BATCH_OPS);
                self.on_conflict(writes, conflict.op);
                Vec::new()
            }
            CallResult::Committed(Err(error)) => self.on_error(writes, &error, now),
        }
    }

    fn on_applied(&mut self, writes: &[PendingWrite], written: &[Written]) -> Vec<Reply> {
        let claim_writes = writes.iter().filter(|write| write.is_claim());
        let made = claim_writes.map(|write| {
            let found = written.iter().find(|entry| entry.key == write.key);
            (write.request.request, found.map(|entry| entry.version))
        });
        made.collect::<Vec<_>>()
            .into_iter()
            .map(|(request, version)| self.claim_made(request, version))
            .collect()
    }

    fn claim_made(&mut self, request: RequestId, version: Option<Version>) -> Reply {
        if let Some(version) = version {
            self.open_versions.insert(request, version);
        }
        let result = ClaimResult::Made;
        Reply { request, result }
    }

    /// Has the key of the failed operation read again; the other writes go into the next commit.
    fn on_conflict(&mut self, writes: Vec<PendingWrite>, op: usize) {
        let known_op = op < writes.len();
        for (index, mut write) in writes.into_iter().enumerate().rev() {
            if index == op || !known_op {
                write.known_state = KnownState::Unread;
            }
            self.requeue(write);
        }
    }

    fn requeue(&mut self, write: PendingWrite) {
        if write.is_claim() {
            self.claims.push_front(write);
        } else {
            self.closes.push_front(write);
        }
    }

    fn on_error(&mut self, writes: Vec<PendingWrite>, error: &StoreError, now: Mono) -> Vec<Reply> {
        self.breaker.on_failure(now);
        log::warn!(error:% = error; "failed to reach the key-value service for claims");
        let invalid = matches!(error, StoreError::Invalid { .. });
        if invalid && writes.len() == 1 {
            return self.drop_invalid(writes, now);
        }
        if invalid {
            // Commits one operation at a time until the invalid one is found.
            self.batch_limit = 1;
        }
        for mut write in writes.into_iter().rev() {
            if !matches!(error, StoreError::Unavailable { .. }) {
                write.may_have_applied = true;
                write.known_state = KnownState::Unread;
            }
            self.requeue(write);
        }
        Vec::new()
    }

    /// Drops a request that the service will never accept.
    fn drop_invalid(&mut self, writes: Vec<PendingWrite>, now: Mono) -> Vec<Reply> {
        self.counts.dropped += 1;
        let claim_writes = writes.into_iter().filter(PendingWrite::is_claim);
        let requests: Vec<RequestId> = claim_writes.map(|write| write.request.request).collect();
        let reject = |request| self.reject(request, now);
        requests.into_iter().map(reject).collect()
    }

    fn on_read(
        &mut self,
        writes: Vec<PendingWrite>,
        entry: Option<&Entry>,
        at: UnixMillis,
    ) -> Vec<Reply> {
        let stale_after = self.limits.stale_after;
        let mut replies = Vec::new();
        for mut write in writes {
            let request = write.request.request;
            match write.resolve(entry, at, stale_after) {
                Resolution::Write => self.requeue(write),
                Resolution::Answer(result) => replies.push(Reply { request, result }),
                Resolution::Held(version) => replies.push(self.claim_made(request, Some(version))),
                Resolution::Drop => {}
            }
        }
        replies
    }

    /// Expires old claim requests, makes at most one call and returns the replies.
    pub fn step(&mut self, store: &dyn Store, clock: &dyn Clock) -> Vec<Reply> {
        let mut replies = self.expire(clock.now());
        let Some(call) = self.next_call(clock.now(), unix_millis(clock)) else {
            return replies;
        };
        let result = match &call {
            Call::Get(key) => CallResult::Got(store.get(key)),
            Call::Commit(ops) => CallResult::Committed(store.commit(ops)),
        };
        replies.extend(self.handle_result(result, clock.now(), unix_millis(clock)));
        replies
    }

    /// Writes everything that still waits, without a batch window, as long as the service answers.
    ///
    /// For the end of a process. Returns how many requests were left unwritten.
    pub fn flush(&mut self, store: &dyn Store, clock: &dyn Clock) -> usize {
        self.limits.batch_window = Duration::ZERO;
        while self.waiting() > 0 && self.breaker.blocked_until(clock.now()).is_none() {
            let calls = self.counts.commits + self.counts.reads;
            self.step(store, clock);
            if self.counts.commits + self.counts.reads == calls {
                // A call that the caller took from `next_call` is still in flight.
                break;
            }
        }
        self.waiting()
    }
}

/// Takes the writes whose keys need not be read before, each key at most once, in the order of the
/// queue.
fn take_ready(
    queue: &mut VecDeque<PendingWrite>,
    limit: usize,
    keys: &mut HashSet<Key>,
) -> Vec<PendingWrite> {
    let mut taken = Vec::new();
    let mut rest = VecDeque::with_capacity(queue.len());
    for write in take(queue) {
        let ready = write.known_state != KnownState::Unread;
        if taken.len() < limit && ready && keys.insert(write.key.clone()) {
            taken.push(write);
        } else {
            rest.push_back(write);
        }
    }
    *queue = rest;
    taken
}

fn unix_millis(clock: &dyn Clock) -> UnixMillis {
    let since = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis::try_from(since.as_millis()).unwrap_or(UnixMillis::MAX)
}
