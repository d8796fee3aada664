//! A budget for the memory that a process buffers for others, and the decision who is refused when it
//! runs short.
//!
//! [`choose_evicted`] decides; [`MemoryBudget`] keeps the sums and wakes the holders that were chosen.
//! Neither does I/O or reads a clock. Only request bodies that are still being received can be refused,
//! since no server has seen them. Everything else counts, and ends by limits of its own.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use crate::clock::Mono;

/// Size up to which a body is refused only above the upper bound.
pub const SMALL_BYTES: usize = 32 << 10;
/// Bytes that a body has to grow by to count as making progress. A body sent a byte at a time makes
/// none.
pub const PROGRESS_BYTES: usize = 16 << 10;
/// Time without progress after which a body is refused before those that make progress. It is longer
/// than a retransmission of the network, and than the pauses of a process with a small processor quota.
pub const STALL_TIME: Duration = Duration::from_secs(1);
/// Part of the lower bound that is freed in addition if that takes only stalled bodies, so that not
/// each further segment needs a decision.
const SPARE_DIVISOR: usize = 16;
/// Part of the process's memory that is used before large bodies are refused. The rest holds what the
/// process needs itself (15 to 50 MB of 120 to 512 MB), the kernel's buffers, and unused heap.
const LOWER_DIVISOR: usize = 3;
/// Part of the process's memory for small bodies when the large ones use up the first part.
const SMALL_DIVISOR: usize = 12;

/// What holds memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryKind {
    /// A request body that is being received.
    Receiving,
    /// A whole request body, kept until no attempt needs it.
    Complete,
    /// An answer that is buffered or that the caller has not taken.
    Answer,
    /// The buffers of callers' connections.
    Connection,
}

impl MemoryKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [
        Self::Receiving,
        Self::Complete,
        Self::Answer,
        Self::Connection,
    ];

    /// Returns the name of the kind in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Receiving => "body_receiving",
            Self::Complete => "body_complete",
            Self::Answer => "answer",
            Self::Connection => "connection",
        }
    }
}

/// Bounds of a budget, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBounds {
    /// Above it, large bodies are refused.
    pub lower: usize,
    /// Above it, small bodies are refused, too.
    pub upper: usize,
}

impl MemoryBounds {
    /// Returns the bounds for a process that may use `memory` bytes.
    pub fn of_process(memory: usize) -> Self {
        Self::new(memory / LOWER_DIVISOR, memory / SMALL_DIVISOR)
    }

    /// Returns the bounds of a budget of `lower` bytes, and `for_small` more for small bodies.
    pub fn new(lower: usize, for_small: usize) -> Self {
        Self {
            lower,
            upper: lower + for_small,
        }
    }
}

/// A body as the decision sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryHolder {
    /// Number of the holder; grows.
    pub id: u64,
    /// What it holds.
    pub kind: MemoryKind,
    /// Bytes that it holds.
    pub bytes: usize,
    /// When it last made progress, see [`PROGRESS_BYTES`].
    pub progress: Mono,
}

impl MemoryHolder {
    fn is_stalled(&self, now: Mono) -> bool {
        now.saturating_sub(self.progress) >= STALL_TIME
    }

    /// Orders bodies by who is refused first: large before small ones, stalled before others, larger
    /// ones first, and among those of about one size the newest, so that the older ones can end.
    fn rank(&self, now: Mono) -> impl Ord {
        let is_stalled = self.is_stalled(now);
        let size = Reverse(self.bytes.max(1).ilog2());
        let is_small = self.bytes <= SMALL_BYTES;
        (is_small, !is_stalled, size, Reverse(self.id))
    }
}

/// Returns the bodies to refuse, given that `used` bytes are held by them and all others.
///
/// The oldest large body that makes progress is refused only above the upper bound, like small ones:
/// otherwise many large bodies could keep one another from ever ending.
pub fn choose_evicted(
    bounds: MemoryBounds,
    used: usize,
    holders: impl Iterator<Item = MemoryHolder>,
    now: Mono,
) -> Vec<u64> {
    if used <= bounds.lower {
        return Vec::new();
    }
    let mut candidates: Vec<_> = holders
        .filter(|holder| holder.kind == MemoryKind::Receiving && holder.bytes > 0)
        .collect();
    let oldest = candidates
        .iter()
        .filter(|holder| holder.bytes > SMALL_BYTES && !holder.is_stalled(now))
        .map(|holder| holder.id)
        .min();
    candidates.sort_by_key(|holder| (oldest == Some(holder.id), holder.rank(now)));
    let with_spare = bounds.lower - bounds.lower / SPARE_DIVISOR;
    let mut left = used;
    let mut evicted = Vec::new();
    for holder in candidates {
        let bound = if holder.bytes <= SMALL_BYTES || oldest == Some(holder.id) {
            bounds.upper
        } else if holder.is_stalled(now) {
            with_spare
        } else {
            bounds.lower
        };
        if left > bound {
            left = left.saturating_sub(holder.bytes);
            evicted.push(holder.id);
        }
    }
    evicted
}

