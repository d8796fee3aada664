//! Changes of the two tables: operators, the key-value service, and three routers.
//!
//! The operators' real program logic runs against a store that records what it accepted; each
//! router decides by the real state machine of documents in force. Two routers read the service,
//! the third learns from peers alone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_core::id::Generation;
use primrose_core::table::Table;
use primrose_support::clock::FakeClock;
use primrose_table::activation::Action;
use primrose_table::activation::ActiveDocument;
use primrose_table::activation::Event;
use primrose_table::activation::RawDocument;
use primrose_table::header::Header;

use crate::operator::Operators;
use crate::scenario::Found;
use crate::sim::fault::Fault;
use crate::sim::fault::Strike;
use crate::sim::ms;
use crate::steps::Step;

const ROUTERS: usize = 3;
/// Routers that read the service.
const WATCHERS: usize = 2;
/// How often the service is read, and peers are told what is in force.
const ROUND: Duration = ms(1_000);
const LONG: Duration = ms(6_000);
const LATE: Duration = ms(4_000);
/// Longer than a round, so that the next message overtakes.
const CROSSED: Duration = ms(1_500);
/// When the operators change the tables.
const EDITS: [Mono; 2] = [ms(3_000), ms(12_000)];
const END: Mono = ms(30_000);

/// A rule broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TableFlaw {
    /// Routers take whatever they hear last.
    TakesAnything,
    /// The operator's write does not look at what is there.
    Overwrites,
    /// The operator is told that a change took effect whatever came of it.
    GuessesApplied,
}

#[derive(Debug, Clone)]
enum Message {
    Round(usize),
    Shown {
        asked: Generation,
        value: Option<RawDocument>,
    },
    Header(Header),
    Fetch,
    Document(RawDocument),
    Edit(usize),
    Start,
    Wake,
}

/// A message for a router, from another or from the service.
#[derive(Debug, Clone)]
struct Item {
    from: usize,
    to: usize,
    message: Message,
}

struct Router {
    force: ActiveDocument<Table>,
    /// What a flawed router has taken.
    taken: Option<RawDocument>,
    up: bool,
    paused: bool,
    backlog: Vec<Item>,
    /// Generations in force, one list for each run of the process.
    history: Vec<Vec<Generation>>,
}

struct World {
    clock: Arc<FakeClock>,
    operators: Operators,
    routers: Vec<Router>,
    queue: BTreeMap<(Mono, u64), Item>,
    queued: u64,
    cut_until: [Mono; ROUTERS],
    platform_cut: [Mono; ROUTERS],
    slow_until: Mono,
    drop_document: bool,
    waiting: Vec<Strike>,
    struck: usize,
    flaw: Option<TableFlaw>,
}

/// Runs two edits under faults and judges the result.
pub(crate) fn run(strikes: &[Strike], flaw: Option<TableFlaw>) -> Found {
    let clock = Arc::new(FakeClock::new());
    let operators = Operators::new(Arc::clone(&clock), strikes, flaw);
    let router = || Router {
        force: ActiveDocument::new("tables"),
        taken: None,
        up: true,
        paused: false,
        backlog: Vec::new(),
        history: vec![Vec::new()],
    };
    let mut world = World {
        clock,
        operators,
        routers: (0..ROUTERS).map(|_| router()).collect(),
        queue: BTreeMap::new(),
        queued: 0,
        cut_until: [Mono::ZERO; ROUTERS],
        platform_cut: [Mono::ZERO; ROUTERS],
        slow_until: Mono::ZERO,
        drop_document: false,
        waiting: strikes.to_vec(),
        struck: 0,
        flaw,
    };
    for no in 0..ROUTERS {
        let stagger = ms(100) * u32::try_from(no).unwrap_or(0);
        world.later(stagger, no, no, Message::Round(no));
    }
    for (edit, at) in EDITS.into_iter().enumerate() {
        let wait = at.saturating_sub(world.clock.now());
        world.later(wait, 0, 0, Message::Edit(edit));
    }
    world.run();
    world.judge()
}

impl World {
    fn later(&mut self, delay: Duration, from: usize, to: usize, message: Message) {
        self.queued += 1;
        let at = self.clock.now() + delay;
        let item = Item { from, to, message };
        self.queue.insert((at, self.queued), item);
    }

    fn run(&mut self) {
        while let Some(((at, _), item)) = self.queue.pop_first() {
            if at > END {
                return;
            }
            let step = at.saturating_sub(self.clock.now());
            self.clock.advance(step);
            for item in self.strike(item) {
                self.deliver(item);
            }
        }
    }

    fn step_of(&self, item: &Item) -> Option<Step> {
        let begun = self.clock.now() >= EDITS[0];
        match &item.message {
            Message::Shown { .. } if begun => Some(Step::TableWatch),
            Message::Header(header) if item.to == 2 && header.generation > 1 => {
                Some(Step::TableHeader)
            }
            Message::Fetch if begun => Some(Step::TableFetch),
            Message::Document(_) if begun => Some(Step::TableDocument),
            _ => None,
        }
    }

    fn strike(&mut self, item: Item) -> Vec<Item> {
        let step = self.step_of(&item);
        let place = self
            .waiting
            .iter()
            .position(|strike| Some(strike.step) == step);
        let Some(place) = place else {
            return vec![item];
        };
        let fault = self.waiting.remove(place).fault;
        self.struck += 1;
        let left = self.apply(fault, item);
        left.into_iter()
            .flat_map(|item| self.strike(item))
            .collect()
    }

