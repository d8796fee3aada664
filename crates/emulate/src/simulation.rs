//! Discrete-time simulation of gateways, engines and callers.
//!
//! Every tick applies the disturbances of the pattern, advances the engines, publishes digests when
//! they are due, and places retried and new requests. All randomness comes from one seeded
//! generator.

mod arrivals;
mod digests;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::AttemptOutcome;
use primrose_fleet::Fleet;
use primrose_fleet::FleetConfig;
use primrose_fleet::Placement;
use primrose_fleet::PlacementRequest;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;

use crate::deployment::host_ip;
use crate::deployment::server_entry;
use crate::deployment::server_number;
use crate::deployment::tables;
use crate::deployment::zone_name;
use crate::engine::AttemptId;
use crate::engine::Engine;
use crate::engine::EngineConfig;
use crate::engine::EngineEvent;
use crate::pattern::Disturbance;
use crate::pattern::Pattern;
use crate::policy::Policy;
use crate::policy::PolicyDecision;
use crate::score::RequestLabels;
use crate::score::RequestOutcome;
use crate::score::Score;

/// Step of simulated time.
const TICK: Duration = Duration::from_millis(2);
/// Start of the simulation.
const FIRST_DIGESTS: Mono = Duration::from_secs(1);
/// One-way network delay between gateway and server.
const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// Delay after which an impatient caller retries.
const IMMEDIATE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// A refused caller retries only if the delay is at most the time left to its deadline, divided by
/// this.
const MAX_WAIT_DIVISOR: u32 = 3;

/// A request with what the caller and the score need to know about it.
struct Caller {
    labels: RequestLabels,
    worth: f64,
    output_tokens: u64,
    request: PlacementRequest,
    /// Time of the first attempt; a gateway knows only that of the latest.
    arrived: Mono,
    objective: Duration,
    first_token: Option<Mono>,
    retries_left: u32,
    impatient: bool,
}

/// An attempt that was sent to a server and has not ended.
struct InFlight {
    caller: Caller,
    gateway: usize,
    server: usize,
    placement: Placement,
}

/// A simulated deployment.
pub struct Simulation {
    pattern: Pattern,
    policy: Policy,
    rng: StdRng,
    gateways: Vec<Fleet>,
    engines: Vec<Engine>,
    down: Vec<bool>,
    in_flight: HashMap<AttemptId, InFlight>,
    pending_retries: BTreeMap<(Mono, u64), Caller>,
    /// Time of each gateway's next digests.
    next_digests: Vec<Mono>,
    partitioned: bool,
    next_id: AttemptId,
    score: Score,
}

/// Simulates a pattern of load; the same seed gives the same score.
pub fn simulate(pattern: &Pattern, policy: Policy, seed: u64) -> Score {
    let mut simulation = Simulation::new(pattern.clone(), policy, seed);
    let mut now = FIRST_DIGESTS;
    let begin = now + pattern.lead;
    let end = begin + pattern.duration;
    // Lets the requests that arrived last complete.
    let drained = end + Duration::from_secs(8);
    while now < drained {
        simulation.tick(now, begin <= now && now < end);
        now += TICK;
    }
    simulation.into_score()
}

impl Simulation {
    fn new(pattern: Pattern, policy: Policy, seed: u64) -> Self {
        let tables = tables(&pattern);
        let mut gateways = Vec::new();
        for number in 0..pattern.gateways {
            let mut fleet = Fleet::new(FleetConfig {
                incarnation: number as u64 + 1,
                zone: zone_name(number % pattern.zones),
                ip: host_ip(0, number),
                capacity: 250,
                retry_permille: 200,
                retry_slack: 56,
                cold_bound: None,
                place_by_cost: false,
            });
            fleet.adopt_tables(tables.clone());
            for other in 0..pattern.gateways {
                fleet.add_contact(host_ip(0, other), FIRST_DIGESTS);
            }
            for server in 0..pattern.servers {
                fleet.upsert_server(server_entry(&pattern, server), TICK);
            }
            gateways.push(fleet);
        }
        let engine = |_| Engine::new(EngineConfig::default());
        Self {
            policy,
            rng: StdRng::seed_from_u64(seed),
            gateways,
            engines: (0..pattern.servers).map(engine).collect(),
            down: vec![false; pattern.servers],
            in_flight: HashMap::new(),
            pending_retries: BTreeMap::new(),
            next_digests: vec![FIRST_DIGESTS; pattern.gateways],
            partitioned: false,
            next_id: 0,
            score: Score::default(),
            pattern,
        }
    }