/// Memory that a process buffers for others.
#[derive(Debug)]
pub struct MemoryBudget {
    bounds: MemoryBounds,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next_id: u64,
    entries: BTreeMap<u64, Entry>,
    /// Bytes by kind, in the order of [`MemoryKind::ALL`].
    used: [usize; MemoryKind::ALL.len()],
    /// Bytes of evicted entries, which are about to be freed.
    evicted: usize,
}

#[derive(Debug)]
struct Entry {
    holder: MemoryHolder,
    /// Size at the last progress.
    progress_bytes: usize,
    is_evicted: bool,
    waker: Option<Waker>,
}

impl State {
    fn total(&self) -> usize {
        self.used.iter().sum::<usize>() - self.evicted
    }

    /// Refuses bodies as [`choose_evicted`] says, and returns whom to wake.
    fn evict(&mut self, bounds: MemoryBounds, now: Mono) -> Vec<Waker> {
        let total = self.total();
        let live = self.entries.values().filter(|entry| !entry.is_evicted);
        let evicted = choose_evicted(bounds, total, live.map(|entry| entry.holder), now);
        let mut wakers = Vec::new();
        for id in evicted {
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.is_evicted = true;
                self.evicted += entry.holder.bytes;
                wakers.extend(entry.waker.take());
            }
        }
        wakers
    }
}

impl MemoryBudget {
    /// Creates an empty budget.
    pub fn new(bounds: MemoryBounds) -> Arc<Self> {
        Arc::new(Self {
            bounds,
            state: Mutex::default(),
        })
    }

    /// Returns the bounds.
    pub fn bounds(&self) -> MemoryBounds {
        self.bounds
    }

    /// Returns the number of bytes that holders of a kind use.
    pub fn used_by(&self, kind: MemoryKind) -> usize {
        self.lock().used[kind as usize]
    }

    /// Returns the number of bytes in use, without those that are about to be freed.
    pub fn used(&self) -> usize {
        self.lock().total()
    }

    /// Records that bytes of a kind that is not refused are used in place of others.
    pub fn replace(&self, kind: MemoryKind, before: usize, after: usize) {
        let used = &mut self.lock().used[kind as usize];
        *used = (*used + after).saturating_sub(before);
    }

    /// Begins to receive a body.
    pub fn begin(self: &Arc<Self>, now: Mono) -> MemoryCharge {
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        let holder = MemoryHolder {
            id,
            kind: MemoryKind::Receiving,
            bytes: 0,
            progress: now,
        };
        let entry = Entry {
            holder,
            progress_bytes: 0,
            is_evicted: false,
            waker: None,
        };
        state.entries.insert(id, entry);
        MemoryCharge {
            budget: Arc::clone(self),
            id,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("memory budget lock poisoned")
    }
}

/// The memory of one body, until it is dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    budget: Arc<MemoryBudget>,
    id: u64,
}

impl MemoryCharge {
    /// Records that the body is to hold `bytes`; returns false if it is refused. Other bodies may be
    /// refused in its place.
    #[must_use]
    pub fn grow(&self, bytes: usize, now: Mono) -> bool {
        let mut state = self.budget.lock();
        let Some(entry) = state.entries.get_mut(&self.id) else {
            return false;
        };
        if entry.is_evicted {
            return false;
        }
        let before = std::mem::replace(&mut entry.holder.bytes, bytes);
        if bytes >= entry.progress_bytes + PROGRESS_BYTES {
            entry.progress_bytes = bytes;
            entry.holder.progress = now;
        }
        let kind = entry.holder.kind as usize;
        state.used[kind] = state.used[kind] + bytes - before;
        let wakers = state.evict(self.budget.bounds, now);
        let fits = !state.entries[&self.id].is_evicted;
        drop(state);
        wakers.into_iter().for_each(Waker::wake);
        fits
    }

    /// Records that the body has arrived whole, in `bytes`; returns false if it was refused before.
    #[must_use]
    pub fn complete(&self, bytes: usize) -> bool {
        let mut state = self.budget.lock();
        let Some(entry) = state.entries.get_mut(&self.id) else {
            return false;
        };
        if entry.is_evicted {
            return false;
        }
        let before = std::mem::replace(&mut entry.holder.bytes, bytes);
        entry.holder.kind = MemoryKind::Complete;
        state.used[MemoryKind::Receiving as usize] -= before;
        state.used[MemoryKind::Complete as usize] += bytes;
        true
    }

    /// Waits until the body is refused.
    pub fn poll_evicted(&self, cx: &Context<'_>) -> Poll<()> {
        match self.budget.lock().entries.get_mut(&self.id) {
            Some(entry) if !entry.is_evicted => {
                entry.waker = Some(cx.waker().clone());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        }
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        if let Some(entry) = state.entries.remove(&self.id) {
            state.used[entry.holder.kind as usize] -= entry.holder.bytes;
            if entry.is_evicted {
                state.evicted -= entry.holder.bytes;
            }
        }
    }
}
