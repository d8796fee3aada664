//! Gateways, engines and callers in one loop of simulated time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::place::Prompt;
use primrose_fleet::AttemptOutcome;
use primrose_fleet::Fleet;
use primrose_fleet::FleetConfig;
use primrose_fleet::Placement;
use primrose_fleet::PlacementRequest;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;

use crate::deployment::entry;
use crate::deployment::ip;
use crate::deployment::number;
use crate::deployment::placement_request;
use crate::deployment::tables;
use crate::deployment::zone;
use crate::engine::Engine;
use crate::engine::EngineConfig;
use crate::engine::Made;
use crate::engine::RunId;
use crate::pattern::Pattern;
use crate::pattern::Trouble;
use crate::policy::Policy;
use crate::policy::Verdict;
use crate::score::End;
use crate::score::Group;
use crate::score::Score;

/// Step of the simulation.
const TICK: Duration = Duration::from_millis(2);
/// Time between two digests of a gateway.
const DIGEST_PAUSE: Duration = Duration::from_millis(100);
/// Time that a request takes to a server, and an answer back.
const HOP: Duration = Duration::from_millis(2);
/// Shortest time in which a caller repeats who does not come back as told.
const AT_ONCE: Duration = Duration::from_millis(10);
/// Part of the time left that a caller is willing to stay away.
const PATIENCE: u32 = 3;

struct Caller {
    group: Group,
    worth: f64,
    output: u64,
    request: PlacementRequest,
    objective: Duration,
    first: Option<Mono>,
    returns: u32,
    impatient: bool,
}

struct Sent {
    caller: Caller,
    gateway: usize,
    server: usize,
    placement: Placement,
}

/// A simulated deployment.
pub struct World {
    pattern: Pattern,
    policy: Policy,
    rng: StdRng,
    gateways: Vec<Fleet>,
    engines: Vec<Engine>,
    gone: Vec<bool>,
    sent: HashMap<RunId, Sent>,
    returning: BTreeMap<(Mono, u64), Caller>,
    cut: bool,
    next: RunId,
    score: Score,
}

/// Plays a pattern; the same seed gives the same score.
pub fn play(pattern: &Pattern, policy: Policy, seed: u64) -> Score {
    let mut world = World::new(pattern.clone(), policy, seed);
    let mut now = Duration::from_secs(1);
    let end = now + pattern.length;
    // Callers that arrived last still get their answers.
    let settled = end + Duration::from_secs(8);
    while now < settled {
        world.tick(now, now < end);
        now += TICK;
    }
    world.finish()
}

impl World {
    fn new(pattern: Pattern, policy: Policy, seed: u64) -> Self {
        let tables = tables(&pattern);
        let mut gateways = Vec::new();
        for number in 0..pattern.gateways {
            let mut fleet = Fleet::new(FleetConfig {
                incarnation: number as u64 + 1,
                zone: zone(number % pattern.zones),
                ip: ip(0, number),
                retry_permille: 200,
                retry_slack: 56,
            });
            fleet.adopt_tables(tables.clone());
            for server in 0..pattern.servers {
                fleet.upsert_server(entry(&pattern, server), TICK);
            }
            gateways.push(fleet);
        }
        let engine = |_| Engine::new(EngineConfig::default());
        Self {
            policy,
            rng: StdRng::seed_from_u64(seed),
            gateways,
            engines: (0..pattern.servers).map(engine).collect(),
            gone: vec![false; pattern.servers],
            sent: HashMap::new(),
            returning: BTreeMap::new(),
            cut: false,
            next: 0,
            score: Score::default(),
            pattern,
        }
    }

