//! In-memory servers that record the orders they receive.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_order::FencedOrder;
use primrose_order::Observed;
use primrose_order::Order;
use primrose_order::SendResult;
use primrose_order::ServerClient;
use primrose_order::Unreachable;
use primrose_support::clock::FakeClock;

/// Version that every server starts with.
pub(crate) const FIRST_VERSION: &str = "1";

/// Fault of the next order to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderFault {
    /// The order is lost before it reaches the server.
    LoseOrder,
    /// The order takes effect, but the reply is lost.
    LoseReply,
    /// The order takes effect after this time, and the reply is lost.
    Delay(Duration),
}

/// An order that a writer sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Sent {
    pub(crate) writer: usize,
    pub(crate) server: usize,
    pub(crate) order: FencedOrder,
    /// Whether the server checks fencing numbers.
    pub(crate) checked: bool,
}

#[derive(Debug)]
struct Server {
    checks: bool,
    state: Observed,
    load_end: Mono,
    reachable: bool,
    fault: Option<OrderFault>,
    delayed: Vec<(Mono, FencedOrder)>,
}

#[derive(Debug, Default)]
struct Inner {
    servers: Vec<Server>,
    sent: Vec<Sent>,
    max_loading: usize,
}

/// The servers of a test.
pub(crate) struct FakeServers {
    clock: Arc<FakeClock>,
    load_time: Duration,
    inner: Mutex<Inner>,
}

impl FakeServers {
    pub(crate) fn new(clock: Arc<FakeClock>, load_time: Duration, checks: &[bool]) -> Arc<Self> {
        let servers = checks.iter().map(|checks| Server {
            checks: *checks,
            state: first_state(),
            load_end: Mono::ZERO,
            reachable: true,
            fault: None,
            delayed: Vec::new(),
        });
        let inner = Inner {
            servers: servers.collect(),
            ..Inner::default()
        };
        Arc::new(Self {
            clock,
            load_time,
            inner: Mutex::new(inner),
        })
    }

    /// Returns the address of a server.
    pub(crate) fn addr(server: usize) -> SocketAddr {
        let client = u16::try_from(server).expect("a test has few servers");
        SocketAddr::from(([10, 0, 0, 1], client))
    }

    pub(crate) fn state(&self, server: usize) -> Observed {
        self.lock_updated().servers[server].state.clone()
    }

    pub(crate) fn sent(&self) -> Vec<Sent> {
        self.lock_updated().sent.clone()
    }

    /// Returns the maximum number of servers that were loading at the same time.
    pub(crate) fn max_loading(&self) -> usize {
        self.lock_updated().max_loading
    }

    pub(crate) fn set_fault(&self, server: usize, fault: Option<OrderFault>) {
        self.lock_updated().servers[server].fault = fault;
    }

    pub(crate) fn set_reachable(&self, server: usize, reachable: bool) {
        self.lock_updated().servers[server].reachable = reachable;
    }

    /// Restarts a server: it loses its loaded version and its fencing number.
    pub(crate) fn restart(&self, server: usize) {
        let mut inner = self.lock_updated();
        let server = &mut inner.servers[server];
        server.state = first_state();
        server.delayed.clear();
    }

    /// Changes the state of a server without an order.
    pub(crate) fn set_state(&self, server: usize, change: impl FnOnce(&mut Observed)) {
        change(&mut self.lock_updated().servers[server].state);
    }

    /// Completes the loads and delivers the delayed orders that are due; returns the locked state.
    fn lock_updated(&self) -> MutexGuard<'_, Inner> {
        let now = self.clock.now();
        let mut inner = self.inner.lock().expect("servers lock poisoned");
        for number in 0..inner.servers.len() {
            let server = &mut inner.servers[number];
            server.update(now);
            let (due, waiting) = server.delayed.drain(..).partition(|(at, _)| *at <= now);
            server.delayed = waiting;
            let due: Vec<(Mono, FencedOrder)> = due;
            for (_, order) in due {
                self.deliver(&mut inner, number, &order, now);
            }
        }
        inner
    }

    fn deliver(
        &self,
        inner: &mut Inner,
        server: usize,
        order: &FencedOrder,
        now: Mono,
    ) -> SendResult {
        let result = inner.servers[server].apply_order(order, now, self.load_time);
        let loading = |server: &&Server| !server.state.loading.is_empty();
        let loading = inner.servers.iter().filter(loading).count();
        inner.max_loading = inner.max_loading.max(loading);
        result
    }

    fn find(addr: SocketAddr) -> usize {
        usize::from(addr.port())
    }
}

