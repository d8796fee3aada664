//! The engine's state: what waits, what runs, what is held, and the record.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::cache;
use super::cache::Cache;
use super::cache::BLOCK_TOKENS;
use super::chat::ChatRequest;
use super::chat::Completion;
use super::orders::OrderState;
use super::orders::Orders;
use super::record::EngineRun;
use super::record::RunState;
use super::report::unix_ms;
use super::report::EventLog;
use super::report::Load;
use super::report::LoadHistory;
use super::stream::Follower;
use super::stream::Stream;
use super::EngineConfig;
use super::Pace;

/// Number of a stream inside the engine.
pub(crate) type StreamId = u64;

/// A completion request with what its headers say.
pub(crate) struct Admission {
    pub(crate) request: ChatRequest,
    pub(crate) attempt: Option<String>,
    pub(crate) key: String,
    pub(crate) marked: bool,
}

/// What a step has done.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Tokens were generated, if anything ran.
    Generated,
    /// A marked request has begun to run.
    Crash,
}

/// The engine's state.
pub(crate) struct State {
    config: EngineConfig,
    streams: BTreeMap<StreamId, Stream>,
    attempts: HashMap<String, StreamId>,
    waiting: VecDeque<StreamId>,
    running: Vec<StreamId>,
    next_id: StreamId,
    cache: Cache,
    loads: LoadHistory,
    events: EventLog,
    orders: Orders,
    runs: Vec<EngineRun>,
    refused: usize,
    refusing: bool,
    crashes: usize,
    cut_next: Option<u64>,
}

impl State {
    pub(crate) fn new(config: EngineConfig) -> Self {
        Self {
            streams: BTreeMap::new(),
            attempts: HashMap::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            next_id: 0,
            cache: Cache::new(config.cache_blocks),
            loads: LoadHistory::new(config.load_lag),
            events: EventLog::new(config.event_lag, config.event_gap),
            orders: Orders::new(
                &config.model,
                &config.version,
                config.checks_fence,
                config.loading_time,
            ),
            runs: Vec::new(),
            refused: 0,
            refusing: false,
            crashes: 0,
            cut_next: None,
            config,
        }
    }

    pub(crate) fn runs(&self) -> &[EngineRun] {
        &self.runs
    }

    pub(crate) fn refused(&self) -> usize {
        self.refused
    }

    pub(crate) fn crashes(&self) -> usize {
        self.crashes
    }

    pub(crate) fn orders(&mut self) -> &mut Orders {
        &mut self.orders
    }

    pub(crate) fn order_state(&mut self) -> OrderState {
        self.orders.state(Instant::now())
    }

    pub(crate) fn events(&self) -> &EventLog {
        &self.events
    }

    pub(crate) fn set_refusing(&mut self, refusing: bool) {
        self.refusing = refusing;
    }

    pub(crate) fn cut_next(&mut self, events: u64) {
        self.cut_next = Some(events);
    }

    /// Returns the load of this moment.
    pub(crate) fn load(&mut self) -> Load {
        self.purge(Instant::now());
        self.current_load()
    }

    /// Returns the load as it was one lag ago.
    pub(crate) fn load_report(&mut self) -> Load {
        self.loads.report(Instant::now())
    }

    /// Tells whether something waits or runs.
    pub(crate) fn is_busy(&self) -> bool {
        !self.running.is_empty() || !self.waiting.is_empty()
    }

    /// Returns the time between two tokens with what runs now.
    pub(crate) fn step_time(&self) -> Option<Duration> {
        let Pace::Timed {
            token, slowdown, ..
        } = self.config.pace
        else {
            return None;
        };
        let others = self.running.len().saturating_sub(1) as f64;
        Some(token.mul_f64(1.0 + slowdown * others))
    }

    /// Takes in a request; `None` if the engine refuses requests.
    pub(crate) fn admit(&mut self, admission: Admission, now: Instant) -> Option<StreamId> {
        if self.refusing {
            self.refused += 1;
            return None;
        }
        self.next_id += 1;
        let id = self.next_id;
        let attempt = admission.attempt.unwrap_or_else(|| format!("engine-{id}"));
        let tokens = self.config.tokens;
        let run = self.runs.len();
        let mut stream = Stream::new(attempt.clone(), &admission.request, tokens, run);
        stream.marked = admission.marked;
        stream.cut_after = self.cut_next.take();
        self.runs.push(EngineRun {
            attempt: attempt.clone(),
            key: admission.key,
            tag: admission.request.tag(),
            prompt: stream.words.len() as u64,
            cached: 0,
            produced: 0,
            state: RunState::Waiting,
        });
        self.streams.insert(id, stream);
        self.attempts.insert(attempt, id);
        self.waiting.push_back(id);
        self.fill_batch(now);
        self.note_load(now);
        Some(id)
    }

    /// Sends a stream's events to a connection; false if it is not held.
    pub(crate) fn follow(&mut self, id: StreamId, follower: Follower, after: u64) -> bool {
        let Some(stream) = self.streams.get_mut(&id) else {
            return false;
        };
        stream.follow(follower, after);
        true
    }

