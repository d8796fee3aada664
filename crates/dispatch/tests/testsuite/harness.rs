//! Test harness for a single dispatcher, and builders of events and messages.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::host::HostState;
use primrose_core::id::AttemptId;
use primrose_core::id::Member;
use primrose_core::table::Pool;
use primrose_core::table::Table;
use primrose_dispatch::dispatcher;
use primrose_dispatch::dispatcher::Dispatcher;
use primrose_dispatch::dispatcher::LoadReport;
use primrose_dispatch::dispatcher::ServerEntry;
use primrose_dispatch::message::Body;
use primrose_dispatch::message::Ending;
use primrose_dispatch::message::Finished;
use primrose_dispatch::message::Grant;
use primrose_dispatch::message::Message;
use primrose_dispatch::message::Registration;
use primrose_dispatch::message::Renew;
use primrose_dispatch::message::Running;
use primrose_dispatch::message::Seen;
use primrose_dispatch::message::Sync;
use primrose_dispatch::requester::PendingRequest;
use primrose_support::tables::engine_pool;

pub(crate) const POOL: &str = "chat";

pub(crate) fn seconds(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

pub(crate) fn member(host: &str) -> Member {
    Member {
        host: host.into(),
        incarnation: 1,
    }
}

pub(crate) fn table(pool: Pool) -> Arc<Table> {
    let mut table = Table::default();
    table.pools.insert(pool.name.clone(), pool);
    Arc::new(table)
}

pub(crate) fn attempt(request: u64) -> AttemptId {
    AttemptId { request, number: 1 }
}

pub(crate) fn pending_request(request: u64, account: &str) -> PendingRequest {
    PendingRequest {
        request,
        number: 1,
        account: account.into(),
        route: "draft".into(),
        pool: POOL.into(),
        cost: 100,
        bytes: 10,
        suspect: false,
        prefixes: Vec::new(),
        deadline: seconds(60.0),
    }
}

pub(crate) fn registration(request: u64, account: &str) -> Registration {
    Registration {
        request,
        number: 1,
        account: account.into(),
        route: "draft".into(),
        cost: 100,
        suspect: false,
        prefixes: Vec::new(),
        waited: 0,
        left: 60_000,
    }
}

pub(crate) fn message(body: Body) -> Message {
    Message {
        pool: POOL.into(),
        body,
    }
}

pub(crate) fn grant(request: u64, sequence: u64, beat: u64) -> Grant {
    Grant {
        epoch: 7,
        sequence,
        beat,
        attempt: attempt(request),
        server: "s0".into(),
        loan: None,
        charged: 100,
    }
}

pub(crate) fn finished(request: u64, ending: Ending) -> Finished {
    Finished {
        attempt: attempt(request),
        ending,
        used: 100,
        first: Some(100),
        inter: Some(20_000),
    }
}

pub(crate) fn server(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        state: HostState::Live,
        adopted: false,
        cap: None,
    }
}

/// Harness of a dispatcher past its settling time and one router, `h0`; collects what the
/// dispatcher sends.
pub(crate) struct DispatcherHarness {
    pub(crate) now: Mono,
    pub(crate) dispatcher: Dispatcher,
    /// Grants sent, in order.
    pub(crate) grants: Vec<Grant>,
    /// All other messages sent, in order.
    pub(crate) sent: Vec<(Member, Body)>,
    /// Requests that the router registered.
    registered: BTreeMap<u64, Registration>,
    last_renewal: u64,
}

impl DispatcherHarness {
    pub(crate) fn new(slots: (u32, u32), servers: &[&str]) -> Self {
        let mut pool = engine_pool(POOL);
        (pool.slots.min, pool.slots.max) = slots;
        let now = seconds(1.0);
        let dispatcher = Dispatcher::new(member("h0"), "z1".into(), pool, 1, now);
        let mut harness = Self {
            now,
            dispatcher,
            grants: Vec::new(),
            sent: Vec::new(),
            registered: BTreeMap::new(),
            last_renewal: 0,
        };
        harness.set_servers(servers.iter().map(|id| server(id)).collect());
        harness.renew(Vec::new());
        harness.advance(seconds(0.5));
        harness
    }

    pub(crate) fn handle(&mut self, event: dispatcher::Event) {
        let actions = self.dispatcher.handle(event, self.now);
        for dispatcher::Action::Send { to, message } in actions {
            match message.body {
                Body::Grant(grant) => self.grants.push(grant),
                body => self.sent.push((to, body)),
            }
        }
    }

    pub(crate) fn receive(&mut self, from: &str, body: Body) {
        let from = member(from);
        let message = message(body);
        self.handle(dispatcher::Event::Message { from, message });
    }

    pub(crate) fn set_servers(&mut self, entries: Vec<ServerEntry>) {
        self.handle(dispatcher::Event::Servers(entries));
    }

    pub(crate) fn report_load(&mut self, server: &str, running: u32) {
        let server = server.into();
        self.handle(dispatcher::Event::Load(LoadReport { server, running }));
    }

    pub(crate) fn register(&mut self, request: u64, account: &str) {
        self.register_with(registration(request, account));
    }

    pub(crate) fn register_with(&mut self, registration: Registration) {
        self.registered
            .insert(registration.request, registration.clone());
        self.receive("h0", Body::Register(registration));
    }

    pub(crate) fn finish(&mut self, request: u64, ending: Ending) {
        self.receive("h0", Body::Finished(finished(request, ending)));
    }

    /// Renews as a router that has received all grants and runs `running`; answers a resync
    /// request.
    pub(crate) fn renew(&mut self, running: Vec<u64>) {
        let last = self.grants.last();
        let seen = last.map_or(Seen::default(), |g| Seen {
            epoch: g.epoch,
            sequence: g.sequence,
        });
        let granted = self.granted();
        let waiting = self.registered.values();
        let waiting = waiting.filter(|r| !granted.contains(&r.request));
        let waiting: Vec<_> = waiting.cloned().collect();
        self.last_renewal += 1;
        let renew = Renew {
            beat: self.last_renewal,
            seen,
            waiting: waiting.iter().map(Registration::attempt).collect(),
            running: running.iter().map(|r| attempt(*r)).collect(),
            progress: Vec::new(),
        };
        let before = self.sent.len();
        self.receive("h0", Body::Renew(renew));
        if !self.sent[before..]
            .iter()
            .any(|(_, body)| *body == Body::Resync)
        {
            return;
        }
        let mut running_attempts = Vec::new();
        for grant in self.grants.iter().rev() {
            if running.contains(&grant.attempt.request) {
                running_attempts.push(Running {
                    attempt: grant.attempt,
                    account: "a".into(),
                    route: "draft".into(),
                    server: grant.server.clone(),
                    loan: None,
                    charged: grant.charged,
                    used: 1,
                    suspect: false,
                });
            }
        }
        self.last_renewal += 1;
        let sync = Sync {
            beat: self.last_renewal,
            seen,
            waiting,
            running: running_attempts,
        };
        self.receive("h0", Body::Sync(sync));
    }

    /// Advances the clock with a tick every 100 ms and no messages from the router.
    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += seconds(0.1);
            self.handle(dispatcher::Event::Tick);
        }
    }

    /// Returns the requests granted so far, in order.
    pub(crate) fn granted(&self) -> Vec<u64> {
        self.grants.iter().map(|g| g.attempt.request).collect()
    }

    pub(crate) fn grants_on(&self, server: &str) -> usize {
        let grants = self.grants.iter().filter(|g| g.server == server);
        grants.count()
    }
}
