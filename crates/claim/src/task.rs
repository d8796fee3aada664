//! One request on its way into the key-value service.
//!
//! A [`PendingWrite`] remembers what it last saw under its key. From that it builds the only
//! conditional write that is safe, or requests a read. A write whose reply was lost may still be
//! applied later. Since every write is conditional on a version or on absence, only the first of
//! two copies is applied.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_store::store::Entry;
use primrose_store::store::Key;
use primrose_store::store::Op;
use primrose_store::store::Version;

use crate::key::claim_key;
use crate::record::hex;
use crate::record::Record;
use crate::record::State;
use crate::record::UnixMillis;
use crate::request::ClaimAction;
use crate::request::ClaimRequest;
use crate::request::ClaimResult;

/// What is known about the record under a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KnownState {
    /// Nothing; the key has to be read.
    Unread,
    /// There is no record; of a new claim this is assumed without a read.
    Absent,
    /// The record has this version and may be replaced.
    Present(Version),
}

/// What to do with a pending write after its key was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Resolution {
    /// Attempt the write again.
    Write,
    /// Reply to the claim request.
    Answer(ClaimResult),
    /// The request already holds the claim, at this version.
    Held(Version),
    /// Drop the write; there is nothing left to do.
    Drop,
}

/// A request and what is known about its key.
#[derive(Debug, Clone)]
pub(crate) struct PendingWrite {
    pub(crate) request: ClaimRequest,
    pub(crate) key: Key,
    pub(crate) known_state: KnownState,
    /// Whether an earlier attempt may have been applied, or may yet be.
    pub(crate) may_have_applied: bool,
    /// Monotonic time at which the request arrived.
    pub(crate) submitted_at: Mono,
}

impl PendingWrite {
    pub(crate) fn new(
        prefix: &str,
        request: ClaimRequest,
        open_version: Option<Version>,
        now: Mono,
    ) -> Self {
        let known_state = match (&request.action, open_version) {
            (ClaimAction::Claim, _) => KnownState::Absent,
            (_, Some(version)) => KnownState::Present(version),
            (_, None) => KnownState::Unread,
        };
        Self {
            key: claim_key(prefix, &request.account, &request.key),
            request,
            known_state,
            may_have_applied: false,
            submitted_at: now,
        }
    }

    /// Whether this is a claim, for whose result a caller waits.
    pub(crate) fn is_claim(&self) -> bool {
        self.request.action == ClaimAction::Claim
    }

    /// Returns the approximate size in memory, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        size_of::<Self>() + self.request.key.len() + self.key.len() + self.answer_bytes()
    }

    fn answer_bytes(&self) -> usize {
        match &self.request.action {
            ClaimAction::Done { answer, .. } => answer.bytes(),
            _ => 0,
        }
    }

    /// Reduces the answer to its digest.
    pub(crate) fn keep_digest(&mut self) {
        if let ClaimAction::Done { answer, .. } = &mut self.request.action {
            answer.keep_digest();
        }
    }

    /// Returns the write that is safe given what is known; `None` if the key has to be read first.
    pub(crate) fn op(&self, at: UnixMillis) -> Option<Op> {
        let value = self.record(at).encode();
        match self.known_state {
            KnownState::Unread => None,
            KnownState::Absent => Some(Op::create(self.key.clone(), value)),
            KnownState::Present(version) => Some(Op::swap(self.key.clone(), value, version)),
        }
    }

    fn record(&self, at: UnixMillis) -> Record {
        let state = match &self.request.action {
            ClaimAction::Claim => State::Claimed,
            ClaimAction::Release => State::Released,
            ClaimAction::Done { status, answer } => State::Done {
                status: *status,
                answer: answer.clone(),
            },
            ClaimAction::Unknown => State::Unknown,
        };
        Record {
            request: self.request.request,
            member: self.request.member.clone(),
            body: hex(&self.request.body),
            at,
            state,
        }
    }

    /// Turns a claim into the release of whatever it may have written.
    pub(crate) fn turn_into_release(&mut self) {
        self.request.action = ClaimAction::Release;
        self.known_state = KnownState::Unread;
    }

    /// Decides what to do, given what a read of the key found.
    pub(crate) fn resolve(
        &mut self,
        found: Option<&Entry>,
        at: UnixMillis,
        stale_after: Duration,
    ) -> Resolution {
        let Some(entry) = found else {
            self.known_state = KnownState::Absent;
            return Resolution::Write;
        };
        let Ok(record) = Record::decode(&entry.value) else {
            // An unreadable record may mean that a request ran, so nothing may run under its key.
            return self.resolve_unreadable();
        };
        if self.is_claim() {
            self.resolve_claim(entry.version, &record, at, stale_after)
        } else {
            self.resolve_close(entry.version, &record)
        }
    }

    fn resolve_unreadable(&self) -> Resolution {
        log::error!(key = self.key.as_str(); "claim record is unreadable");
        if self.is_claim() {
            return Resolution::Answer(ClaimResult::Unknown);
        }
        Resolution::Drop
    }

    fn resolve_claim(
        &mut self,
        version: Version,
        record: &Record,
        at: UnixMillis,
        stale_after: Duration,
    ) -> Resolution {
        let own = record.request == self.request.request;
        if record.body != hex(&self.request.body) {
            return Resolution::Answer(ClaimResult::Conflict);
        }
        match &record.state {
            State::Claimed if own => Resolution::Held(version),
            State::Claimed => Resolution::Answer(open_claim_result(record.at, at, stale_after)),
            State::Released if own => {
                // A late copy of the claim request arrived after the claim was released.
                let retry_after = Duration::ZERO;
                Resolution::Answer(ClaimResult::Unavailable { retry_after })
            }
            State::Released => {
                self.known_state = KnownState::Present(version);
                Resolution::Write
            }
            State::Done { status, answer } => Resolution::Answer(ClaimResult::Done {
                status: *status,
                answer: answer.clone(),
            }),
            State::Unknown => Resolution::Answer(ClaimResult::Unknown),
            State::NotRun => Resolution::Answer(ClaimResult::NotRun),
        }
    }

    /// Decides about a close request: only the request's own open claim may be closed.
    fn resolve_close(&mut self, version: Version, record: &Record) -> Resolution {
        if record.request != self.request.request || record.state != State::Claimed {
            return Resolution::Drop;
        }
        self.known_state = KnownState::Present(version);
        Resolution::Write
    }
}

/// Returns the result for a claim request that finds another request's open claim.
///
/// The age only chooses between `Busy` and `Unknown`. With either, the request must not run.
fn open_claim_result(
    claimed_at: UnixMillis,
    now: UnixMillis,
    stale_after: Duration,
) -> ClaimResult {
    let age = Duration::from_millis(now.saturating_sub(claimed_at));
    if age > stale_after {
        ClaimResult::Unknown
    } else {
        ClaimResult::Busy
    }
}
