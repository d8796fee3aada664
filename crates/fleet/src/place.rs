//! Which server a request goes to, and how long it would wait there.
//!
//! A prompt costs a server the tokens that it has not kept from earlier prompts. Each shared part
//! has a home: the servers of the pool ranked by a hash of the part, best first. The home is
//! expected to keep the part; another server is taken when reading the whole prompt there, counted
//! four times since it delays others too, is still cheaper than waiting at the home.

use std::collections::HashMap;
use std::time::Duration;

use primrose_core::clock::Mono;
use xxhash_rust::xxh3::Xxh3;

use crate::entry::ShortId;
use crate::prefill::Pace;
use crate::server::Load;

/// Key of the parts of a prompt that other requests share, in order.
pub type ShareKey = u64;

/// Weight of tokens that are read although another server keeps them: they delay the requests of
/// that server as well, and the copy takes memory from other parts. Measured on the bench's days:
/// four serves callers better than two, and leaves a busy home for an idle server still.
const READ_AGAIN_WEIGHT: u64 = 4;
/// How long a part is expected to stay at a server after its last use there.
const KEPT_TIME: Duration = Duration::from_secs(30);
/// Part of a server's memory that running requests may fill; the rest keeps shared parts.
const MEMORY_SHARE: f64 = 0.95;
/// Cost of another zone: the round trip, and the bytes that are paid for.
const ZONE_COST: Duration = Duration::from_millis(6);
/// Cost of a server that fails all it is sent; in proportion for less.
const FAILURE_COST: Duration = Duration::from_millis(3_000);
/// Cost of each running request, which slows the others' steps.
const RUNNING_COST: Duration = Duration::from_micros(1_500);

/// The parts of a prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Key of the shared parts.
    pub shared: ShareKey,
    /// Tokens of the shared parts.
    pub shared_tokens: u64,
    /// Tokens of the request's own part.
    pub own_tokens: u64,
    /// Most tokens that are generated.
    pub output_tokens: u64,
}

impl Prompt {
    /// All tokens of the prompt.
    pub fn tokens(&self) -> u64 {
        self.shared_tokens + self.own_tokens
    }

    /// Service that the request is charged: a token read counts once, one generated twice.
    pub fn service(&self) -> u64 {
        self.tokens() + 2 * self.output_tokens
    }
}

/// Returns the key of parts in their order.
pub fn share_key(parts: impl IntoIterator<Item = u64>) -> ShareKey {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&part.to_le_bytes());
    }
    hash.digest()
}

/// A server that might take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Short name; also the position for ties.
    pub short_id: ShortId,
    /// What the whole fleet's requests take there.
    pub load: Load,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Memory in tokens.
    pub memory: u64,
    /// Whether it is in the gateway's zone.
    pub near: bool,
    /// Part of its answers that failed.
    pub failures: f64,
    /// How much slower it is than its pool.
    pub slowness: f64,
}

/// A choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Position in the candidates.
    pub index: usize,
    /// Tokens of the prompt that the server has to read.
    pub reading: u64,
    /// Expected time to the first event, or to the answer of a plain service.
    pub wait: Duration,
}

/// Which servers were sent which shared parts.
#[derive(Debug, Default)]
pub struct Kept {
    used: HashMap<(ShareKey, ShortId), Mono>,
}

impl Kept {
    /// Records a use.
    pub fn record(&mut self, shared: ShareKey, server: ShortId, now: Mono) {
        self.used.insert((shared, server), now);
    }

    /// Whether the server is expected to keep the parts.
    pub fn holds(&self, shared: ShareKey, server: ShortId, now: Mono) -> bool {
        let used = self.used.get(&(shared, server));
        used.is_some_and(|used| now.saturating_sub(*used) < KEPT_TIME)
    }

    /// Forgets old uses.
    pub fn forget(&mut self, now: Mono) {
        self.used
            .retain(|_, used| now.saturating_sub(*used) < KEPT_TIME);
    }
}

/// Returns the home of shared parts among the candidates.
pub fn home(shared: ShareKey, candidates: &[Candidate]) -> Option<usize> {
    (0..candidates.len()).max_by_key(|index| {
        let short_id = candidates[*index].short_id;
        (share_key([shared, u64::from(short_id)]), short_id)
    })
}

/// Picks a server for a prompt; none if no memory or slot is left anywhere.
pub fn place_prompt(
    prompt: &Prompt,
    candidates: &[Candidate],
    kept: &Kept,
    pace: &Pace,
    now: Mono,
) -> Option<Choice> {
    let home = home(prompt.shared, candidates);
    let mut best: Option<(Duration, Choice)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        if !has_room(prompt, candidate) {
            continue;
        }
        let keeps = home == Some(index) || kept.holds(prompt.shared, candidate.short_id, now);
        let reading = if keeps {
            prompt.own_tokens
        } else {
            prompt.tokens()
        };
        let waiting = candidate.load.reading + reading;
        let wait = pace.predict(waiting).mul_f64(candidate.slowness);
        let again = reading - prompt.own_tokens;
        let weighed = waiting + (READ_AGAIN_WEIGHT - 1) * again;
        let cost = pace.predict(weighed).mul_f64(candidate.slowness)
            + side_cost(candidate)
            + RUNNING_COST * candidate.load.running;
        let choice = Choice {
            index,
            reading,
            wait,
        };
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Picks a server for a call of a plain service; `work` is what one call takes.
pub fn place_call(candidates: &[Candidate], work: Duration) -> Option<Choice> {
    let mut best: Option<(Duration, Choice)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let slots = candidate.slots.max(1);
        let ahead = candidate.load.running.saturating_sub(slots - 1);
        let wait = work + work * ahead / slots;
        // Below the slots a server answers at once; fewer running is still safer.
        let filled = work * candidate.load.running / (slots * 4);
        let cost = wait + filled + side_cost(candidate);
        let choice = Choice {
            index,
            reading: 0,
            wait,
        };
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

fn has_room(prompt: &Prompt, candidate: &Candidate) -> bool {
    let room = candidate.memory as f64 * MEMORY_SHARE;
    let needed = candidate.load.memory + memory_of(prompt);
    candidate.load.running < candidate.slots && needed as f64 <= room
}

/// Memory that a request adds: shared parts are there once for all requests that use them.
pub fn memory_of(prompt: &Prompt) -> u64 {
    prompt.own_tokens + prompt.output_tokens + prompt.shared_tokens / 2
}

fn side_cost(candidate: &Candidate) -> Duration {
    let zone = if candidate.near {
        Duration::ZERO
    } else {
        ZONE_COST
    };
    zone + FAILURE_COST.mul_f64(candidate.failures)
}
