//! Choice of the server for a request, and prediction of the wait there.
//!
//! A server has to process only those tokens of a prompt that it has not cached from earlier
//! prompts. Each shared prefix has a preferred server in the pool, chosen by rendezvous hashing,
//! which is expected to have it cached. Another server is chosen when processing the whole prompt
//! there is still cheaper than waiting at the preferred one; uncached prefix tokens are weighted,
//! since processing them delays other requests too.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use primrose_core::clock::Mono;
use xxhash_rust::xxh3::Xxh3;

use crate::entry::ShortId;
use crate::prefill::PrefillModel;
use crate::server::Load;

/// Hash of the prefix of a prompt that other requests share.
pub type ShareKey = u64;
/// Id of a part of a prompt; the same part of another prompt has the same id.
pub type PartId = u64;

/// Weight of prefix tokens that another server has cached: processing them again delays the other
/// requests of the server, and the copy displaces other prefixes from its cache. 4 serves callers
/// better than 2 and still lets a request leave a busy preferred server for an idle one.
const UNCACHED_PREFIX_WEIGHT: u64 = 4;
/// Time for which a server is expected to keep a prefix after its last use there.
const PREFIX_LIFETIME: Duration = Duration::from_secs(30);
/// Fraction of a server's memory that running requests may use; the rest caches prefixes.
const MAX_MEMORY_FRACTION: f64 = 0.95;
/// Cost of a server in another zone: the round trip, and the price of the traffic.
const CROSS_ZONE_COST: Duration = Duration::from_millis(6);
/// Cost of a server at a failure rate of one; proportionally less at lower rates.
const FAILURE_COST: Duration = Duration::from_millis(3_000);
/// Cost of each running request, which slows down the engine steps of the others.
const RUNNING_COST: Duration = Duration::from_micros(1_500);

/// Token counts of a prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Key of the shared prefix.
    pub shared: ShareKey,
    /// Tokens of the shared prefix.
    pub shared_tokens: u64,
    /// Tokens after the shared prefix.
    pub own_tokens: u64,
    /// Maximum number of generated tokens.
    pub output_tokens: u64,
}

impl Prompt {
    /// Returns the number of prompt tokens.
    pub fn tokens(&self) -> u64 {
        self.shared_tokens + self.own_tokens
    }

    /// Returns the tokens that an account is charged: a prompt token counts once, a generated token
    /// twice.
    pub fn service(&self) -> u64 {
        self.tokens() + 2 * self.output_tokens
    }
}

/// Returns the hash of a sequence of parts.
pub fn share_key(parts: impl IntoIterator<Item = u64>) -> ShareKey {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&part.to_le_bytes());
    }
    hash.digest()
}

/// A server that may run the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Short id of the server's incarnation; also breaks ties.
    pub short_id: ShortId,
    /// Load of the requests of the whole fleet there.
    pub load: Load,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory: u64,
    /// Whether it is in the gateway's zone.
    pub same_zone: bool,
    /// Fraction of its answers that failed.
    pub failure_rate: f64,
    /// Ratio of its times to first event to the pool's.
    pub slowness: f64,
    /// Whether its limit, if it named one, lets it take the request now.
    pub within_limit: bool,
    /// Part of its share of the pool's requests that its limit lets it take; one without a limit.
    pub weight: f64,
    /// Factor on `weight` for its speed; one if speeds are not used.
    pub speed_weight: f64,
    /// Factor on the time of plain calls, and on the cost of running requests.
    pub time_factor: f64,
}

/// The chosen server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Index in the candidates.
    pub index: usize,
    /// Tokens of the prompt that the server has to process.
    pub uncached_tokens: u64,
    /// Predicted time to the first event, or to the response to a plain call.
    pub wait: Duration,
    /// Part of `wait` that is due to the requests ahead.
    pub queue_wait: Duration,
}

/// Shared prefixes that this gateway's requests used recently, by server.
#[derive(Debug, Default)]
pub struct PrefixCache {
    last_used: HashMap<(ShareKey, ShortId), Mono>,
}

impl PrefixCache {
    /// Records the use of a prefix at a server.
    pub fn record(&mut self, shared: ShareKey, server: ShortId, now: Mono) {
        self.last_used.insert((shared, server), now);
    }

    /// Whether the server is expected to have the prefix cached.
    pub fn holds(&self, shared: ShareKey, server: ShortId, now: Mono) -> bool {
        let last_used = self.last_used.get(&(shared, server));
        last_used.is_some_and(|last_used| now.saturating_sub(*last_used) < PREFIX_LIFETIME)
    }

    /// Drops prefixes that were not used for their lifetime.
    pub fn expire(&mut self, now: Mono) {
        self.last_used
            .retain(|_, last_used| now.saturating_sub(*last_used) < PREFIX_LIFETIME);
    }
}

