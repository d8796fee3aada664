//! The engine's own record of what ran.

/// How far a run got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// Admitted, and waiting for a place in the batch.
    Waiting,
    /// In the batch.
    Running,
    /// Generated to its end.
    Finished,
    /// Ended by a cancel, or because its connection had gone.
    Cancelled,
    /// Lost in a crash.
    Crashed,
}

/// One admitted request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRun {
    /// Header `x-attempt-id`, or a name that the engine made.
    pub attempt: String,
    /// Header `Idempotency-Key`; empty if there was none.
    pub key: String,
    /// Stands for the messages and the model; see [`super::answer_text`].
    pub tag: u16,
    /// Input tokens.
    pub prompt: u64,
    /// Input tokens that the cache held when the run began.
    pub cached: u64,
    /// Output tokens so far.
    pub produced: u64,
    /// How far it got.
    pub state: RunState,
}
