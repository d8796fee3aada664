//! Several dispatchers, one poison request that its caller sends again and again, and messages
//! that arrive late, twice or not at all.

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

const PLACES: usize = 3;
const SERVERS: usize = 4;
const POISON: Fingerprint = 666;
const INNOCENTS: u64 = 5;
const SEED: u64 = 0x5eed_0004;
const TESTS: u64 = 10_000;
const STEPS: usize = 80;

#[derive(Debug, Clone, Copy)]
struct Step {
    what: u8,
    place: usize,
    which: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            what: u8::arbitrary(g) % 16,
            place: usize::arbitrary(g) % PLACES,
            which: u8::arbitrary(g),
        }
    }
}

#[derive(Debug, Clone)]
struct Run {
    fingerprint: Fingerprint,
    request: RequestId,
    server: usize,
    apart: bool,
    started: u64,
}

/// One dispatcher with its servers.
#[derive(Default)]
struct Place {
    register: Register,
    running: Vec<Run>,
    lost: usize,
}

impl Place {
    fn on(&self, server: usize) -> impl Iterator<Item = &Run> {
        self.running.iter().filter(move |run| run.server == server)
    }
}

struct Fleet {
    places: Vec<Place>,
    /// Messages on their way, each to one place; kept after delivery, so that they come twice.
    wire: Vec<(usize, Message)>,
    now: u64,
    requests: RequestId,
    /// Whether every message arrives before anything else happens.
    prompt: bool,
    faults: Vec<String>,
}

impl Fleet {
    fn new(prompt: bool) -> Self {
        let place = || Place {
            register: register(),
            ..Place::default()
        };
        Self {
            places: (0..PLACES).map(|_| place()).collect(),
            wire: Vec::new(),
            now: NOW,
            requests: 0,
            prompt,
            faults: Vec::new(),
        }
    }

    fn tell(&mut self, from: usize, message: Message) {
        for place in (0..PLACES).filter(|place| *place != from) {
            if self.prompt {
                self.places[place].register.merge(&message, self.now);
            } else {
                self.wire.push((place, message.clone()));
            }
        }
    }

    fn deliver(&mut self, which: usize) {
        if self.wire.is_empty() {
            return;
        }
        let (place, message) = self.wire[which % self.wire.len()].clone();
        self.places[place].register.merge(&message, self.now);
    }

    /// The dispatcher's rule: refuse, run alone on an idle server, or run in company.
    fn submit(&mut self, place: usize, fingerprint: Fingerprint, which: u8) {
        let now = self.now;
        let at = &mut self.places[place];
        let apart = match at.register.status(fingerprint, now) {
            FingerprintStatus::Refused { .. } => return,
            FingerprintStatus::Suspect => true,
            FingerprintStatus::Clear => false,
        };
        if apart && at.running.iter().any(|run| run.apart) {
            return;
        }
        let free = |server: &usize| {
            let mut on = at.on(*server);
            if apart {
                on.next().is_none()
            } else {
                !on.any(|run| run.apart)
            }
        };
        let free: Vec<usize> = (0..SERVERS).filter(free).collect();
        if free.is_empty() {
            return;
        }
        self.requests += 1;
        at.running.push(Run {
            fingerprint,
            request: self.requests,
            server: free[usize::from(which) % free.len()],
            apart,
            started: now,
        });
    }

    /// The poison request's caller sends it again only when the last run has ended.
    fn resend(&mut self, place: usize, which: u8) {
        let mut runs = self.places.iter().flat_map(|at| &at.running);
        if !runs.any(|run| run.fingerprint == POISON) {
            self.submit(place, POISON, which);
        }
    }

    fn crash(&mut self, place: usize) {
        let at = &mut self.places[place];
        let Some(poison) = at.running.iter().find(|run| run.fingerprint == POISON) else {
            return;
        };
        let server = poison.server;
        let in_flight = at
            .on(server)
            .map(|run| in_flight(run.fingerprint, run.request));
        let mut death = death(&format!("{place}-{server}"), in_flight.collect());
        at.lost += 1;
        death.run = at.lost as u64;
        at.running.retain(|run| run.server != server);
        let news = at.register.server_died(&death, self.now);
        self.tell(place, news);
    }

    fn complete(&mut self, place: usize, which: u8) {
        let at = &mut self.places[place];
        let innocent = |run: &Run| run.fingerprint != POISON;
        let places: Vec<usize> = (0..at.running.len())
            .filter(|n| innocent(&at.running[*n]))
            .collect();
        if places.is_empty() {
            return;
        }
        let run = at.running.remove(places[usize::from(which) % places.len()]);
        if run.apart {
            let news = at
                .register
                .completed(run.fingerprint, run.started, self.now);
            self.tell(place, news);
        }
    }

