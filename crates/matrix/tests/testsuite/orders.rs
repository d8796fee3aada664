//! Orders to backend servers: two routers that hold the duty one after the other, or both at once.
//!
//! The writers are the real ones; their actions are carried out here one by one, so that a fault
//! can strike at each. The judge reads the servers' own record of the orders that reached them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_order::Action;
use primrose_order::Desired;
use primrose_order::Event;
use primrose_order::OrderConfig;
use primrose_order::SendResult;
use primrose_order::Target;
use primrose_order::Writer;
use primrose_store::memory::MemoryStore;
use primrose_store::store::Result as StoreResult;
use primrose_store::store::Store;
use primrose_store::store::StoreError;
use primrose_support::clock::FakeClock;

use crate::order_servers::Received;
use crate::order_servers::Server;
use crate::scenario::Found;
use crate::sim::fault::Fault;
use crate::sim::fault::Strike;
use crate::steps::Step;

/// Whether each server refuses an order with an old number.
pub(crate) const CHECKS: [bool; 2] = [false, true];
pub(crate) const VERSION: &str = "2";
pub(crate) const LOAD: Duration = Duration::from_secs(10);
pub(crate) const LONG: Duration = Duration::from_secs(6);
pub(crate) const LATE: Duration = Duration::from_secs(4);
pub(crate) const CROSSED: Duration = Duration::from_millis(1_500);
const SLOW: Duration = Duration::from_secs(3);
/// A pause that outlasts the lease by far.
pub(crate) const LAPSE: Duration = Duration::from_secs(200);
/// When the duty moves to the other router, after a crash or a long silence.
pub(crate) const MOVES: Duration = Duration::from_secs(5);
pub(crate) const END: Mono = Duration::from_secs(600);
const TICK: Duration = Duration::from_millis(500);

/// A rule broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderFlaw {
    /// An order is sent however long ago the lease was renewed.
    IgnoresLease,
    /// A lost order is taken for carried out, and nobody looks again.
    TrustsOrders,
}

pub(crate) struct Process {
    pub(crate) number: usize,
    writer: Writer,
    pub(crate) asleep_until: Mono,
    pub(crate) cut_until: Mono,
    late: Vec<(Mono, Event)>,
}

pub(crate) struct World {
    clock: Arc<FakeClock>,
    pub(crate) store: MemoryStore,
    pub(crate) servers: Vec<Server>,
    pub(crate) processes: Vec<Process>,
    started: usize,
    pub(crate) record: Vec<Received>,
    /// What is to happen later: the other process gets the duty.
    pub(crate) moves_at: Option<(Mono, usize)>,
    pub(crate) store_up_at: Mono,
    pub(crate) slow_until: Mono,
    pub(crate) targets: [bool; CHECKS.len()],
    pub(crate) sent: bool,
    waiting: Vec<Strike>,
    pub(crate) struck: usize,
    pub(crate) flaw: Option<OrderFlaw>,
}

/// Runs a load under faults and judges it.
pub(crate) fn run(strikes: &[Strike], flaw: Option<OrderFlaw>) -> Found {
    let clock = Arc::new(FakeClock::new());
    let mut world = World {
        store: MemoryStore::new(clock.clone()),
        clock,
        servers: CHECKS.iter().map(|_| Server::new()).collect(),
        processes: Vec::new(),
        started: 0,
        record: Vec::new(),
        moves_at: None,
        store_up_at: Mono::ZERO,
        slow_until: Mono::ZERO,
        targets: [true; CHECKS.len()],
        sent: false,
        waiting: strikes.to_vec(),
        struck: 0,
        flaw,
    };
    for _ in 0..2 {
        let process = world.start();
        world.processes.push(process);
    }
    world.assign(0);
    while world.now() < END {
        world.turn();
        world.clock.advance(TICK);
    }
    world.judge()
}

