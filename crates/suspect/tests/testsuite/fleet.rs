//! Several dispatchers and one poison request that its caller keeps retrying, with messages between
//! the dispatchers that are delayed, duplicated or lost.

use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::RequestId;
use primrose_suspect::FingerprintStatus;
use primrose_suspect::Message;
use primrose_suspect::Register;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use crate::death;
use crate::in_flight;
use crate::register;
use crate::NOW;

const DISPATCHERS: usize = 3;
const SERVERS: usize = 4;
const POISON: Fingerprint = 666;
const INNOCENT_REQUESTS: u64 = 5;
const SEED: u64 = 0x5eed_0004;
const TESTS: u64 = 10_000;
const STEPS: usize = 80;

#[derive(Debug, Clone, Copy)]
struct Step {
    kind: u8,
    dispatcher: usize,
    selector: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            kind: u8::arbitrary(g) % 16,
            dispatcher: usize::arbitrary(g) % DISPATCHERS,
            selector: u8::arbitrary(g),
        }
    }
}

#[derive(Debug, Clone)]
struct Attempt {
    fingerprint: Fingerprint,
    request: RequestId,
    server: usize,
    isolated: bool,
    started: u64,
}

/// A dispatcher with its servers.
#[derive(Default)]
struct Dispatcher {
    register: Register,
    running: Vec<Attempt>,
    lost: usize,
}

impl Dispatcher {
    fn attempts_on(&self, server: usize) -> impl Iterator<Item = &Attempt> {
        self.running
            .iter()
            .filter(move |attempt| attempt.server == server)
    }
}

struct Fleet {
    dispatchers: Vec<Dispatcher>,
    /// Messages in transit, each to one dispatcher; kept after delivery, so that duplicates occur.
    in_transit: Vec<(usize, Message)>,
    now: u64,
    last_request: RequestId,
    /// Whether every message is delivered before anything else happens.
    instant_delivery: bool,
    violations: Vec<String>,
}

impl Fleet {
    fn new(instant_delivery: bool) -> Self {
        let dispatcher = || Dispatcher {
            register: register(),
            ..Dispatcher::default()
        };
        Self {
            dispatchers: (0..DISPATCHERS).map(|_| dispatcher()).collect(),
            in_transit: Vec::new(),
            now: NOW,
            last_request: 0,
            instant_delivery,
            violations: Vec::new(),
        }
    }

    fn broadcast(&mut self, from: usize, message: Message) {
        for index in (0..DISPATCHERS).filter(|index| *index != from) {
            if self.instant_delivery {
                self.dispatchers[index].register.merge(&message, self.now);
            } else {
                self.in_transit.push((index, message.clone()));
            }
        }
    }

    fn deliver(&mut self, selector: usize) {
        if self.in_transit.is_empty() {
            return;
        }
        let (index, message) = self.in_transit[selector % self.in_transit.len()].clone();
        self.dispatchers[index].register.merge(&message, self.now);
    }

    /// Applies the dispatcher's rule: refuse, run alone on an idle server, or run beside others.
    fn submit(&mut self, index: usize, fingerprint: Fingerprint, selector: u8) {
        let now = self.now;
        let dispatcher = &mut self.dispatchers[index];
        let isolated = match dispatcher.register.status(fingerprint, now) {
            FingerprintStatus::Refused { .. } => return,
            FingerprintStatus::Suspect => true,
            FingerprintStatus::Clear => false,
        };
        if isolated && dispatcher.running.iter().any(|attempt| attempt.isolated) {
            return;
        }
        let idle = |server: &usize| {
            let mut attempts = dispatcher.attempts_on(*server);
            if isolated {
                attempts.next().is_none()
            } else {
                !attempts.any(|attempt| attempt.isolated)
            }
        };
        let idle: Vec<usize> = (0..SERVERS).filter(idle).collect();
        if idle.is_empty() {
            return;
        }
        self.last_request += 1;
        dispatcher.running.push(Attempt {
            fingerprint,
            request: self.last_request,
            server: idle[usize::from(selector) % idle.len()],
            isolated,
            started: now,
        });
    }

    /// Retries the poison request; its caller does so only when the previous attempt has ended.
    fn retry_poison(&mut self, index: usize, selector: u8) {
        let mut attempts = self
            .dispatchers
            .iter()
            .flat_map(|dispatcher| &dispatcher.running);
        if !attempts.any(|attempt| attempt.fingerprint == POISON) {
            self.submit(index, POISON, selector);
        }
    }

    fn crash_poisoned_server(&mut self, index: usize) {
        let dispatcher = &mut self.dispatchers[index];
        let Some(poison) = dispatcher
            .running
            .iter()
            .find(|attempt| attempt.fingerprint == POISON)
        else {
            return;
        };
        let server = poison.server;
        let in_flight = dispatcher
            .attempts_on(server)
            .map(|attempt| in_flight(attempt.fingerprint, attempt.request));
        let mut death = death(&format!("{index}-{server}"), in_flight.collect());
        dispatcher.lost += 1;
        death.run = dispatcher.lost as u64;
        dispatcher
            .running
            .retain(|attempt| attempt.server != server);
        let message = dispatcher.register.server_died(&death, self.now);
        self.broadcast(index, message);
    }

    fn complete(&mut self, index: usize, selector: u8) {
        let dispatcher = &mut self.dispatchers[index];
        let innocent = |attempt: &Attempt| attempt.fingerprint != POISON;
        let candidates: Vec<usize> = (0..dispatcher.running.len())
            .filter(|n| innocent(&dispatcher.running[*n]))
            .collect();
        if candidates.is_empty() {
            return;
        }
        let attempt = dispatcher
            .running
            .remove(candidates[usize::from(selector) % candidates.len()]);
        if attempt.isolated {
            let message =
                dispatcher
                    .register
                    .completed(attempt.fingerprint, attempt.started, self.now);
            self.broadcast(index, message);
        }
    }

