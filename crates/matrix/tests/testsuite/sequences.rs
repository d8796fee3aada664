//! Random faults at random messages, under a mixed load with a poison request.

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use crate::scenario::finish;
use crate::scenario::work;
use crate::scenario::Found;
use crate::scenario::BEGIN;
use crate::sim::caller::WorkKind;
use crate::sim::fault::Fault;
use crate::sim::fault::Plan;
use crate::sim::fault::Strike;
use crate::sim::fault::FAULTS;
use crate::sim::flaw::Flaw;
use crate::sim::ms;
use crate::sim::world::World;
use crate::steps::Step;

/// Sequences that are tried.
pub(crate) const SEQUENCES: u64 = 1_000;
/// Most faults in one sequence.
pub(crate) const MOST_FAULTS: usize = 5;
const SEED: u64 = 0x5eed_0007;
/// Messages among which the faults strike.
const MESSAGES: u32 = 400;
/// Time between two sends of the poison request.
const RESEND: u64 = 2_500;

/// A fault at a message.
#[derive(Debug, Clone, Copy)]
struct Hit {
    fault: Fault,
    message: u32,
}

/// A request of the load.
#[derive(Debug, Clone, Copy)]
struct Ask {
    kind: WorkKind,
    router: usize,
    /// Time since the beginning, in milliseconds.
    at: u64,
    /// Whether it is sent again, through the next router.
    again: bool,
}

/// A run.
#[derive(Debug, Clone)]
struct Sequence {
    hits: Vec<Hit>,
    asks: Vec<Ask>,
    poison: bool,
}

impl Arbitrary for Hit {
    fn arbitrary(g: &mut Gen) -> Self {
        let (fault, _) = *g
            .choose(&FAULTS[..FAULTS.len() - 1])
            .expect("there are faults");
        Self {
            fault,
            message: u32::arbitrary(g) % MESSAGES + 1,
        }
    }
}

impl Arbitrary for Ask {
    fn arbitrary(g: &mut Gen) -> Self {
        let kinds = [
            WorkKind::Draft,
            WorkKind::Summary,
            WorkKind::Order,
            WorkKind::Order,
            WorkKind::KeylessOrder,
        ];
        Self {
            kind: *g.choose(&kinds).expect("there are kinds"),
            router: usize::arbitrary(g) % 3,
            at: u64::arbitrary(g) % 3_000,
            again: bool::arbitrary(g),
        }
    }
}

impl Arbitrary for Sequence {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut hits = Vec::<Hit>::arbitrary(g);
        let mut asks = Vec::<Ask>::arbitrary(g);
        hits.truncate(MOST_FAULTS);
        asks.truncate(8);
        Self {
            hits,
            asks,
            poison: bool::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let fewer_hits = (0..self.hits.len()).map(|no| {
            let mut fewer = self.clone();
            fewer.hits.remove(no);
            fewer
        });
        let fewer_asks = (0..self.asks.len()).map(|no| {
            let mut fewer = self.clone();
            fewer.asks.remove(no);
            fewer
        });
        let all: Vec<Self> = fewer_hits.chain(fewer_asks).collect();
        Box::new(all.into_iter())
    }
}

fn play(sequence: &Sequence, flaw: Option<Flaw>) -> Found {
    let strikes: Vec<Strike> = sequence
        .hits
        .iter()
        .map(|hit| Strike {
            fault: hit.fault,
            step: Step::Nth(hit.message),
        })
        .collect();
    let mut world = World::new(Plan::new(&strikes), flaw);
    for (place, ask) in sequence.asks.iter().enumerate() {
        let id = place as u64 + 1;
        let piece = work(id + 100, ask.kind);
        let at = BEGIN + ms(ask.at);
        world.ask_at(at, id, piece, ask.router);
        if ask.again {
            let router = (ask.router + 1) % 3;
            world.ask_at(at + ms(7_000), id + 50, piece, router);
        }
    }
    if sequence.poison {
        send_poison(&mut world);
    }
    finish(world)
}

/// The caller sends the poison request again and again, each time through the next router.
///
/// It waits a little for each answer and leaves if none has come.
fn send_poison(world: &mut World) {
    for round in 0..6 {
        let at = BEGIN + ms(RESEND * round);
        let request = 200 + round;
        let router = usize::try_from(round % 3).expect("less than three");
        world.ask_at(at, request, work(666, WorkKind::Poison), router);
        world.run_until(at + ms(RESEND - 10));
        world.leave(request);
    }
}

#[test]
fn random_faults_break_no_rule() {
    fn property(sequence: Sequence) -> TestResult {
        let found = play(&sequence, None);
        if found.violations.is_empty() {
            return TestResult::passed();
        }
        TestResult::error(format!("{:?}", found.violations))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, SEED))
        .tests(SEQUENCES)
        .max_tests(SEQUENCES)
        .quickcheck(property as fn(Sequence) -> TestResult);
}

/// Sends a poison request without any fault.
pub(crate) fn poison(flaw: Option<Flaw>) -> Found {
    let sequence = Sequence {
        hits: Vec::new(),
        asks: Vec::new(),
        poison: true,
    };
    play(&sequence, flaw)
}

#[test]
fn a_poison_request_that_a_hung_server_has_not_yet_read_counts() {
    let sequence = Sequence {
        hits: vec![Hit {
            fault: Fault::ServerHang,
            message: 2,
        }],
        asks: Vec::new(),
        poison: true,
    };
    assert_eq!(play(&sequence, None).violations, Vec::<String>::new());
}

/// A hung server with requests that their router has given up: they are no longer anybody's slot.
#[test]
fn requests_given_up_on_a_hung_server_take_no_slot() {
    let hit = |fault, message| Hit { fault, message };
    let ask = |kind, router, at, again| Ask {
        kind,
        router,
        at,
        again,
    };
    let sequence = Sequence {
        hits: vec![
            hit(Fault::ServerHang, 33),
            hit(Fault::CutZone, 50),
            hit(Fault::RouterPause, 1),
            hit(Fault::CutRouters, 93),
        ],
        asks: vec![
            ask(WorkKind::Draft, 2, 1127, false),
            ask(WorkKind::KeylessOrder, 1, 463, false),
            ask(WorkKind::Summary, 1, 1114, true),
            ask(WorkKind::Draft, 0, 822, true),
            ask(WorkKind::Order, 1, 1714, true),
        ],
        poison: true,
    };
    assert_eq!(play(&sequence, None).violations, Vec::<String>::new());
}

#[test]
fn a_poison_request_costs_two_servers_when_nothing_else_fails() {
    assert_eq!(poison(None).violations, Vec::<String>::new());
}