    fn tick(&mut self, now: Mono, accept_arrivals: bool) {
        self.apply_disturbances(now);
        self.run_engines(now);
        self.publish_digests(now);
        while let Some(entry) = self.pending_retries.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let mut caller = entry.remove();
            caller.request.arrived = now;
            self.arrive(caller, now);
        }
        if accept_arrivals {
            self.draw_arrivals(now);
        }
    }

    fn apply_disturbances(&mut self, now: Mono) {
        let active: Vec<Disturbance> = self.pattern.disturbances_at(now).collect();
        self.partitioned = active
            .iter()
            .any(|disturbance| matches!(disturbance, Disturbance::ZonePartition));
        let mut down = 0;
        let mut slow = (0, 1.0);
        for disturbance in &active {
            match disturbance {
                Disturbance::ServerCrash { servers } => down = *servers,
                Disturbance::SlowServers { servers, factor } => slow = (*servers, *factor),
                _ => {}
            }
        }
        for server in 0..self.pattern.servers {
            let slowness = if server < slow.0 { slow.1 } else { 1.0 };
            self.engines[server].set_slowness(slowness);
            let was_down = std::mem::replace(&mut self.down[server], server < down);
            if self.down[server] && !was_down {
                self.crash(server, now);
            }
        }
    }

    fn crash(&mut self, server: usize, now: Mono) {
        for id in self.engines[server].crash() {
            if let Some(in_flight) = self.in_flight.remove(&id) {
                self.retry_elsewhere(in_flight, AttemptOutcome::Broken, now);
            }
        }
    }

    /// Ends a failed attempt and sends the request to another server if its retry is allowed.
    fn retry_elsewhere(&mut self, in_flight: InFlight, outcome: AttemptOutcome, now: Mono) {
        let fleet = &mut self.gateways[in_flight.gateway];
        fleet.finish_attempt(
            &in_flight.caller.request,
            &in_flight.placement,
            outcome,
            now,
        );
        let mut caller = in_flight.caller;
        caller.request.tried.push(in_flight.placement.server);
        let allowed = outcome == AttemptOutcome::Unreachable || fleet.try_retry(&caller.request);
        if !allowed || caller.request.tried.len() > 4 {
            self.record_outcome(&caller, RequestOutcome::Failed);
            return;
        }
        self.send(caller, in_flight.gateway, now);
    }

    fn run_engines(&mut self, now: Mono) {
        for server in 0..self.engines.len() {
            for (at, event) in self.engines[server].advance(now) {
                self.handle_event(event, at + NETWORK_DELAY);
            }
        }
    }

    fn handle_event(&mut self, event: EngineEvent, at: Mono) {
        match event {
            EngineEvent::FirstToken(id) => {
                if let Some(in_flight) = self.in_flight.get_mut(&id) {
                    in_flight.caller.first_token.get_or_insert(at);
                    let fleet = &mut self.gateways[in_flight.gateway];
                    let request = &in_flight.caller.request;
                    fleet.record_events(request, &mut in_flight.placement, at);
                }
            }
            EngineEvent::LastToken(id) => {
                let Some(in_flight) = self.in_flight.remove(&id) else {
                    return;
                };
                let fleet = &mut self.gateways[in_flight.gateway];
                fleet.finish_attempt(
                    &in_flight.caller.request,
                    &in_flight.placement,
                    AttemptOutcome::Good,
                    at,
                );
                let caller = &in_flight.caller;
                let first_token = caller.first_token.unwrap_or(at);
                let time_to_first_token = first_token.saturating_sub(caller.arrived);
                let outcome = if time_to_first_token <= caller.objective {
                    RequestOutcome::InTime
                } else {
                    let arrived = caller.arrived.as_secs();
                    self.score
                        .tokens_mut(arrived, caller.labels.account)
                        .degraded = true;
                    RequestOutcome::Late
                };
                self.record_outcome(caller, outcome);
            }
        }
    }

    /// Sends a request through the gateway of its account, or a random one of the zone in which it
    /// arrived.
    fn arrive(&mut self, caller: Caller, now: Mono) {
        let account = caller.labels.account;
        let gateway = if self.pattern.single_gateway.contains(&account) {
            account % self.pattern.gateways
        } else {
            self.draw_gateway(caller.labels.zone)
        };
        self.send(caller, gateway, now);
    }

    fn draw_gateway(&mut self, zone: usize) -> usize {
        let gateways_in_zone = self
            .pattern
            .gateways
            .saturating_sub(zone)
            .div_ceil(self.pattern.zones);
        zone + self.rng.random_range(0..gateways_in_zone) * self.pattern.zones
    }

    /// Sends a request to the server that the gateway picks, or to the next one while servers are
    /// unreachable.
    fn send(&mut self, mut caller: Caller, gateway: usize, now: Mono) {
        loop {
            let fleet = &mut self.gateways[gateway];
            match self.policy.decide(fleet, &caller.request, now) {
                PolicyDecision::Refuse(after) => return self.refuse(caller, after, now),
                PolicyDecision::Send(placement) => {
                    let server = server_number(&placement.server);
                    let separated =
                        self.partitioned && self.zone_of(gateway) != self.zone_of(server);
                    if self.down[server] || separated {
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
                        let tokens = self.score.tokens_mut(now.as_secs(), caller.labels.account);
                        tokens.received += prompt.service();
                    }
                    let id = self.next_id;
                    self.next_id += 1;
                    self.engines[server].submit(
                        id,
                        prompt,
                        caller.output_tokens,
                        now + NETWORK_DELAY,
                    );
                    let in_flight = InFlight {
                        caller,
                        gateway,
                        server,
                        placement: *placement,
                    };
                    self.in_flight.insert(id, in_flight);
                    return;
                }
            }
        }
    }

    /// Schedules the retry of a refused request, or records the refusal if the caller gives up.
    fn refuse(&mut self, mut caller: Caller, after: Duration, now: Mono) {
        let tokens = self.score.tokens_mut(now.as_secs(), caller.labels.account);
        tokens.degraded = true;
        let left = caller.request.deadline.saturating_sub(now);
        let after = if caller.impatient {
            IMMEDIATE_RETRY_DELAY
        } else {
            after
        };
        if caller.retries_left == 0 || after > left / MAX_WAIT_DIVISOR {
            self.record_outcome(&caller, RequestOutcome::Refused);
            return;
        }
        caller.retries_left -= 1;
        caller.request.tried.clear();
        let key = self.next_id;
        self.next_id += 1;
        self.pending_retries.insert((now + after, key), caller);
    }

    fn record_outcome(&mut self, caller: &Caller, outcome: RequestOutcome) {
        self.score.add(caller.labels, outcome, caller.worth);
    }

    fn zone_of(&self, number: usize) -> usize {
        number % self.pattern.zones
    }

    fn into_score(mut self) -> Score {
        let unfinished: Vec<InFlight> = self
            .in_flight
            .drain()
            .map(|(_, in_flight)| in_flight)
            .collect();
        for in_flight in unfinished {
            debug_assert!(in_flight.server < self.engines.len());
            self.record_outcome(&in_flight.caller, RequestOutcome::Failed);
        }
        for engine in &self.engines {
            self.score.prefill_tokens += engine.counts.prefill_tokens;
            self.score.cached_tokens += engine.counts.cached_tokens;
            self.score.preemptions += engine.counts.preemptions;
        }
        self.score
    }
}