    fn step(&mut self, step: Step) {
        self.now += 1000;
        let Step { place, which, .. } = step;
        match step.what {
            0..=3 => self.submit(place, u64::from(which) % INNOCENTS, which / 8),
            4..=6 => self.resend(place, which),
            7..=9 => self.crash(place),
            10..=12 => self.complete(place, which),
            13 => self.places[place].register = register_or_same(&self.places[place], which),
            _ => self.deliver(usize::from(which)),
        }
        self.check();
    }

    fn check(&mut self) {
        for (number, at) in self.places.iter().enumerate() {
            let alone = |run: &Run| !run.apart || at.on(run.server).count() == 1;
            if !at.running.iter().all(alone) {
                self.faults
                    .push(format!("a suspect has company at {number}"));
            }
            if at.running.iter().filter(|run| run.apart).count() > 1 {
                self.faults
                    .push(format!("two suspects run at once at {number}"));
            }
        }
    }

    fn lost(&self) -> usize {
        self.places.iter().map(|at| at.lost).sum()
    }

    /// Ends the poison's runs and delivers everything; then each innocent runs once more.
    fn rest(&mut self) {
        for place in 0..PLACES {
            self.crash(place);
        }
        for which in 0..self.wire.len() {
            self.deliver(which);
        }
        for fingerprint in 0..INNOCENTS {
            self.now += 1000;
            for place in 0..PLACES {
                while self.places[place]
                    .running
                    .iter()
                    .any(|r| r.fingerprint != POISON)
                {
                    self.complete(place, 0);
                }
            }
            self.submit(0, fingerprint, 0);
            self.complete(0, 0);
        }
        for which in 0..self.wire.len() {
            self.deliver(which);
        }
    }

    fn refused_innocents(&self) -> usize {
        let refused = |print: &u64| {
            let status = self.places[0].register.status(*print, self.now);
            status != FingerprintStatus::Clear
        };
        (0..INNOCENTS).filter(refused).count()
    }
}

/// A dispatcher's place moves to a router that starts empty and asks its peers, now and then.
fn register_or_same(at: &Place, which: u8) -> Register {
    if which >= 32 {
        return at.register.clone();
    }
    let mut empty = register();
    for message in at.register.snapshot() {
        empty.merge(&message, NOW + 1_000_000);
    }
    empty
}

fn judge(steps: &[Step], prompt: bool, most: usize) -> TestResult {
    let mut fleet = Fleet::new(prompt);
    for step in steps {
        fleet.step(*step);
    }
    fleet.rest();
    if fleet.lost() > most {
        fleet
            .faults
            .push(format!("{} servers were lost", fleet.lost()));
    }
    if prompt && fleet.refused_innocents() > 0 {
        fleet
            .faults
            .push("an innocent request was not cleared".to_owned());
    }
    if fleet.faults.is_empty() {
        return TestResult::passed();
    }
    TestResult::error(format!("{:?}", fleet.faults))
}

fn check(property: fn(Vec<Step>) -> TestResult) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(TESTS)
        .max_tests(TESTS)
        .quickcheck(property);
}

#[test]
fn two_servers_at_most_when_news_outruns_the_resend() {
    check(|steps| judge(&steps, true, 2));
}

#[test]
fn two_servers_for_each_place_that_hears_nothing_of_the_others() {
    check(|steps| judge(&steps, false, 2 * PLACES));
}

#[test]
fn the_sequences_lose_servers_and_set_innocents_apart() {
    /// Least number of sequences that must reach each path.
    const ENOUGH: usize = 100;
    let mut gen = Gen::from_size_and_seed(STEPS, SEED);
    let (mut both, mut more, mut apart) = (0, 0, 0);
    for _ in 0..TESTS {
        let steps = Vec::<Step>::arbitrary(&mut gen);
        for prompt in [true, false] {
            let mut fleet = Fleet::new(prompt);
            for step in &steps {
                fleet.step(*step);
                let runs = fleet.places.iter().flat_map(|at| &at.running);
                apart += runs.filter(|r| r.apart && r.fingerprint != POISON).count();
            }
            both += usize::from(fleet.lost() == 2);
            more += usize::from(fleet.lost() > 2);
        }
    }
    let counts = [both, more, apart];
    assert!(counts.iter().all(|count| *count >= ENOUGH), "{counts:?}");
}
