//! Configuration of an engine.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

/// When an engine generates tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Pace {
    /// One token for every running stream each time [`super::Engine::step`] is called.
    Manual,
    /// At timed intervals.
    Timed {
        /// Time between two tokens while a single stream runs.
        token: Duration,
        /// Fraction of `token` that each further running stream adds to that time.
        slowdown: f64,
        /// Time that each uncached prompt token adds to the time to the first token.
        prefill: Duration,
    },
}

/// Configuration of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Name of the model that the engine serves.
    pub model: String,
    /// Version of the model that is loaded at startup.
    pub version: String,
    /// Maximum number of streams that run at the same time; further ones are queued.
    pub batch: usize,
    /// When tokens are generated.
    pub pace: Pace,
    /// Number of output tokens of a request without a length in its metadata; the request's own
    /// token limit still applies.
    pub tokens: u64,
    /// Maximum number of prompt blocks in the cache.
    pub cache_blocks: usize,
    /// Age of a load report when it is read.
    pub load_lag: Duration,
    /// Delay after which a cache event is published.
    pub event_lag: Duration,
    /// Drops every n-th cache event instead of publishing it; 0 drops none.
    pub event_gap: u64,
    /// How long a stream continues without a connection; zero cancels it immediately.
    pub detached_time: Duration,
    /// How long a finished stream can be resumed.
    pub finished_time: Duration,
    /// Text in a request body that crashes the engine at the first step in which the request runs;
    /// empty for none.
    pub crash_marker: String,
    /// Whether an order with a stale fencing number is refused.
    pub checks_fence: bool,
    /// How long loading a model version takes.
    pub loading_time: Duration,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            model: "linen-7b".into(),
            version: "1".into(),
            batch: 8,
            pace: Pace::Timed {
                token: Duration::from_millis(10),
                slowdown: 0.05,
                prefill: Duration::from_micros(100),
            },
            tokens: 32,
            cache_blocks: 1024,
            load_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(500),
            event_gap: 0,
            detached_time: Duration::from_secs(10),
            finished_time: Duration::from_secs(30),
            crash_marker: "crash-the-engine".into(),
            checks_fence: true,
            loading_time: Duration::ZERO,
        }
    }
}