    fn tick(&mut self, now: Mono, open: bool) {
        self.trouble(now);
        self.run_engines(now);
        if now.as_nanos() % DIGEST_PAUSE.as_nanos() == 0 {
            self.tell(now);
        }
        while let Some(entry) = self.returning.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let caller = entry.remove();
            self.arrive(caller, now);
        }
        if open {
            self.draw_arrivals(now);
        }
    }

    fn trouble(&mut self, now: Mono) {
        let active: Vec<Trouble> = self.pattern.at(now).collect();
        self.cut = active
            .iter()
            .any(|trouble| matches!(trouble, Trouble::ZoneCut));
        let mut gone = 0;
        let mut slow = (0, 1.0);
        for trouble in &active {
            match trouble {
                Trouble::Crash { servers } => gone = *servers,
                Trouble::Slow { servers, times } => slow = (*servers, *times),
                _ => {}
            }
        }
        for server in 0..self.pattern.servers {
            let factor = if server < slow.0 { slow.1 } else { 1.0 };
            self.engines[server].set_slowness(factor);
            let was = std::mem::replace(&mut self.gone[server], server < gone);
            if self.gone[server] && !was {
                self.crash(server, now);
            }
        }
    }

    fn crash(&mut self, server: usize, now: Mono) {
        for run in self.engines[server].crash() {
            if let Some(sent) = self.sent.remove(&run) {
                self.end_attempt(sent, AttemptOutcome::Broken, now);
            }
        }
    }

    /// Sends a request that failed to another server, if it may, or ends it.
    fn end_attempt(&mut self, sent: Sent, ended: AttemptOutcome, now: Mono) {
        let fleet = &mut self.gateways[sent.gateway];
        fleet.finish_attempt(&sent.caller.request, &sent.placement, ended, now);
        let mut caller = sent.caller;
        caller.request.tried.push(sent.placement.server);
        let allowed = ended == AttemptOutcome::Unreachable || fleet.try_retry(&caller.request);
        if !allowed || caller.request.tried.len() > 4 {
            self.settle(&caller, End::Failed);
            return;
        }
        self.send(caller, sent.gateway, now);
    }

    fn run_engines(&mut self, now: Mono) {
        for server in 0..self.engines.len() {
            for (at, made) in self.engines[server].advance(now) {
                self.made(made, at + HOP);
            }
        }
    }

    fn made(&mut self, made: Made, at: Mono) {
        match made {
            Made::First(run) => {
                if let Some(sent) = self.sent.get_mut(&run) {
                    sent.caller.first.get_or_insert(at);
                    let fleet = &mut self.gateways[sent.gateway];
                    fleet.record_first_event(&mut sent.placement, at);
                }
            }
            Made::Last(run) => {
                let Some(sent) = self.sent.remove(&run) else {
                    return;
                };
                let fleet = &mut self.gateways[sent.gateway];
                fleet.finish_attempt(
                    &sent.caller.request,
                    &sent.placement,
                    AttemptOutcome::Good,
                    at,
                );
                let caller = &sent.caller;
                let first = caller.first.unwrap_or(at);
                let took = first.saturating_sub(caller.request.arrived);
                let end = if took <= caller.objective {
                    End::InTime
                } else {
                    let arrived = caller.request.arrived.as_secs();
                    self.score.tokens_of(arrived, caller.group.account).hurt = true;
                    End::Late
                };
                self.settle(caller, end);
            }
        }
    }

    fn tell(&mut self, now: Mono) {
        for from in 0..self.gateways.len() {
            self.gateways[from].expire(now);
            let digest = self.gateways[from].digest(now);
            for to in 0..self.gateways.len() {
                let apart = self.cut && self.zone_of(from) != self.zone_of(to);
                if from != to && !apart {
                    self.gateways[to].merge(digest.clone(), ip(0, from), now);
                }
            }
        }
    }

    fn draw_arrivals(&mut self, now: Mono) {
        for class in 0..self.pattern.classes.len() {
            let mut rate = self.pattern.classes[class].rate * self.pattern.load;
            for trouble in self.pattern.at(now) {
                match trouble {
                    Trouble::Burst {
                        class: which,
                        times,
                    } if which == class => rate *= times,
                    _ => {}
                }
            }
            for account in 0..self.pattern.accounts {
                let rate = rate * self.account_share(account, now);
                if self.rng.random_bool((rate * TICK.as_secs_f64()).min(1.0)) {
                    let caller = self.draw(class, account, now);
                    let asked = caller.request.prompt.map_or(0, |prompt| prompt.service());
                    self.score.largest = self.score.largest.max(asked);
                    self.score.tokens_of(now.as_secs(), account).asked += asked;
                    self.arrive(caller, now);
                }
            }
        }
    }

    fn account_share(&self, account: usize, now: Mono) -> f64 {
        let weight = |account: usize| (account as f64 + 1.0).powf(-self.pattern.skew);
        let total: f64 = (0..self.pattern.accounts).map(weight).sum();
        let mut share = weight(account) / total;
        for trouble in self.pattern.at(now) {
            match trouble {
                Trouble::Account {
                    account: which,
                    times,
                } if which == account => share *= times,
                _ => {}
            }
        }
        share
    }

    fn draw(&mut self, class: usize, account: usize, now: Mono) -> Caller {
        let kind = self.pattern.classes[class];
        let mut part = self.rng.random_range(0..kind.parts);
        let mut impatient = false;
        let mut repeats = 1;
        let troubles: Vec<Trouble> = self.pattern.at(now).collect();
        for trouble in troubles {
            match trouble {
                Trouble::HotPart {
                    class: which,
                    share,
                } if which == class && self.rng.random_bool(share) => part = 0,
                Trouble::Impatience {
                    share,
                    repeats: most,
                } => {
                    impatient = self.rng.random_bool(share);
                    if impatient {
                        repeats = most;
                    }
                }
                _ => {}
            }
        }
        // Sizes spread by a factor of two to both sides.
        let size = 2.0_f64.powf(self.rng.random_range(-1.0..1.0));
        let scaled = |mean: u64| (mean as f64 * size) as u64;
        let prompt = Prompt {
            shared: (class as u64) << 32 | part,
            shared_tokens: kind.shared,
            own_tokens: scaled(kind.own),
            output_tokens: scaled(kind.output) * 2,
        };
        let worth = kind.worth * (0.3 + 0.7 * size);
        Caller {
            group: Group {
                account,
                class,
                zone: self.rng.random_range(0..self.pattern.zones),
                second: now.as_secs(),
            },
            worth,
            output: scaled(kind.output),
            request: placement_request(&kind, account, prompt, self.rng.random(), now),
            objective: kind.objective,
            first: None,
            returns: repeats,
            impatient,
        }
    }

    fn arrive(&mut self, caller: Caller, now: Mono) {
        let zone = caller.group.zone;
        let in_zone = self
            .pattern
            .gateways
            .saturating_sub(zone)
            .div_ceil(self.pattern.zones);
        let gateway = zone + self.rng.random_range(0..in_zone) * self.pattern.zones;
        self.send(caller, gateway, now);
    }

    fn send(&mut self, mut caller: Caller, gateway: usize, now: Mono) {
        loop {
            let fleet = &mut self.gateways[gateway];
            match self.policy.decide(fleet, &caller.request, now) {
                Verdict::Refuse(after) => return self.refuse(caller, after, now),
                Verdict::Send(placement) => {
                    let server = number(&placement.server);
                    let apart = self.cut && self.zone_of(gateway) != self.zone_of(server);
                    if self.gone[server] || apart {
                        let fleet = &mut self.gateways[gateway];
                        fleet.finish_attempt(
                            &caller.request,
                            &placement,
                            AttemptOutcome::Unreachable,
                            now,
                        );
                        caller.request.tried.push(placement.server);
                        continue;
                    }
                    let prompt = caller.request.prompt.unwrap_or_default();
                    if caller.request.tried.is_empty() {
                        let tokens = self.score.tokens_of(now.as_secs(), caller.group.account);
                        tokens.got += prompt.service();
                    }
                    let id = self.next;
                    self.next += 1;
                    self.engines[server].submit(id, prompt, caller.output, now + HOP);
                    let sent = Sent {
                        caller,
                        gateway,
                        server,
                        placement: *placement,
                    };
                    self.sent.insert(id, sent);
                    return;
                }
            }
        }
    }

    fn refuse(&mut self, mut caller: Caller, after: Duration, now: Mono) {
        let tokens = self.score.tokens_of(now.as_secs(), caller.group.account);
        tokens.hurt = true;
        let left = caller.request.deadline.saturating_sub(now);
        let after = if caller.impatient { AT_ONCE } else { after };
        if caller.returns == 0 || after > left / PATIENCE {
            self.settle(&caller, End::Refused);
            return;
        }
        caller.returns -= 1;
        caller.request.tried.clear();
        let key = self.next;
        self.next += 1;
        self.returning.insert((now + after, key), caller);
    }

    fn settle(&mut self, caller: &Caller, end: End) {
        self.score.add(caller.group, end, caller.worth);
    }

    fn zone_of(&self, number: usize) -> usize {
        number % self.pattern.zones
    }

    fn finish(mut self) -> Score {
        let unfinished: Vec<Sent> = self.sent.drain().map(|(_, sent)| sent).collect();
        for sent in unfinished {
            debug_assert!(sent.server < self.engines.len());
            self.settle(&sent.caller, End::Failed);
        }
        for engine in &self.engines {
            self.score.read += engine.counts.read;
            self.score.found += engine.counts.found;
            self.score.preempted += engine.counts.preempted;
        }
        self.score
    }
}