    /// Returns the stream that is held for an attempt.
    pub(crate) fn find(&mut self, attempt: &str, now: Instant) -> Option<StreamId> {
        self.purge(now);
        self.attempts.get(attempt).copied()
    }

    /// Returns the whole answer of a finished stream.
    pub(crate) fn completion(&self, id: StreamId) -> Option<Completion> {
        let stream = self.streams.get(&id)?;
        stream.is_finished().then(|| stream.completion())
    }

    /// Cancels a stream that waits or runs; false if there is none.
    pub(crate) fn cancel(&mut self, attempt: &str, now: Instant) -> bool {
        let Some(id) = self.find(attempt, now) else {
            return false;
        };
        if self.streams.get(&id).is_none_or(Stream::is_finished) {
            return false;
        }
        self.end(id, RunState::Cancelled);
        self.fill_batch(now);
        self.note_load(now);
        true
    }

    /// Generates one token for every running stream whose prompt has been read.
    pub(crate) fn step(&mut self, now: Instant) -> Step {
        self.purge(now);
        let marked = |id: &StreamId| self.streams.get(id).is_some_and(|stream| stream.marked);
        if self.running.iter().any(marked) {
            return Step::Crash;
        }
        for id in self.running.clone() {
            self.generate(id, now);
        }
        self.fill_batch(now);
        self.note_load(now);
        Step::Generated
    }

    /// Marks everything in flight as lost and counts a crash.
    pub(crate) fn crash(&mut self) {
        self.crashes += 1;
        let ids: Vec<StreamId> = self.streams.keys().copied().collect();
        for id in ids {
            self.end(id, RunState::Crashed);
        }
        self.reset();
    }

    /// Empties the engine; the record stays.
    pub(crate) fn reset(&mut self) {
        self.streams.clear();
        self.attempts.clear();
        self.waiting.clear();
        self.running.clear();
        self.cache = Cache::new(self.config.cache_blocks);
        self.orders.reset(&self.config.model, &self.config.version);
        self.note_load(Instant::now());
    }

    fn generate(&mut self, id: StreamId, now: Instant) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        if stream.ready.is_none_or(|ready| ready > now) {
            return;
        }
        stream.generate(now);
        let run = &mut self.runs[stream.run];
        run.produced = stream.produced();
        if stream.is_finished() {
            run.state = RunState::Finished;
            self.running.retain(|running| *running != id);
        }
    }

    /// Moves what waits into the batch, in the order of arrival.
    fn fill_batch(&mut self, now: Instant) {
        while self.running.len() < self.config.batch {
            let Some(id) = self.waiting.pop_front() else {
                break;
            };
            self.begin(id, now);
        }
    }

    fn begin(&mut self, id: StreamId, now: Instant) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let change = self.cache.enter(&cache::blocks(&stream.words));
        stream.cached = change.hits * BLOCK_TOKENS as u64;
        let fresh = stream.words.len() as u64 - stream.cached;
        let prefill = match self.config.pace {
            Pace::Manual => Duration::ZERO,
            Pace::Timed { prefill, .. } => prefill * u32::try_from(fresh).unwrap_or(u32::MAX),
        };
        stream.ready = Some(now + prefill);
        let run = &mut self.runs[stream.run];
        run.cached = stream.cached;
        run.state = RunState::Running;
        self.events.note(&change, now);
        self.running.push(id);
    }

    /// Ends streams that nobody follows and forgets finished ones, once their time is up.
    fn purge(&mut self, now: Instant) {
        let mut abandoned = Vec::new();
        let mut expired = Vec::new();
        for (id, stream) in &mut self.streams {
            if let Some(finished) = stream.finished {
                if finished + self.config.finished_time <= now {
                    expired.push(*id);
                }
            } else if !stream.is_followed(now) {
                let since = stream.detached.unwrap_or(now);
                if since + self.config.detached_time <= now {
                    abandoned.push(*id);
                }
            }
        }
        for id in expired {
            self.forget(id);
        }
        for id in &abandoned {
            self.end(*id, RunState::Cancelled);
        }
        if !abandoned.is_empty() {
            self.fill_batch(now);
        }
    }

    /// Ends a stream before its time.
    fn end(&mut self, id: StreamId, state: RunState) {
        if let Some(stream) = self.streams.get_mut(&id) {
            if !stream.is_finished() {
                stream.cut();
                self.runs[stream.run].state = state;
            }
        }
        self.running.retain(|running| *running != id);
        self.waiting.retain(|waiting| *waiting != id);
        self.forget(id);
    }

    fn forget(&mut self, id: StreamId) {
        let Some(stream) = self.streams.remove(&id) else {
            return;
        };
        if self.attempts.get(&stream.attempt) == Some(&id) {
            self.attempts.remove(&stream.attempt);
        }
    }

    fn current_load(&self) -> Load {
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            cached_blocks: self.cache.len(),
            as_of_ms: unix_ms(),
        }
    }

    fn note_load(&mut self, now: Instant) {
        let load = self.current_load();
        self.loads.note(load, now);
    }
}
