//! A model engine, step by step.
//!
//! Each step makes one token for every running request that has been read, and reads up to a chunk
//! of the prompts that have not, in order of admission. The time of a step grows with the tokens
//! read in it and with the context in memory. Shared parts that were read stay in memory until the
//! space is needed, least recently used first; when running requests alone need more than there
//! is, the newest of them starts anew.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::place::Prompt;
use primrose_fleet::place::ShareKey;

/// Number of a request within a world.
pub type RunId = u64;

/// Size and speed of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineConfig {
    /// Requests that run at once.
    pub slots: usize,
    /// Memory in tokens.
    pub memory: u64,
    /// Shortest step.
    pub step: Duration,
    /// Added for every thousand tokens of context.
    pub context: Duration,
    /// Prompt tokens read in a millisecond.
    pub read_rate: f64,
    /// Most prompt tokens read in a step.
    pub chunk: u64,
    /// Factor on all times: a slow server has more than one.
    pub slowness: f64,
}

impl Default for EngineConfig {
    /// A mid-size engine of today's larger deployment.
    fn default() -> Self {
        Self {
            slots: 48,
            memory: 444_000,
            step: Duration::from_micros(3_290),
            context: Duration::from_nanos(26_200),
            read_rate: 93.0,
            chunk: 1_024,
            slowness: 1.0,
        }
    }
}

/// What an engine did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Made {
    /// A request's first token.
    First(RunId),
    /// A request's last token.
    Last(RunId),
}

#[derive(Debug, Clone)]
struct Run {
    id: RunId,
    prompt: Prompt,
    /// Tokens that it will make.
    output: u64,
    made: u64,
    to_read: u64,
    /// Whether shared parts were found in memory.
    found: bool,
}

impl Run {
    fn context(&self) -> u64 {
        self.prompt.own_tokens + self.made
    }
}

/// Counts of an engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Prompt tokens read.
    pub read: u64,
    /// Tokens of shared parts found in memory.
    pub found: u64,
    /// Requests that started anew for want of memory.
    pub preempted: u64,
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    config: EngineConfig,
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    kept: HashMap<ShareKey, (u64, Mono)>,
    /// When the current step ends.
    until: Mono,
    /// What the requests of this engine did.
    pub counts: Counts,
}

impl Engine {
    /// Makes an empty engine.
    pub fn new(config: EngineConfig) -> Self {
        Self {
            config,
            running: Vec::new(),
            waiting: VecDeque::new(),
            kept: HashMap::new(),
            until: Mono::ZERO,
            counts: Counts::default(),
        }
    }

    /// Takes a request that will make `output` tokens.
    pub fn submit(&mut self, id: RunId, prompt: Prompt, output: u64, now: Mono) {
        if self.running.is_empty() && self.waiting.is_empty() {
            self.until = self.until.max(now);
        }
        self.waiting.push_back(Run {
            id,
            prompt,
            output: output.max(1),
            made: 0,
            to_read: 0,
            found: false,
        });
    }

    /// Drops a request whose caller left.
    pub fn cancel(&mut self, id: RunId) {
        self.running.retain(|run| run.id != id);
        self.waiting.retain(|run| run.id != id);
    }

    /// Loses everything; returns the requests that were there.
    pub fn crash(&mut self) -> Vec<RunId> {
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        let lost = lost.map(|run| run.id).collect();
        self.kept.clear();
        lost
    }

    /// Changes the speed.
    pub fn set_slowness(&mut self, slowness: f64) {
        self.config.slowness = slowness;
    }

    /// Runs until `now`; returns what was made, with its time.
    pub fn advance(&mut self, now: Mono) -> Vec<(Mono, Made)> {
        let mut made = Vec::new();
        while self.until <= now && !(self.running.is_empty() && self.waiting.is_empty()) {
            self.step(&mut made);
        }
        made
    }

    fn step(&mut self, made: &mut Vec<(Mono, Made)>) {
        self.admit();
        let mut budget = self.config.chunk;
        let mut read = 0;
        for run in &mut self.running {
            let part = run.to_read.min(budget);
            run.to_read -= part;
            budget -= part;
            read += part;
        }
        self.counts.read += read;
        let context = self.running_context();
        let reading = read as f64 / self.config.read_rate / 1e3;
        let time = self.config.step.as_secs_f64()
            + self.config.context.as_secs_f64() * context as f64 / 1e3
            + reading;
        self.until += Duration::from_secs_f64(time * self.config.slowness);
        self.make_tokens(made);
        self.free_memory();
    }

    fn admit(&mut self) {
        while self.running.len() < self.config.slots {
            let Some(mut run) = self.waiting.pop_front() else {
                return;
            };
            // A request that started anew waits until what pushed it out has gone.
            let preempted = run.made > 0;
            if preempted && self.running_context() + run.context() > self.room(run.prompt) {
                self.waiting.push_front(run);
                return;
            }
            let shared = run.prompt.shared_tokens;
            run.found = self.kept.contains_key(&run.prompt.shared);
            self.kept.insert(run.prompt.shared, (shared, self.until));
            run.to_read = run.prompt.own_tokens;
            if run.found {
                self.counts.found += shared;
            } else {
                run.to_read += shared;
            }
            self.running.push(run);
        }
    }

    fn make_tokens(&mut self, made: &mut Vec<(Mono, Made)>) {
        let at = self.until;
        for run in &mut self.running {
            if run.to_read > 0 {
                continue;
            }
            run.made += 1;
            if run.made == 1 {
                made.push((at, Made::First(run.id)));
            }
            if run.made >= run.output {
                made.push((at, Made::Last(run.id)));
            }
        }
        self.running.retain(|run| run.made < run.output);
    }

    fn free_memory(&mut self) {
        while self.used() > self.config.memory {
            let unused = self.kept.iter().filter(|(key, _)| {
                let used = |run: &Run| run.prompt.shared == **key;
                !self.running.iter().any(used)
            });
            let oldest = unused.min_by_key(|(key, (_, used))| (*used, **key));
            let oldest = oldest.map(|(key, _)| *key);
            if let Some(key) = oldest {
                self.kept.remove(&key);
            } else if let Some(mut run) = self.running.pop() {
                self.counts.preempted += 1;
                run.to_read = run.prompt.tokens() + run.made;
                self.waiting.push_front(run);
            } else {
                return;
            }
        }
    }

    fn used(&self) -> u64 {
        let kept: u64 = self.kept.values().map(|(tokens, _)| tokens).sum();
        kept + self.running_context()
    }

    fn running_context(&self) -> u64 {
        self.running.iter().map(Run::context).sum()
    }

    /// Memory beside the shared part of one prompt, less what its answer may still need.
    fn room(&self, prompt: Prompt) -> u64 {
        let needed = prompt.shared_tokens + prompt.output_tokens;
        self.config.memory.saturating_sub(needed)
    }
}
