//! How an engine behaves.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

/// When an engine generates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Pace {
    /// One token for every running stream each time [`super::Engine::step`] is called.
    Manual,
    /// By the clock.
    Timed {
        /// Time between tokens of a stream that runs alone.
        token: Duration,
        /// Share of `token` by which each further running stream lengthens that time.
        slowdown: f64,
        /// Time that each prompt token outside the cache adds to the time to the first token.
        prefill: Duration,
    },
}

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Where it listens; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Name of the model that it serves.
    pub model: String,
    /// Version of the model that is loaded at the start.
    pub version: String,
    /// Most streams that run at the same time; more wait inside.
    pub batch: usize,
    /// When tokens are generated.
    pub pace: Pace,
    /// Output tokens of a request that states no limit and no length.
    pub tokens: u64,
    /// Prompt blocks that the cache holds.
    pub cache_blocks: usize,
    /// How old a load report is.
    pub load_lag: Duration,
    /// How old a cache event is before it is published.
    pub event_lag: Duration,
    /// Every so many cache events one is never published; 0 for none.
    pub event_gap: u64,
    /// How long a stream runs on without a connection; zero cancels it at once.
    pub detached_time: Duration,
    /// How long a finished stream is held for resuming.
    pub finished_time: Duration,
    /// Text in a body that crashes the engine when the request begins to run; empty for none.
    pub crash_marker: String,
    /// Whether an order with an old fencing number is refused.
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
