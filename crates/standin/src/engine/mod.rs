//! A model engine that batches continuously and streams tokens at a configured pace.
//!
//! Towards a router it behaves like a real engine: it admits every request, queues those that do not
//! fit the batch, slows down as the batch fills, reports its load with a delay, publishes cache events
//! late and with gaps, and has no priorities. The request determines the answer, so that a test can
//! detect an answer that was spliced together or belongs to another request; see [`answer_text`].
//!
//! # HTTP interface
//!
//! | Request | Answer |
//! |---|---|
//! | `POST /v1/chat/completions` | completion, streamed if the body says `"stream": true`; the header `x-attempt-id` names the attempt |
//! | `GET /v1/streams/<attempt>?after=N` | the stream's events after the one with id `N`; 404 if the engine does not have the stream |
//! | `DELETE /v1/streams/<attempt>` | cancels; 404 if the attempt neither waits nor runs |
//! | `GET /load` | `{running, waiting, cached_blocks, as_of_ms}`, delayed |
//! | `GET /cache-events?after=N` | `{events: [{seq, kind, block}]}`; a gap in `seq` is a dropped event |
//! | `POST /orders` | `{fence, model, version}` or `{fence, role}`; 409 for a stale fence if the engine checks it |
//! | `GET /orders/state` | `{fence, model, version, loading, role}` |
//! | `GET /healthz` | 200 |
//!
//! A request that is refused before it runs gets status 503, the header `x-not-run: true` and its `x-attempt-id`.

mod cache;
mod chat;
mod config;
mod orders;
mod record;
mod report;
mod scheduler;
mod serve;
mod state;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

pub use cache::BLOCK_TOKENS;
pub use chat::answer_text;
pub use config::EngineConfig;
pub use config::Pace;
pub use orders::Order;
pub use orders::OrderRecord;
pub use orders::OrderState;
pub use record::EngineRun;
pub use record::RunState;
pub use report::Load;

use crate::runtime::Runtime;
use crate::server::Server;
use crate::server::Switch;
use scheduler::Core;

/// A running model engine; stopped when dropped.
pub struct Engine {
    core: Arc<Core>,
    server: Server,
}

impl Engine {
    /// Starts the engine.
    pub fn start(runtime: &Runtime, config: EngineConfig) -> io::Result<Self> {
        let listen = config.listen;
        let switch = Switch::new();
        let core = Core::new(config, switch.clone());
        let server = Server::start(runtime, listen, core.clone(), switch)?;
        scheduler::spawn(runtime, &core);
        Ok(Self { core, server })
    }

    /// Returns the address on which the engine listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns all runs so far, in the order of arrival.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.core.lock().runs().to_vec()
    }

    /// Returns how often an attempt was admitted.
    pub fn runs_of(&self, attempt: &str) -> usize {
        let state = self.core.lock();
        let same = |run: &&EngineRun| run.attempt == attempt;
        state.runs().iter().filter(same).count()
    }

    /// Returns the current load, without the delay of the load report.
    pub fn load(&self) -> Load {
        self.core.lock().load()
    }

    /// Returns how many requests were refused before running.
    pub fn refused(&self) -> usize {
        self.core.lock().refused()
    }

    /// Returns how often the engine has crashed.
    pub fn crashes(&self) -> usize {
        self.core.lock().crashes()
    }

    /// Returns all orders received, in the order of arrival.
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.core.lock().orders().record().to_vec()
    }

    /// Returns the state that the orders have set.
    pub fn order_state(&self) -> OrderState {
        self.core.lock().order_state()
    }

    /// Generates one token for every running stream; for [`Pace::Manual`].
    pub fn step(&self) {
        self.core.step();
    }

    /// Sets whether new requests are refused before they run.
    pub fn refuse(&self, refusing: bool) {
        self.core.lock().set_refusing(refusing);
    }

    /// Sets whether the engine hangs: it neither generates nor replies, and connections stay open.
    pub fn hang(&self, hanging: bool) {
        self.core.hang(hanging);
    }

    /// Closes the connection of the next stream to be admitted after this many of its events.
    pub fn cut_next(&self, events: u64) {
        self.core.lock().cut_next(events);
    }

    /// Closes every connection.
    pub fn drop_connections(&self) {
        self.server.cut();
    }

    /// Crashes the engine: loses all streams and the cache, closes the listener and every connection.
    pub fn crash(&self) {
        self.core.crash();
        self.server.close();
    }

    /// Restarts on the same address without streams or cached blocks, as after a crash.
    pub fn restart(&self) -> io::Result<()> {
        self.server.close();
        self.core.lock().reset();
        self.server.reopen()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.core.stop();
    }
}
