//! What a gateway logs: one typed event for each decision that touches a request or changes what
//! the process believes.

use serde::Serialize;

/// An event; its fields become members of a JSON line.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The process serves.
    Started {
        /// Start number, which digests carry.
        incarnation: u64,
        /// Availability zone.
        zone: String,
    },
    /// Shutdown was asked for.
    Stopping {
        /// Requests that still run.
        running: usize,
    },
    /// The process ends.
    Stopped {
        /// Requests that were cut off.
        cut: usize,
    },
    /// The settings were read again.
    Reloaded {
        /// What was wrong with them; they are unchanged then.
        error: Option<String>,
    },
    /// The gateway takes no new connections for a while, since its thread wakes late.
    Busy {
        /// How late, in milliseconds.
        late_ms: u64,
        /// Requests that run.
        running: usize,
    },
    /// Something that the gateway needs stopped answering.
    DependencyLost {
        /// What.
        dependency: String,
        /// Why it counts as lost.
        reason: String,
    },
    /// It answers again.
    DependencyRegained {
        /// What.
        dependency: String,
        /// How long it was lost, in milliseconds.
        lost_ms: u64,
    },
    /// Tables came into force.
    TablesInForce {
        /// Their generation.
        generation: u64,
        /// Generation before.
        before: u64,
        /// Where they came from.
        source: String,
    },
    /// An entry of the platform's list names nothing usable.
    EntryUnusable {
        /// Its name.
        name: String,
        /// What is wrong with it.
        reason: String,
    },
    /// What is believed of a server changed.
    Server {
        /// The server.
        server: String,
        /// What changed.
        change: &'static str,
        /// Version of the list by which it is known.
        list_version: u64,
        /// Where the news came from.
        source: String,
    },
    /// A request was sent to a server.
    Sent {
        /// The request.
        request: String,
        /// Its account.
        account: Option<String>,
        /// Its route.
        route: String,
        /// The server.
        server: String,
        /// Servers that were tried before.
        tried: usize,
        /// Expected wait in milliseconds.
        predicted_ms: u64,
        /// Tokens ahead of and in the request at that server.
        waiting_tokens: u64,
        /// Generation of the tables that decided.
        generation: u64,
        /// Version of the list of servers that decided.
        list_version: u64,
        /// Gateways whose sums were counted.
        fleet: usize,
    },
    /// A request was refused and has not run.
    Refused {
        /// The request.
        request: String,
        /// Its account.
        account: Option<String>,
        /// Its route.
        route: Option<String>,
        /// Status of the answer.
        status: u16,
        /// Why.
        reason: String,
        /// Expected wait in milliseconds.
        predicted_ms: u64,
        /// Wait that would have been accepted, in milliseconds.
        allowed_ms: u64,
        /// When the caller is asked to come back, in milliseconds.
        retry_after_ms: u64,
        /// Generation of the tables that decided.
        generation: u64,
        /// Version of the list of servers that decided.
        list_version: u64,
    },
    /// An attempt at a server failed.
    AttemptFailed {
        /// The request.
        request: String,
        /// The server.
        server: String,
        /// How.
        outcome: String,
        /// What was seen.
        reason: String,
        /// Whether the server may have run it.
        may_have_run: bool,
        /// What happens next.
        next: &'static str,
        /// How long the attempt took, in milliseconds.
        took_ms: u64,
    },
    /// No server was found that goes on with a stream.
    NotResumed {
        /// The request.
        request: String,
        /// Why.
        reason: String,
        /// Expected wait in milliseconds.
        predicted_ms: u64,
        /// Wait that would have been accepted, in milliseconds.
        allowed_ms: u64,
    },
    /// A request was answered.
    Answered {
        /// The request.
        request: String,
        /// The last server.
        server: Option<String>,
        /// Status of the answer.
        status: u16,
        /// How it ended.
        outcome: &'static str,
        /// Servers that may have run it.
        runs: u32,
        /// Time to the first event or the answer, in milliseconds.
        first_ms: u64,
        /// Time to the end, in milliseconds.
        whole_ms: u64,
    },
    /// Lines that were left out.
    LinesDropped {
        /// How many.
        count: u64,
    },
}
