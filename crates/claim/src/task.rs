//! One order on its way into the key-value service.
//!
//! A task knows what it last saw under its key and from that builds the one conditional write that
//! is safe, or asks for a read. A write whose reply was lost may even take effect later; every
//! write is conditional on a version or on absence, so whichever of two copies comes second fails.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_store::store::Entry;
use primrose_store::store::Key;
use primrose_store::store::Op;
use primrose_store::store::Version;

use crate::key::claim_key;
use crate::order::ClaimResult;
use crate::order::Order;
use crate::order::Wish;
use crate::record::hex;
use crate::record::Record;
use crate::record::State;
use crate::record::UnixMillis;

/// What is known of the record under the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Known {
    /// Nothing; it has to be read.
    Nothing,
    /// There was none.
    Absent,
    /// It had this version and may be replaced.
    At(Version),
}

/// What to do after a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Next {
    /// Write.
    Write,
    /// The wish to claim is answered.
    Answer(ClaimResult),
    /// The claim is held by this request, at this version.
    Held(Version),
    /// Nothing is left to do.
    Drop,
}

/// One order and what is known of its key.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) order: Order,
    pub(crate) key: Key,
    pub(crate) known: Known,
    /// Whether a write of this task may have taken effect, or may yet.
    pub(crate) uncertain: bool,
    /// Monotonic time at which it came.
    pub(crate) since: Mono,
}

impl Task {
    pub(crate) fn new(prefix: &str, order: Order, held: Option<Version>, now: Mono) -> Self {
        let known = match (&order.wish, held) {
            (Wish::Claim, _) => Known::Absent,
            (_, Some(version)) => Known::At(version),
            (_, None) => Known::Nothing,
        };
        Self {
            key: claim_key(prefix, &order.account, &order.key),
            order,
            known,
            uncertain: false,
            since: now,
        }
    }

    /// Whether a caller waits for the answer.
    pub(crate) fn is_claim(&self) -> bool {
        self.order.wish == Wish::Claim
    }

    /// Bytes that the task keeps in memory, roughly.
    pub(crate) fn bytes(&self) -> usize {
        size_of::<Self>() + self.order.key.len() + self.key.len() + self.answer_bytes()
    }

    fn answer_bytes(&self) -> usize {
        match &self.order.wish {
            Wish::Done { answer, .. } => answer.bytes(),
            _ => 0,
        }
    }

    /// Keeps only the digest of the answer.
    pub(crate) fn shorten(&mut self) {
        if let Wish::Done { answer, .. } = &mut self.order.wish {
            answer.shorten();
        }
    }

    /// The write that is safe by what is known; `None` if the record has to be read first.
    pub(crate) fn op(&self, at: UnixMillis) -> Option<Op> {
        let value = self.record(at).encode();
        match self.known {
            Known::Nothing => None,
            Known::Absent => Some(Op::create(self.key.clone(), value)),
            Known::At(version) => Some(Op::swap(self.key.clone(), value, version)),
        }
    }

    fn record(&self, at: UnixMillis) -> Record {
        let state = match &self.order.wish {
            Wish::Claim => State::Claimed,
            Wish::Release => State::Released,
            Wish::Done { status, answer } => State::Done {
                status: *status,
                answer: answer.clone(),
            },
            Wish::Unknown => State::Unknown,
        };
        Record {
            request: self.order.request,
            member: self.order.member.clone(),
            body: hex(&self.order.body),
            at,
            state,
        }
    }

    /// Gives a claim up: whatever it may have left in the service has to be released.
    pub(crate) fn give_up(&mut self) {
        self.order.wish = Wish::Release;
        self.known = Known::Nothing;
    }

    /// Decides by what a read found.
    pub(crate) fn judge(&mut self, found: Option<&Entry>, at: UnixMillis, stale: Duration) -> Next {
        let Some(entry) = found else {
            self.known = Known::Absent;
            return Next::Write;
        };
        let Ok(record) = Record::decode(&entry.value) else {
            // What cannot be read may stand for a run, so nothing may run under it.
            return self.unreadable();
        };
        if self.is_claim() {
            self.judge_claim(entry.version, &record, at, stale)
        } else {
            self.judge_closing(entry.version, &record)
        }
    }

    fn unreadable(&self) -> Next {
        log::error!(key = self.key.as_str(); "claim record is unreadable");
        if self.is_claim() {
            return Next::Answer(ClaimResult::Unknown);
        }
        Next::Drop
    }

    fn judge_claim(
        &mut self,
        version: Version,
        record: &Record,
        at: UnixMillis,
        stale: Duration,
    ) -> Next {
        let own = record.request == self.order.request;
        if record.body != hex(&self.order.body) {
            return Next::Answer(ClaimResult::Conflict);
        }
        match &record.state {
            State::Claimed if own => Next::Held(version),
            State::Claimed => Next::Answer(under_way(record.at, at, stale)),
            State::Released if own => {
                // An old copy of the order came after the request was given up.
                let retry_after = Duration::ZERO;
                Next::Answer(ClaimResult::Unavailable { retry_after })
            }
            State::Released => {
                self.known = Known::At(version);
                Next::Write
            }
            State::Done { status, answer } => Next::Answer(ClaimResult::Done {
                status: *status,
                answer: answer.clone(),
            }),
            State::Unknown => Next::Answer(ClaimResult::Unknown),
            State::NotRun => Next::Answer(ClaimResult::NotRun),
        }
    }

    /// Only the request's own open claim may be closed.
    fn judge_closing(&mut self, version: Version, record: &Record) -> Next {
        if record.request != self.order.request || record.state != State::Claimed {
            return Next::Drop;
        }
        self.known = Known::At(version);
        Next::Write
    }
}

/// What to say of another request's open claim.
///
/// Time decides only between two words for the same thing, never whether the key may run.
fn under_way(claimed: UnixMillis, now: UnixMillis, stale: Duration) -> ClaimResult {
    let age = Duration::from_millis(now.saturating_sub(claimed));
    if age > stale {
        ClaimResult::Unknown
    } else {
        ClaimResult::Busy
    }
}
