//! A model engine that batches continuously and streams tokens at a set pace.
//!
//! It behaves as engines do towards a router: it admits whatever comes and lets what does not fit
//! its batch wait inside, slows down as the batch fills, reports load with a lag and cache events
//! late and with gaps, and knows no priorities. Its answers are determined by the request, so that
//! a test can tell a whole answer from a spliced or crossed one; see [`answer_text`].
//!
//! # HTTP interface
//!
//! | Request | Answer |
//! |---|---|
//! | `POST /v1/chat/completions` | completion, streamed if the body says `"stream": true`; the header `x-attempt-id` names the attempt |
//! | `GET /v1/streams/<attempt>?after=N` | the stream's events after the one with id `N`; 404 if it is not held |
//! | `DELETE /v1/streams/<attempt>` | cancels; 404 if nothing runs under that name |
//! | `GET /load` | `{running, waiting, cached_blocks, as_of_ms}`, of a past moment |
//! | `GET /cache-events?after=N` | `{events: [{seq, kind, block}]}`; gaps show in `seq` |
//! | `POST /orders` | `{fence, model, version}` or `{fence, role}`; 409 for an old fence if the engine checks |
//! | `GET /orders/state` | `{fence, model, version, loading, role}` |
//! | `GET /healthz` | 200 |
//!
//! A refusal before running has status 503 and the header `x-not-run: true`.

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

    /// Returns where the engine listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns every run so far, in the order of arrival.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.core.lock().runs().to_vec()
    }

    /// Returns how often an attempt was admitted.
    pub fn runs_of(&self, attempt: &str) -> usize {
        let state = self.core.lock();
        let same = |run: &&EngineRun| run.attempt == attempt;
        state.runs().iter().filter(same).count()
    }

    /// Returns the load of this moment, without the report's lag.
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

    /// Returns every order that arrived, in order.
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.core.lock().orders().record().to_vec()
    }

    /// Returns what the orders have made of the engine.
    pub fn order_state(&self) -> OrderState {
        self.core.lock().order_state()
    }

    /// Generates one token for every running stream; for [`Pace::Manual`].
    pub fn step(&self) {
        self.core.step();
    }

    /// Refuses new requests before running them, or ends that.
    pub fn refuse(&self, refuse: bool) {
        self.core.lock().set_refusing(refuse);
    }

    /// Stops generating and answering, or ends that; connections stay open.
    pub fn hang(&self, hang: bool) {
        self.core.hang(hang);
    }

    /// Cuts the connection of the next stream that begins, after this many of its events.
    pub fn cut_next(&self, events: u64) {
        self.core.lock().cut_next(events);
    }

    /// Cuts every connection.
    pub fn drop_connections(&self) {
        self.server.cut();
    }

    /// Crashes: loses all streams and the cache, closes the listener and cuts every connection.
    pub fn crash(&self) {
        self.core.crash();
        self.server.close();
    }

    /// Listens again on the same address, empty, as after a crash.
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