/// Returns the index of the preferred server of a shared prefix, by weighted rendezvous hashing. When
/// a server joins or leaves, or names a limit, only the prefixes that it gains or loses change their
/// server. If the limit of the preferred server is used up, a server without a limit is returned.
pub fn preferred_server(shared: ShareKey, candidates: &[Candidate]) -> Option<usize> {
    let first = highest_ranked(shared, candidates, |_| true)?;
    if candidates[first].within_limit {
        return Some(first);
    }
    highest_ranked(shared, candidates, |candidate| candidate.weight >= 1.0)
}

fn highest_ranked(
    shared: ShareKey,
    candidates: &[Candidate],
    is_eligible: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let eligible = (0..candidates.len()).filter(|index| is_eligible(&candidates[*index]));
    let ranked = eligible.map(|index| {
        let Candidate {
            short_id,
            weight,
            speed_weight,
            ..
        } = candidates[index];
        let hash = share_key([shared, u64::from(short_id)]);
        // The probability to be the highest is proportional to the weight.
        let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        (weight * speed_weight / -uniform.ln(), short_id, index)
    });
    let highest = ranked.max_by(|one, other| one.partial_cmp(other).unwrap_or(Ordering::Equal));
    highest.map(|(.., index)| index)
}

/// Picks the server with the lowest cost for a prompt; none if no server has enough memory and a
/// free slot.
pub fn place_prompt(
    prompt: &Prompt,
    candidates: &[Candidate],
    cache: &PrefixCache,
    prefill: &PrefillModel,
    now: Mono,
) -> Option<Choice> {
    let preferred = preferred_server(prompt.shared, candidates);
    let mut best: Option<(Duration, Choice)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        if !candidate.within_limit || !fits(prompt, candidate) {
            continue;
        }
        let is_cached =
            preferred == Some(index) || cache.holds(prompt.shared, candidate.short_id, now);
        let uncached_tokens = if is_cached {
            prompt.own_tokens
        } else {
            prompt.tokens()
        };
        let queued_tokens = candidate.load.reading + uncached_tokens;
        let predict = |tokens| prefill.predict(tokens).mul_f64(candidate.slowness);
        let wait = predict(queued_tokens);
        let uncached_prefix = uncached_tokens - prompt.own_tokens;
        let weighted_tokens = queued_tokens + (UNCACHED_PREFIX_WEIGHT - 1) * uncached_prefix;
        let cost = predict(weighted_tokens)
            + zone_and_failure_cost(candidate)
            + (RUNNING_COST * candidate.load.running).mul_f64(candidate.time_factor);
        let choice = Choice {
            index,
            uncached_tokens,
            wait,
            queue_wait: wait.saturating_sub(predict(uncached_tokens)),
        };
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Picks the server with the lowest cost for a plain call, that is, a request without a prompt;
/// `call_time` is the mean time of a call.
pub fn place_call(candidates: &[Candidate], call_time: Duration) -> Option<Choice> {
    let mut best: Option<(Duration, Choice)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        if !candidate.within_limit {
            continue;
        }
        let slots = candidate.slots.max(1);
        let call_time = call_time.mul_f64(candidate.time_factor);
        let ahead = candidate.load.running.saturating_sub(slots - 1);
        let wait = call_time + call_time * ahead / slots;
        // A server with free slots runs a call at once, but lower utilization is still preferred.
        let utilization = f64::from(candidate.load.running) / f64::from(slots);
        let utilization_cost = call_time.mul_f64(utilization / 4.0);
        let cost = wait + utilization_cost + zone_and_failure_cost(candidate);
        let choice = Choice {
            index,
            uncached_tokens: 0,
            wait,
            queue_wait: wait.saturating_sub(call_time),
        };
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

fn fits(prompt: &Prompt, candidate: &Candidate) -> bool {
    let available = candidate.memory as f64 * MAX_MEMORY_FRACTION;
    let needed = candidate.load.memory + memory_demand(prompt);
    candidate.load.running < candidate.slots && needed as f64 <= available
}

/// Returns the memory that a request adds, in tokens. Half of the shared prefix is counted, since a
/// server keeps one copy for all requests that use it.
pub fn memory_demand(prompt: &Prompt) -> u64 {
    prompt.own_tokens + prompt.output_tokens + prompt.shared_tokens / 2
}

fn zone_and_failure_cost(candidate: &Candidate) -> Duration {
    let zone = if candidate.same_zone {
        Duration::ZERO
    } else {
        CROSS_ZONE_COST
    };
    zone + FAILURE_COST.mul_f64(candidate.failure_rate)
}
