//! The engine's record of the requests that it admitted.

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// Waits for a place in the batch.
    Waiting,
    /// In the batch.
    Running,
    /// Has generated all tokens.
    Finished,
    /// Was cancelled, or ended because its connection was closed.
    Cancelled,
    /// Was lost in a crash.
    Crashed,
}

/// One admitted request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRun {
    /// Header `x-attempt-id`, or an id that the engine assigned.
    pub attempt: String,
    /// Header `Idempotency-Key`; empty if there was none.
    pub key: String,
    /// Fingerprint of the model and the messages; see [`super::answer_text`].
    pub tag: u16,
    /// Input tokens.
    pub prompt: u64,
    /// Input tokens that were cached when the run started.
    pub cached: u64,
    /// Output tokens so far.
    pub produced: u64,
    /// State of the run.
    pub state: RunState,
}