    fn step(&mut self, step: Step) {
        self.now += 1000;
        let Step {
            dispatcher,
            selector,
            ..
        } = step;
        match step.kind {
            0..=3 => self.submit(
                dispatcher,
                u64::from(selector) % INNOCENT_REQUESTS,
                selector / 8,
            ),
            4..=6 => self.retry_poison(dispatcher, selector),
            7..=9 => self.crash_poisoned_server(dispatcher),
            10..=12 => self.complete(dispatcher, selector),
            13 => {
                self.dispatchers[dispatcher].register =
                    restart_or_keep(&self.dispatchers[dispatcher], selector)
            }
            _ => self.deliver(usize::from(selector)),
        }
        self.check();
    }

    fn check(&mut self) {
        for (number, dispatcher) in self.dispatchers.iter().enumerate() {
            let alone = |attempt: &Attempt| {
                !attempt.isolated || dispatcher.attempts_on(attempt.server).count() == 1
            };
            if !dispatcher.running.iter().all(alone) {
                self.violations.push(format!(
                    "a suspect shares its server at dispatcher {number}"
                ));
            }
            if dispatcher
                .running
                .iter()
                .filter(|attempt| attempt.isolated)
                .count()
                > 1
            {
                self.violations
                    .push(format!("two suspects run at once at dispatcher {number}"));
            }
        }
    }

    fn lost(&self) -> usize {
        self.dispatchers
            .iter()
            .map(|dispatcher| dispatcher.lost)
            .sum()
    }

    /// Ends the attempts of the poison request and delivers all messages, then runs each innocent
    /// request once more.
    fn finish(&mut self) {
        for index in 0..DISPATCHERS {
            self.crash_poisoned_server(index);
        }
        for selector in 0..self.in_transit.len() {
            self.deliver(selector);
        }
        for fingerprint in 0..INNOCENT_REQUESTS {
            self.now += 1000;
            for index in 0..DISPATCHERS {
                while self.dispatchers[index]
                    .running
                    .iter()
                    .any(|r| r.fingerprint != POISON)
                {
                    self.complete(index, 0);
                }
            }
            self.submit(0, fingerprint, 0);
            self.complete(0, 0);
        }
        for selector in 0..self.in_transit.len() {
            self.deliver(selector);
        }
    }

    fn uncleared_innocents(&self) -> usize {
        let uncleared = |fingerprint: &u64| {
            let status = self.dispatchers[0].register.status(*fingerprint, self.now);
            status != FingerprintStatus::Clear
        };
        (0..INNOCENT_REQUESTS).filter(uncleared).count()
    }
}

/// Sometimes moves a dispatcher to a router that starts empty and fetches a snapshot.
fn restart_or_keep(dispatcher: &Dispatcher, selector: u8) -> Register {
    if selector >= 32 {
        return dispatcher.register.clone();
    }
    let mut empty = register();
    for message in dispatcher.register.snapshot() {
        empty.merge(&message, NOW + 1_000_000);
    }
    empty
}

fn check_run(steps: &[Step], instant_delivery: bool, max_lost: usize) -> TestResult {
    let mut fleet = Fleet::new(instant_delivery);
    for step in steps {
        fleet.step(*step);
    }
    fleet.finish();
    if fleet.lost() > max_lost {
        fleet
            .violations
            .push(format!("{} servers were lost", fleet.lost()));
    }
    if instant_delivery && fleet.uncleared_innocents() > 0 {
        fleet
            .violations
            .push("an innocent request was not cleared".to_owned());
    }
    if fleet.violations.is_empty() {
        return TestResult::passed();
    }
    TestResult::error(format!("{:?}", fleet.violations))
}

fn check(property: fn(Vec<Step>) -> TestResult) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(TESTS)
        .max_tests(TESTS)
        .quickcheck(property);
}

#[test]
fn at_most_two_servers_are_lost_if_messages_outrun_retries() {
    check(|steps| check_run(&steps, true, 2));
}

#[test]
fn at_most_two_servers_are_lost_for_each_dispatcher_if_messages_are_delayed() {
    check(|steps| check_run(&steps, false, 2 * DISPATCHERS));
}

#[test]
fn generated_sequences_lose_servers_and_isolate_innocent_requests() {
    /// Minimum number of sequences that must reach each path.
    const MIN_SEQUENCES: usize = 100;
    let mut gen = Gen::from_size_and_seed(STEPS, SEED);
    let (mut exactly_two, mut more_than_two, mut isolated) = (0, 0, 0);
    for _ in 0..TESTS {
        let steps = Vec::<Step>::arbitrary(&mut gen);
        for instant_delivery in [true, false] {
            let mut fleet = Fleet::new(instant_delivery);
            for step in &steps {
                fleet.step(*step);
                let attempts = fleet
                    .dispatchers
                    .iter()
                    .flat_map(|dispatcher| &dispatcher.running);
                isolated += attempts
                    .filter(|r| r.isolated && r.fingerprint != POISON)
                    .count();
            }
            exactly_two += usize::from(fleet.lost() == 2);
            more_than_two += usize::from(fleet.lost() > 2);
        }
    }
    let counts = [exactly_two, more_than_two, isolated];
    assert!(
        counts.iter().all(|count| *count >= MIN_SEQUENCES),
        "{counts:?}"
    );
}