    fn apply(&mut self, fault: Fault, item: Item) -> Vec<Item> {
        let now = self.clock.now();
        let no = item.to;
        let read = matches!(item.message, Message::Shown { .. });
        match fault {
            Fault::Lost => return Vec::new(),
            Fault::StoreReplyLost if read => return Vec::new(),
            Fault::ReplyLost => self.drop_document = true,
            Fault::Doubled => return vec![item.clone(), item],
            Fault::Late | Fault::Crossed => {
                let delay = if fault == Fault::Late { LATE } else { CROSSED };
                self.later(delay, item.from, item.to, item.message);
                return Vec::new();
            }
            Fault::RouterCrash => self.crash(no, LONG),
            Fault::RouterEmpty => self.crash(no, ms(10)),
            Fault::RouterPause => {
                self.routers[no].paused = true;
                self.later(LONG, no, no, Message::Wake);
            }
            Fault::CutRouters => self.cut_until[no] = now + LONG,
            Fault::CutPlatform => self.platform_cut[no] = now + LONG,
            Fault::CutZone => {
                self.cut_until[no] = now + LONG;
                self.platform_cut[no] = now + LONG;
            }
            Fault::StoreDown => self.operators.take_down(LONG),
            Fault::StoreSlow => self.slow_until = now + LONG,
            _ => {}
        }
        vec![item]
    }

    fn crash(&mut self, no: usize, away: Duration) {
        self.routers[no].up = false;
        self.later(away, no, no, Message::Start);
    }

    fn deliver(&mut self, item: Item) {
        let Item { from, to, .. } = item;
        if matches!(
            item.message,
            Message::Start | Message::Wake | Message::Edit(_)
        ) {
            return self.take(item);
        }
        let now = self.clock.now();
        let cut = from != to && (self.cut_until[from] > now || self.cut_until[to] > now);
        if let Message::Round(no) = item.message {
            self.later(ROUND, no, no, Message::Round(no));
        }
        if !self.routers[to].up || cut {
            return;
        }
        if self.routers[to].paused {
            self.routers[to].backlog.push(item);
            return;
        }
        self.take(item);
    }

    fn take(&mut self, item: Item) {
        let Item { from, to, message } = item;
        match message {
            Message::Round(no) => self.round(no),
            Message::Shown { asked, value } => {
                if let Some(value) = &value {
                    self.routers[to].taken = Some(value.clone());
                }
                self.decide(
                    to,
                    Event::Store {
                        generation_at_read: asked,
                        value,
                    },
                );
            }
            Message::Header(header) => {
                let host = from.to_string();
                self.decide(to, Event::Peer { host, header });
            }
            Message::Fetch => self.hand_over(to, from),
            Message::Document(value) => {
                self.routers[to].taken = Some(value.clone());
                let host = from.to_string();
                self.decide(to, Event::Fetched { host, value });
            }
            Message::Edit(edit) => {
                self.operators.edit(edit);
            }
            Message::Start => {
                let router = &mut self.routers[to];
                router.force = ActiveDocument::new("tables");
                router.taken = None;
                router.up = true;
                router.history.push(Vec::new());
            }
            Message::Wake => {
                self.routers[to].paused = false;
                for item in std::mem::take(&mut self.routers[to].backlog) {
                    self.take(item);
                }
            }
        }
    }

    /// Reads the service, if the router is one of those that do, and tells peers what is in force.
    fn round(&mut self, no: usize) {
        let now = self.clock.now();
        self.operators.look();
        if no < WATCHERS && self.platform_cut[no] <= now {
            let asked = self.routers[no].force.generation();
            if let Ok(entry) = self.operators.shown() {
                let slow = self.slow_until > now;
                let delay = if slow { ms(3_000) } else { ms(2) };
                let value = entry.map(|entry| entry.value);
                self.later(delay, no, no, Message::Shown { asked, value });
            }
        }
        let Some(current) = self.routers[no].force.current() else {
            return;
        };
        let header = current.header;
        for other in (0..ROUTERS).filter(|other| *other != no) {
            self.later(ms(1), no, other, Message::Header(header));
        }
    }

    fn hand_over(&mut self, no: usize, to: usize) {
        if std::mem::take(&mut self.drop_document) {
            return;
        }
        if let Some(current) = self.routers[no].force.current() {
            let text = current.text.clone().into_bytes();
            self.later(ms(1), no, to, Message::Document(text));
        }
    }

    fn decide(&mut self, no: usize, event: Event) {
        let now = self.clock.now();
        if self.flaw == Some(TableFlaw::TakesAnything) {
            // The flawed router forgets what it has in force before it looks at the next one.
            if self.routers[no].taken.take().is_some() {
                self.routers[no].force = ActiveDocument::new("tables");
            }
        }
        for action in self.routers[no].force.decide(event, now) {
            match action {
                Action::Activate(accepted) => {
                    let run = self.routers[no].history.last_mut();
                    let run = run.expect("every router has a run");
                    run.push(accepted.header.generation);
                }
                Action::Fetch(host) => {
                    let other = host.parse().expect("hosts are numbered");
                    self.later(ms(1), no, other, Message::Fetch);
                }
                Action::Report(_) => {}
            }
        }
    }

    fn judge(self) -> Found {
        let mut out = self.operators.violations();
        let newest = self.operators.newest();
        for (no, router) in self.routers.iter().enumerate() {
            for run in &router.history {
                if run.windows(2).any(|pair| pair[0] > pair[1]) {
                    out.push(format!("router {no} went back: {run:?}"));
                }
            }
            if router.force.generation() != newest {
                let generation = router.force.generation();
                out.push(format!("router {no} has {generation}, not {newest}"));
            }
            let text = router.force.current().map(|current| current.text.as_str());
            if text.is_some_and(|text| !self.operators.accepted(text)) {
                out.push(format!(
                    "router {no} has a document that was never accepted"
                ));
            }
        }
        Found {
            violations: out,
            struck: self.struck + self.operators.struck(),
        }
    }
}
