//! The engine's state: waiting, running and finished streams, and the record of runs.

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
use super::stream::Stream;
use super::stream::Subscriber;
use super::EngineConfig;
use super::Pace;

/// Id of a stream within the engine.
pub(crate) type StreamId = u64;

/// A completion request with the values of its headers.
pub(crate) struct Admission {
    pub(crate) request: ChatRequest,
    pub(crate) attempt: Option<String>,
    pub(crate) key: String,
    pub(crate) crashes_engine: bool,
}

/// Result of a step.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Every running stream that was ready generated a token.
    Generated,
    /// A running request has the crash marker.
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
    load_history: LoadHistory,
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
            load_history: LoadHistory::new(config.load_lag),
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

    /// Returns the current load.
    pub(crate) fn load(&mut self) -> Load {
        self.purge(Instant::now());
        self.current_load()
    }

    /// Returns the load with the delay of the load report.
    pub(crate) fn load_report(&mut self) -> Load {
        self.load_history.report(Instant::now())
    }

    /// Returns whether any stream waits or runs.
    pub(crate) fn is_busy(&self) -> bool {
        !self.running.is_empty() || !self.waiting.is_empty()
    }

    /// Returns the time between two tokens at the current batch size; `None` for a manual pace.
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

    /// Admits a request; `None` if the engine refuses requests.
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
        stream.crashes_engine = admission.crashes_engine;
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
        self.record_load(now);
        Some(id)
    }

    /// Sends a stream's events after number `after` to a connection; false if there is no such stream.
    pub(crate) fn subscribe(&mut self, id: StreamId, subscriber: Subscriber, after: u64) -> bool {
        let Some(stream) = self.streams.get_mut(&id) else {
            return false;
        };
        stream.subscribe(subscriber, after);
        true
    }

    /// Returns the stream of an attempt.
    pub(crate) fn find(&mut self, attempt: &str, now: Instant) -> Option<StreamId> {
        self.purge(now);
        self.attempts.get(attempt).copied()
    }

    /// Returns the completion of a stream, if it has finished.
    pub(crate) fn completion(&self, id: StreamId) -> Option<Completion> {
        let stream = self.streams.get(&id)?;
        stream.is_finished().then(|| stream.completion())
    }

    /// Cancels the waiting or running stream of an attempt; false if there is none.
    pub(crate) fn cancel(&mut self, attempt: &str, now: Instant) -> bool {
        let Some(id) = self.find(attempt, now) else {
            return false;
        };
        if self.streams.get(&id).is_none_or(Stream::is_finished) {
            return false;
        }
        self.terminate(id, RunState::Cancelled);
        self.fill_batch(now);
        self.record_load(now);
        true
    }

    /// Generates one token for every running stream whose prompt has been processed.
    pub(crate) fn step(&mut self, now: Instant) -> Step {
        self.purge(now);
        let crashes_engine = |id: &StreamId| {
            self.streams
                .get(id)
                .is_some_and(|stream| stream.crashes_engine)
        };
        if self.running.iter().any(crashes_engine) {
            return Step::Crash;
        }
        for id in self.running.clone() {
            self.generate(id, now);
        }
        self.fill_batch(now);
        self.record_load(now);
        Step::Generated
    }

    /// Counts a crash and ends every stream as crashed.
    pub(crate) fn crash(&mut self) {
        self.crashes += 1;
        let ids: Vec<StreamId> = self.streams.keys().copied().collect();
        for id in ids {
            self.terminate(id, RunState::Crashed);
        }
        self.reset();
    }

    /// Removes all streams and cached blocks and resets the orders; the record stays.
    pub(crate) fn reset(&mut self) {
        self.streams.clear();
        self.attempts.clear();
        self.waiting.clear();
        self.running.clear();
        self.cache = Cache::new(self.config.cache_blocks);
        self.orders.reset(&self.config.model, &self.config.version);
        self.record_load(Instant::now());
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

    /// Moves waiting streams into the batch, in the order of arrival.
    fn fill_batch(&mut self, now: Instant) {
        while self.running.len() < self.config.batch {
            let Some(id) = self.waiting.pop_front() else {
                break;
            };
            self.start_run(id, now);
        }
    }

    fn start_run(&mut self, id: StreamId, now: Instant) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let change = self.cache.insert_prompt(&cache::block_ids(&stream.words));
        stream.cached = change.hits * BLOCK_TOKENS as u64;
        let uncached = stream.words.len() as u64 - stream.cached;
        let prefill = match self.config.pace {
            Pace::Manual => Duration::ZERO,
            Pace::Timed { prefill, .. } => prefill * u32::try_from(uncached).unwrap_or(u32::MAX),
        };
        stream.ready = Some(now + prefill);
        let run = &mut self.runs[stream.run];
        run.cached = stream.cached;
        run.state = RunState::Running;
        self.events.record(&change, now);
        self.running.push(id);
    }

    /// Cancels streams that have been detached, and removes finished ones, for longer than configured.
    fn purge(&mut self, now: Instant) {
        let mut abandoned = Vec::new();
        let mut expired = Vec::new();
        for (id, stream) in &mut self.streams {
            if let Some(finished) = stream.finished {
                if finished + self.config.finished_time <= now {
                    expired.push(*id);
                }
            } else if !stream.has_subscribers(now) {
                let since = stream.detached.unwrap_or(now);
                if since + self.config.detached_time <= now {
                    abandoned.push(*id);
                }
            }
        }
        for id in expired {
            self.remove_stream(id);
        }
        for id in &abandoned {
            self.terminate(*id, RunState::Cancelled);
        }
        if !abandoned.is_empty() {
            self.fill_batch(now);
        }
    }

    /// Ends a stream early in the given state and removes it.
    fn terminate(&mut self, id: StreamId, state: RunState) {
        if let Some(stream) = self.streams.get_mut(&id) {
            if !stream.is_finished() {
                stream.cut_connections();
                self.runs[stream.run].state = state;
            }
        }
        self.running.retain(|running| *running != id);
        self.waiting.retain(|waiting| *waiting != id);
        self.remove_stream(id);
    }

    fn remove_stream(&mut self, id: StreamId) {
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

    fn record_load(&mut self, now: Instant) {
        let load = self.current_load();
        self.load_history.record(load, now);
    }
}
