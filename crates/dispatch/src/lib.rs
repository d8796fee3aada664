//! Fleet-wide scheduling: which waiting request runs next, and on which backend server.
//!
//! Model engines admit every request they receive, so the order can only be decided before a
//! request leaves the fleet. This crate decides it with two state machines. A
//! [`requester::Requester`] at every router holds the queue. A [`dispatcher::Dispatcher`] per pool
//! and availability zone holds the slots of the zone's servers and grants each free slot to the
//! backlogged account with the least service over the whole fleet. The dispatchers of a pool
//! exchange their charges between zones and lend each other slots ([`lending`]).
//!
//! # Event loop
//!
//! Neither state machine reads a clock or owns a socket. The router drives both in one thread:
//!
//! ```text
//!            HTTP side                    peer links, membership, table, load reports
//!   Enqueue, Cancel,  │  Run, Refuse           │                    │
//!   Progress, Ended   ▼     ▲                  ▼                    ▼
//!                 Requester ──Send──▶ links ──Message──▶ Dispatcher (if this router holds it)
//!                     ▲                                       │
//!                     └───────────Message── links ◀──Send─────┘
//! ```
//!
//! - On a new table: [`requester::Event::Table`], and [`dispatcher::Event::Pool`] for each
//!   dispatcher.
//! - When the zone's membership view changes: for each pool, compute the holder from the zone's
//!   live routers. If this router is the holder, create a `Dispatcher` unless it has one; otherwise
//!   drop the one it has. Then send the requester [`requester::Event::Holder`], and each dispatcher
//!   of this router [`dispatcher::Event::Peers`] with the holders of the other zones, as reported
//!   by the members of those zones, and [`dispatcher::Event::RouterDown`] for each router that left
//!   the zone.
//! - On a message from a link: [`message::Body::recipient`] returns the state machine that it is
//!   for. A message for a dispatcher that this router does not hold is dropped.
//! - On `Send` to this router itself: deliver the message as if it had been received over a link.
//! - Every [`timing::TICK_INTERVAL`]: `Tick` to each state machine.
//! - On [`requester::Action::Run`]: connect to the server and run the attempt. In every case
//!   exactly one [`requester::Event::Ended`] follows, with [`message::Ending::Unsent`] if nothing
//!   was sent. To retry, enqueue the request again with the next attempt number.
//!
//! Messages may be lost, duplicated, delayed and reordered; see [`message`]. While membership views
//! disagree, a pool may have two dispatchers in one zone. Each admits up to the limit, so a server
//! may get up to twice its limit until the views agree and the surplus attempts have ended.
//!
//! # Example
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//! use primrose_core::host::HostState;
//! use primrose_core::id::Member;
//! use primrose_core::table::Table;
//! use primrose_dispatch::dispatcher;
//! use primrose_dispatch::dispatcher::Dispatcher;
//! use primrose_dispatch::dispatcher::ServerEntry;
//! use primrose_dispatch::message::Recipient;
//! use primrose_dispatch::requester;
//! use primrose_dispatch::requester::Requester;
//! use primrose_dispatch::requester::PendingRequest;
//! use primrose_support::tables::engine_pool;
//!
//! let me = Member { host: "h1".into(), incarnation: 1 };
//! let mut now = Duration::from_secs(1);
//! let pool = engine_pool("chat");
//! let mut table = Table::default();
//! table.pools.insert("chat".into(), pool.clone());
//!
//! let mut disp = Dispatcher::new(me.clone(), "north".into(), pool, 7, now);
//! let server = ServerEntry {
//!     id: "s1".into(),
//!     state: HostState::Live,
//!     adopted: false,
//!     cap: None,
//! };
//! disp.handle(dispatcher::Event::Servers(vec![server]), now);
//!
//! let mut req = Requester::new(Arc::new(table));
//! let holder = requester::Event::Holder { pool: "chat".into(), holder: Some(me.clone()) };
//! let pending = PendingRequest {
//!     request: 1,
//!     number: 1,
//!     account: "temple".into(),
//!     route: "draft".into(),
//!     pool: "chat".into(),
//!     cost: 200,
//!     bytes: 64,
//!     suspect: false,
//!     prefixes: vec![],
//!     deadline: now + Duration::from_secs(30),
//! };
//! let mut actions = req.handle(holder, now);
//! actions.extend(req.handle(requester::Event::Enqueue(pending), now));
//!
//! let mut runs = Vec::new();
//! for _ in 0..10 {
//!     for action in std::mem::take(&mut actions) {
//!         match action {
//!             requester::Action::Send { to: _, message } => {
//!                 let from = me.clone();
//!                 let event = dispatcher::Event::Message { from, message };
//!                 for sent in disp.handle(event, now) {
//!                     let dispatcher::Action::Send { to: _, message } = sent;
//!                     assert_eq!(message.body.recipient(), Recipient::Requester);
//!                     let from = me.clone();
//!                     let event = requester::Event::Message { from, message };
//!                     actions.extend(req.handle(event, now));
//!                 }
//!             }
//!             requester::Action::Run(run) => runs.push(run.server),
//!             requester::Action::Refuse { .. } => unreachable!(),
//!         }
//!     }
//!     now += Duration::from_millis(100);
//!     actions.extend(req.handle(requester::Event::Tick, now));
//!     for sent in disp.handle(dispatcher::Event::Tick, now) {
//!         let dispatcher::Action::Send { to: _, message } = sent;
//!         let event = requester::Event::Message { from: me.clone(), message };
//!         actions.extend(req.handle(event, now));
//!     }
//! }
//! assert_eq!(runs, ["s1"]);
//! ```

mod affinity;
pub mod dispatcher;
pub mod lending;
mod limit;
pub mod message;
pub mod policy;
pub mod requester;
pub mod status;
pub mod timing;
