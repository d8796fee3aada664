//! A step-by-step model of an inference engine.
//!
//! Each step prefills up to one chunk of the admitted prompts, in order of admission, and generates
//! one token for every running request whose prefill is complete. A step takes longer the more
//! tokens it prefills and the more context the running requests hold. Shared prefixes stay cached
//! until their memory is needed and are evicted least recently used first. When the running
//! requests alone need more memory than there is, the most recently admitted one is preempted: it
//! returns to the queue and its prompt is prefilled again.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::place::Prompt;
use primrose_fleet::place::ShareKey;

/// Identifies one attempt of a request; unique within a simulation.
pub type AttemptId = u64;

/// Size and speed of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineConfig {
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// Memory for running requests and cached prefixes, in tokens.
    pub memory: u64,
    /// Duration of a step without context and without prefill.
    pub step_time: Duration,
    /// Time added to a step for every thousand tokens of context.
    pub context_time: Duration,
    /// Prompt tokens prefilled per millisecond.
    pub prefill_rate: f64,
    /// Maximum number of prompt tokens prefilled in a step.
    pub prefill_chunk: u64,
    /// Factor on the duration of every step; above 1 for a slow server.
    pub slowness: f64,
}

impl Default for EngineConfig {
    /// A mid-size engine of the larger existing deployment.
    fn default() -> Self {
        Self {
            slots: 48,
            memory: 444_000,
            step_time: Duration::from_micros(3_290),
            context_time: Duration::from_nanos(26_200),
            prefill_rate: 93.0,
            prefill_chunk: 1_024,
            slowness: 1.0,
        }
    }
}

/// Progress of an attempt on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// The first token was generated.
    FirstToken(AttemptId),
    /// The last token was generated, and the attempt has left the engine.
    LastToken(AttemptId),
}

#[derive(Debug, Clone)]
struct Attempt {
    id: AttemptId,
    prompt: Prompt,
    /// Tokens to generate in total.
    output: u64,
    generated: u64,
    prefill_left: u64,
    /// Whether the shared prefix was cached on admission.
    prefix_cached: bool,
}

impl Attempt {
    fn context(&self) -> u64 {
        self.prompt.own_tokens + self.generated
    }
}

/// Counters of an engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Prompt tokens prefilled.
    pub prefill_tokens: u64,
    /// Tokens of shared prefixes that were cached on admission.
    pub cached_tokens: u64,
    /// Preemptions for lack of memory.
    pub preemptions: u64,
}

/// A simulated inference engine.
#[derive(Debug)]
pub struct Engine {
    config: EngineConfig,
    running: Vec<Attempt>,
    waiting: VecDeque<Attempt>,
    /// Tokens and time of last use of each cached shared prefix.
    prefix_cache: HashMap<ShareKey, (u64, Mono)>,
    /// End of the current step.
    step_end: Mono,
    /// Counters since the engine was created; a crash keeps them.
    pub counts: Counts,
}

impl Engine {
    /// Creates an idle engine with an empty prefix cache.
    pub fn new(config: EngineConfig) -> Self {
        Self {
            config,
            running: Vec::new(),
            waiting: VecDeque::new(),
            prefix_cache: HashMap::new(),
            step_end: Mono::ZERO,
            counts: Counts::default(),
        }
    }

    /// Queues an attempt that generates `output` tokens, at least one.
    pub fn submit(&mut self, id: AttemptId, prompt: Prompt, output: u64, now: Mono) {
        if self.running.is_empty() && self.waiting.is_empty() {
            self.step_end = self.step_end.max(now);
        }
        self.waiting.push_back(Attempt {
            id,
            prompt,
            output: output.max(1),
            generated: 0,
            prefill_left: 0,
            prefix_cached: false,
        });
    }

    /// Removes an attempt whose caller has disconnected.
    pub fn cancel(&mut self, id: AttemptId) {
        self.running.retain(|attempt| attempt.id != id);
        self.waiting.retain(|attempt| attempt.id != id);
    }

    /// Drops all attempts and the prefix cache; returns the attempts that were lost.
    pub fn crash(&mut self) -> Vec<AttemptId> {
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        let lost = lost.map(|attempt| attempt.id).collect();
        self.prefix_cache.clear();
        lost
    }