fn addr(server: usize) -> SocketAddr {
    let port = u16::try_from(server).expect("there are few servers");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn unavailable<T>() -> StoreResult<T> {
    let detail = "cut off".to_owned();
    Err(StoreError::Unavailable { detail })
}

impl World {
    pub(crate) fn now(&self) -> Mono {
        self.clock.now()
    }

    pub(crate) fn start(&mut self) -> Process {
        let number = self.started;
        self.started += 1;
        let config = OrderConfig::new("fleet", format!("entry-{number}"), number as u64);
        Process {
            number,
            writer: Writer::new(config),
            asleep_until: Mono::ZERO,
            cut_until: Mono::ZERO,
            late: Vec::new(),
        }
    }

    /// Gives a process the duty for all servers that are to be served.
    pub(crate) fn assign(&mut self, place: usize) {
        let now = self.now();
        let desired = Desired {
            model: "linen".to_owned(),
            version: VERSION.to_owned(),
            role: String::new(),
        };
        let wanted = (0..CHECKS.len()).filter(|server| self.targets[*server]);
        let targets = wanted.map(|server| Target {
            server: format!("s{server}"),
            addr: addr(server),
            desired: desired.clone(),
            checks_fence: CHECKS[server],
        });
        let targets = targets.collect();
        self.processes[place].writer.set_targets(targets, now);
    }

    fn turn(&mut self) {
        let now = self.now();
        if now >= self.store_up_at {
            self.store.set_down(false);
        }
        self.move_duty(now);
        self.settle_servers(now);
        for place in 0..self.processes.len() {
            self.turn_process(place);
        }
    }

    /// Gives the duty to the other process when its time has come.
    fn move_duty(&mut self, now: Mono) {
        if let Some((_, to)) = self.moves_at.filter(|(at, _)| *at <= now) {
            self.moves_at = None;
            if self.processes[to].asleep_until >= END {
                // Its host has been replaced meanwhile.
                self.processes[to] = self.start();
            }
            self.assign(to);
        }
    }

    fn turn_process(&mut self, place: usize) {
        /// Most actions of one turn.
        const MOST: usize = 50;
        for _ in 0..MOST {
            let now = self.now();
            let process = &mut self.processes[place];
            if process.asleep_until > now {
                return;
            }
            let due = process.late.iter().position(|(at, _)| *at <= now);
            if let Some(due) = due {
                let (_, event) = process.late.remove(due);
                process.writer.handle(event, now);
            }
            let Some(action) = process.writer.poll(now) else {
                return;
            };
            self.act(place, action);
        }
    }

    fn act(&mut self, place: usize, action: Action) {
        let step = match &action {
            Action::CreateLease { .. } => Some(Step::ServerLease),
            Action::Send { .. } => Some(Step::ServerOrder),
            Action::Observe { .. } if self.sent => Some(Step::ServerReadBack),
            _ => None,
        };
        let fault = step.and_then(|step| self.fault_at(step));
        let server = server_of(&action);
        let began = self.now();
        self.disturb(place, server, fault);
        if self.processes[place].asleep_until >= END {
            // It died, and what it was about to do is not done.
            return;
        }
        if self.processes[place].asleep_until > self.now() {
            // The process sleeps between deciding and doing; the world goes on without it.
            self.sleep(place);
        }
        let Some(event) = self.perform(place, action, began, fault) else {
            return;
        };
        let reply = matches!(event, Event::Sent { .. });
        let fault = match reply.then(|| self.fault_at(Step::ServerReply)).flatten() {
            Some(fault) => {
                self.disturb(place, server, Some(fault));
                Some(fault)
            }
            None => fault.filter(|_| !reply),
        };
        self.answer(place, event, fault);
    }

    fn fault_at(&mut self, step: Step) -> Option<Fault> {
        let place = self.waiting.iter().position(|strike| strike.step == step)?;
        self.struck += 1;
        Some(self.waiting.remove(place).fault)
    }

    /// Lets the others go on until this process wakes.
    fn sleep(&mut self, place: usize) {
        let until = self.processes[place].asleep_until;
        while self.now() < until.min(END) {
            self.clock.advance(TICK);
            let now = self.now();
            if now >= self.store_up_at {
                self.store.set_down(false);
            }
            self.move_duty(now);
            self.settle_servers(now);
            self.turn_process(1 - place);
        }
    }

    fn perform(
        &mut self,
        place: usize,
        action: Action,
        began: Mono,
        fault: Option<Fault>,
    ) -> Option<Event> {
        let now = self.now();
        if self.processes[place].asleep_until > now {
            return None;
        }
        let cut = self.processes[place].cut_until > now;
        let to_store = !matches!(action, Action::Observe { .. } | Action::Send { .. });
        if to_store && self.slow_until > now {
            self.clock.advance(SLOW);
        }
        Some(match action {
            Action::CreateLease { ttl } => Event::LeaseCreated {
                began,
                result: if cut {
                    unavailable()
                } else {
                    self.grant(ttl, fault)
                },
            },
            Action::RenewLease { lease } => {
                let result = if cut {
                    unavailable()
                } else {
                    self.store.renew(&lease)
                };
                Event::LeaseRenewed {
                    lease,
                    began,
                    result,
                }
            }
            Action::RevokeLease { lease } => {
                if !cut {
                    // A lease that is not ended ends by itself.
                    let _ = self.store.revoke(&lease);
                }
                return None;
            }
            Action::Read { action_id, key } => Event::Read {
                action_id,
                result: if cut {
                    unavailable()
                } else {
                    self.store.get(&key)
                },
            },
            Action::List { action_id, prefix } => Event::Listed {
                action_id,
                result: if cut {
                    unavailable()
                } else {
                    self.store.list(&prefix)
                },
            },
            Action::Commit { action_id, ops } => Event::Committed {
                action_id,
                result: if cut {
                    unavailable()
                } else {
                    self.store.commit(&ops)
                },
            },
            Action::Observe { action_id, addr } => Event::Observed {
                action_id,
                result: self.observe(usize::from(addr.port()), fault),
            },
            Action::Send {
                action_id,
                addr,
                order,
                deadline,
            } => {
                let ignores = self.flaw == Some(OrderFlaw::IgnoresLease);
                let result = if self.now() < deadline || ignores {
                    self.send(place, usize::from(addr.port()), &order, fault)
                } else {
                    SendResult::NotSent
                };
                Event::Sent { action_id, result }
            }
        })
    }

    /// Hands an answer to the writer, unless a fault befalls it on its way.
    fn answer(&mut self, place: usize, event: Event, fault: Option<Fault>) {
        let now = self.now();
        let reply = matches!(event, Event::Sent { .. } | Event::Observed { .. });
        let process = &mut self.processes[place];
        let event = match (event, fault) {
            (Event::Sent { action_id, .. }, Some(Fault::Lost)) => Event::Sent {
                action_id,
                result: SendResult::Lost,
            },
            (event, _) => event,
        };
        match fault.filter(|_| reply) {
            Some(Fault::Doubled) => {
                process.writer.handle(event.clone(), now);
                process.writer.handle(event, now);
            }
            Some(Fault::Late) => process.late.push((now + LATE, event)),
            Some(Fault::Crossed) => process.late.push((now + CROSSED, event)),
            _ => process.writer.handle(event, now),
        }
    }
}

fn server_of(action: &Action) -> Option<usize> {
    match action {
        Action::Observe { addr, .. } | Action::Send { addr, .. } => Some(usize::from(addr.port())),
        _ => None,
    }
}
