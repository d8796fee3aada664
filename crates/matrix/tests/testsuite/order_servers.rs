//! Servers that take orders, their record, and the judge.

use std::collections::BTreeMap;

use primrose_core::clock::Mono;
use primrose_order::FencedOrder;
use primrose_order::Observed;
use primrose_order::Order;
use primrose_order::SendResult;
use primrose_order::Unreachable;

use crate::orders::OrderFlaw;
use crate::orders::World;
use crate::orders::CHECKS;
use crate::orders::CROSSED;
use crate::orders::LATE;
use crate::orders::LOAD;
use crate::orders::VERSION;
use crate::scenario::Found;
use crate::sim::fault::Fault;

/// An order that reached a server.
#[derive(Debug, Clone)]
pub(crate) struct Received {
    writer: usize,
    server: usize,
    fence: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) state: Observed,
    load_end: Mono,
    pub(crate) down_until: Mono,
    pub(crate) hung_until: Mono,
    late: Vec<(Mono, usize, FencedOrder)>,
}

impl Server {
    /// A server with the version that the table no longer wants.
    pub(crate) fn new() -> Self {
        Self {
            state: Observed {
                model: "linen".to_owned(),
                version: "1".to_owned(),
                ..Observed::default()
            },
            ..Self::default()
        }
    }
}

impl World {
    pub(crate) fn observe(
        &self,
        server: usize,
        fault: Option<Fault>,
    ) -> Result<Observed, Unreachable> {
        let now = self.now();
        let server = &self.servers[server];
        let refused = server.down_until > now;
        let lost = matches!(fault, Some(Fault::Lost | Fault::ReplyLost));
        if refused || lost || server.hung_until > now {
            let detail = "fault at this step".to_owned();
            return Err(Unreachable { refused, detail });
        }
        let mut state = server.state.clone();
        if self.flaw == Some(OrderFlaw::TrustsOrders) && self.sent {
            state.version = VERSION.to_owned();
            state.loading.clear();
        }
        Ok(state)
    }

    pub(crate) fn send(
        &mut self,
        place: usize,
        server: usize,
        order: &FencedOrder,
        fault: Option<Fault>,
    ) -> SendResult {
        self.sent = true;
        let now = self.now();
        let writer = self.processes[place].number;
        let down = self.servers[server].down_until > now;
        let late = match fault {
            Some(Fault::Lost) => return SendResult::Lost,
            Some(Fault::Late) => Some(LATE),
            Some(Fault::Crossed) => Some(CROSSED),
            _ if down => return SendResult::Lost,
            _ => self.servers[server]
                .hung_until
                .checked_sub(now)
                .filter(|left| !left.is_zero()),
        };
        if let Some(late) = late {
            let due = now + late;
            self.servers[server].late.push((due, writer, order.clone()));
            return SendResult::Lost;
        }
        let result = self.receive(writer, server, order);
        if matches!(fault, Some(Fault::ReplyLost)) {
            return SendResult::Lost;
        }
        result
    }

    /// The server takes an order, or refuses its number if it checks.
    fn receive(&mut self, writer: usize, number: usize, order: &FencedOrder) -> SendResult {
        let now = self.now();
        let fence = order.fence;
        let server = &mut self.servers[number];
        if CHECKS[number] && fence < server.state.fence {
            return SendResult::Stale(server.state.clone());
        }
        self.record.push(Received {
            writer,
            server: number,
            fence,
        });
        server.state.fence = server.state.fence.max(fence);
        if let Order::Load { version, .. } = &order.order {
            if server.state.version != *version && server.state.loading != *version {
                server.state.loading.clone_from(version);
                server.load_end = now + LOAD;
            }
        }
        SendResult::Accepted
    }

    pub(crate) fn settle_servers(&mut self, now: Mono) {
        for number in 0..self.servers.len() {
            let server = &mut self.servers[number];
            if !server.state.loading.is_empty() && server.load_end <= now {
                server.state.version = std::mem::take(&mut server.state.loading);
            }
            let late = std::mem::take(&mut server.late);
            for (due, writer, order) in late {
                if due <= now {
                    self.receive(writer, number, &order);
                } else {
                    self.servers[number].late.push((due, writer, order));
                }
            }
        }
    }

    pub(crate) fn judge(&self) -> Found {
        let mut out = Vec::new();
        let mut owners: BTreeMap<(usize, u64), usize> = BTreeMap::new();
        let mut newest: BTreeMap<usize, u64> = BTreeMap::new();
        for one in &self.record {
            let key = (one.server, one.fence);
            if *owners.entry(key).or_insert(one.writer) != one.writer {
                out.push(format!("two routers share a fencing number: {one:?}"));
            }
            let newest = newest.entry(one.server).or_insert(one.fence);
            if one.fence < *newest {
                out.push(format!("an order came after number {newest}: {one:?}"));
            }
            *newest = one.fence.max(*newest);
        }
        for (number, server) in self.servers.iter().enumerate() {
            if self.targets[number] && server.state.version != VERSION {
                out.push(format!(
                    "server {number} has version {}",
                    server.state.version
                ));
            }
        }
        Found {
            violations: out,
            struck: self.struck,
        }
    }
}