    /// Sets the factor on the duration of later steps.
    pub fn set_slowness(&mut self, slowness: f64) {
        self.config.slowness = slowness;
    }

    /// Runs all steps that start by `now`; returns their events, each with the end of its step.
    pub fn advance(&mut self, now: Mono) -> Vec<(Mono, EngineEvent)> {
        let mut events = Vec::new();
        while self.step_end <= now && !(self.running.is_empty() && self.waiting.is_empty()) {
            self.step(&mut events);
        }
        events
    }

    fn step(&mut self, events: &mut Vec<(Mono, EngineEvent)>) {
        self.admit();
        let mut budget = self.config.prefill_chunk;
        let mut prefilled = 0;
        for attempt in &mut self.running {
            let tokens = attempt.prefill_left.min(budget);
            attempt.prefill_left -= tokens;
            budget -= tokens;
            prefilled += tokens;
        }
        self.counts.prefill_tokens += prefilled;
        let context = self.running_context();
        let prefill_time = prefilled as f64 / self.config.prefill_rate / 1e3;
        let time = self.config.step_time.as_secs_f64()
            + self.config.context_time.as_secs_f64() * context as f64 / 1e3
            + prefill_time;
        self.step_end += Duration::from_secs_f64(time * self.config.slowness);
        self.generate_tokens(events);
        self.free_memory();
    }

    fn admit(&mut self) {
        while self.running.len() < self.config.slots {
            let Some(mut attempt) = self.waiting.pop_front() else {
                return;
            };
            // A preempted attempt waits until those that displaced it have left enough memory.
            let was_preempted = attempt.generated > 0;
            if was_preempted
                && self.running_context() + attempt.context()
                    > self.readmission_limit(attempt.prompt)
            {
                self.waiting.push_front(attempt);
                return;
            }
            let shared = attempt.prompt.shared_tokens;
            attempt.prefix_cached = self.prefix_cache.contains_key(&attempt.prompt.shared);
            self.prefix_cache
                .insert(attempt.prompt.shared, (shared, self.step_end));
            attempt.prefill_left = attempt.prompt.own_tokens;
            if attempt.prefix_cached {
                self.counts.cached_tokens += shared;
            } else {
                attempt.prefill_left += shared;
            }
            self.running.push(attempt);
        }
    }

    fn generate_tokens(&mut self, events: &mut Vec<(Mono, EngineEvent)>) {
        let at = self.step_end;
        for attempt in &mut self.running {
            if attempt.prefill_left > 0 {
                continue;
            }
            attempt.generated += 1;
            if attempt.generated == 1 {
                events.push((at, EngineEvent::FirstToken(attempt.id)));
            }
            if attempt.generated >= attempt.output {
                events.push((at, EngineEvent::LastToken(attempt.id)));
            }
        }
        self.running
            .retain(|attempt| attempt.generated < attempt.output);
    }

    fn free_memory(&mut self) {
        while self.memory_used() > self.config.memory {
            let unused = self.prefix_cache.iter().filter(|(key, _)| {
                let shares_prefix = |attempt: &Attempt| attempt.prompt.shared == **key;
                !self.running.iter().any(shares_prefix)
            });
            let oldest = unused.min_by_key(|(key, (_, last_used))| (*last_used, **key));
            let oldest = oldest.map(|(key, _)| *key);
            if let Some(key) = oldest {
                self.prefix_cache.remove(&key);
            } else if let Some(mut attempt) = self.running.pop() {
                self.counts.preemptions += 1;
                attempt.prefill_left = attempt.prompt.tokens() + attempt.generated;
                self.waiting.push_front(attempt);
            } else {
                return;
            }
        }
    }

    fn memory_used(&self) -> u64 {
        let cached: u64 = self.prefix_cache.values().map(|(tokens, _)| tokens).sum();
        cached + self.running_context()
    }

    fn running_context(&self) -> u64 {
        self.running.iter().map(Attempt::context).sum()
    }

    /// Largest running context, in tokens, with which a preempted attempt is admitted again: the
    /// memory less the shared prefix of its prompt and the maximum length of its response.
    fn readmission_limit(&self, prompt: Prompt) -> u64 {
        let needed = prompt.shared_tokens + prompt.output_tokens;
        self.config.memory.saturating_sub(needed)
    }
}