impl Server {
    fn update(&mut self, now: Mono) {
        if !self.state.loading.is_empty() && self.load_end <= now {
            self.state.version = std::mem::take(&mut self.state.loading);
        }
    }

    fn apply_order(&mut self, fenced: &FencedOrder, now: Mono, load_time: Duration) -> SendResult {
        if self.checks && fenced.fence < self.state.fence {
            return SendResult::Stale(self.state.clone());
        }
        self.state.fence = self.state.fence.max(fenced.fence);
        match &fenced.order {
            Order::Load { model, version } => {
                self.state.model.clone_from(model);
                if self.state.version != *version || !self.state.loading.is_empty() {
                    self.state.loading.clone_from(version);
                    self.load_end = now + load_time;
                    self.update(now);
                }
            }
            Order::Role { role } => self.state.role.clone_from(role),
        }
        SendResult::Accepted
    }
}

fn first_state() -> Observed {
    Observed {
        model: "linen".into(),
        version: FIRST_VERSION.into(),
        ..Observed::default()
    }
}

/// Client of one writer for the servers.
pub(crate) struct WriterClient {
    pub(crate) writer: usize,
    pub(crate) servers: Arc<FakeServers>,
}

impl ServerClient for WriterClient {
    fn observe(&self, addr: SocketAddr) -> Result<Observed, Unreachable> {
        let inner = self.servers.lock_updated();
        let server = &inner.servers[FakeServers::find(addr)];
        if server.reachable {
            return Ok(server.state.clone());
        }
        Err(Unreachable {
            refused: false,
            detail: "fault set by the test".into(),
        })
    }

    fn send(&self, addr: SocketAddr, order: &FencedOrder) -> SendResult {
        let now = self.servers.clock.now();
        let mut inner = self.servers.lock_updated();
        let number = FakeServers::find(addr);
        if !inner.servers[number].reachable {
            return SendResult::Lost;
        }
        let checked = inner.servers[number].checks;
        inner.sent.push(Sent {
            writer: self.writer,
            server: number,
            order: order.clone(),
            checked,
        });
        match inner.servers[number].fault.take() {
            None => self.servers.deliver(&mut inner, number, order, now),
            Some(OrderFault::LoseOrder) => SendResult::Lost,
            Some(OrderFault::LoseReply) => {
                self.servers.deliver(&mut inner, number, order, now);
                SendResult::Lost
            }
            Some(OrderFault::Delay(time)) => {
                let due = now + time;
                inner.servers[number].delayed.push((due, order.clone()));
                SendResult::Lost
            }
        }
    }
}

/// Returns the violations of the fencing rules, given the orders sent to the servers.
///
/// The rules: for each server, all orders with one fencing number come from one writer, and a
/// server that does not check fencing numbers never receives an older one after a newer one. Of the
/// writers, only their numbers are known here.
pub(crate) fn violations(sent: &[Sent]) -> Vec<String> {
    let mut violations_found = Vec::new();
    let mut owners: BTreeMap<(usize, u64), usize> = BTreeMap::new();
    let mut newest: BTreeMap<usize, u64> = BTreeMap::new();
    for sent_order in sent {
        let fence = sent_order.order.fence;
        let owner = *owners
            .entry((sent_order.server, fence))
            .or_insert(sent_order.writer);
        if owner != sent_order.writer {
            violations_found.push(format!(
                "two writers share a fencing number: {sent_order:?}"
            ));
        }
        let newest = newest.entry(sent_order.server).or_insert(fence);
        if fence < *newest && !sent_order.checked {
            violations_found.push(format!(
                "sent after fencing number {newest}: {sent_order:?}"
            ));
        }
        *newest = fence.max(*newest);
    }
    violations_found
}
