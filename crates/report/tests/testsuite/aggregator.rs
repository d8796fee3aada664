//! Each process is counted exactly once, in its final state, despite failed requests, lost
//! responses and a second aggregator.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_report::aggregator::zone_day_key;
use primrose_report::aggregator::Action;
use primrose_report::aggregator::Aggregator;
use primrose_report::aggregator::Event;
use primrose_report::observation::Observation;
use primrose_report::record::Record;
use primrose_report::total::Total;
use primrose_report::zone::ZoneDay;
use primrose_support::seeded::checker;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::support::record;
use crate::support::DAY;

/// Time step longer than any period between two writes.
const STEP: Duration = Duration::from_secs(400);

/// Fault injected into one request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    Rejected,
    ResponseLost,
    NoResponse,
}

/// In-memory key-value service.
#[derive(Default)]
struct Service {
    values: BTreeMap<String, (u64, Vec<u8>)>,
    version: u64,
}

impl Service {
    /// Carries out an action and returns the resulting event, if a response arrives.
    fn call(&mut self, action: Action, fault: Fault) -> Option<Event> {
        let (key, answer) = match action {
            Action::Read { key } if fault == Fault::None => {
                let (version, value) = self.values.get(&key).cloned().unwrap_or_default();
                let read = Event::Read {
                    key: key.clone(),
                    version,
                    value,
                };
                (key, read)
            }
            Action::Swap {
                key,
                version,
                value,
            } if fault != Fault::Rejected => {
                let done = self.swap(&key, version, value);
                (key.clone(), Event::Swapped { key, done })
            }
            Action::Read { key } | Action::Swap { key, .. } | Action::Delete { key } => {
                (key.clone(), Event::Failed { key })
            }
            Action::Warn { key, detail } => panic!("{key}: {detail}"),
        };
        match fault {
            Fault::None => Some(answer),
            Fault::Rejected | Fault::ResponseLost => Some(Event::Failed { key }),
            Fault::NoResponse => None,
        }
    }

    fn swap(&mut self, key: &str, version: u64, value: Vec<u8>) -> bool {
        let found = self.values.get(key).map_or(0, |(version, _)| *version);
        if found != version {
            return false;
        }
        self.version += 1;
        self.values.insert(key.to_owned(), (self.version, value));
        true
    }

    fn total(&self) -> u64 {
        let Some((_, value)) = self.values.get(&zone_day_key("test", DAY, "a")) else {
            return 0;
        };
        let mut total = Total::new(DAY);
        total.add_zone(&ZoneDay::decode(value).expect("a day"));
        total.sums.fleet.cut
    }
}

/// One step of the simulation.
#[derive(Debug, Clone)]
enum Step {
    /// A process counts an observation and reports to the chosen aggregators.
    Count(usize, bool, bool),
    /// A process is replaced on its host.
    Replace(usize),
    /// An aggregator receives a tick.
    Tick(usize),
    /// The oldest pending request of an aggregator reaches the service.
    Call(usize, Fault),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g) % 2;
        let faults = [
            Fault::None,
            Fault::None,
            Fault::Rejected,
            Fault::ResponseLost,
            Fault::NoResponse,
        ];
        match u8::arbitrary(g) % 8 {
            0 | 1 => Self::Count(
                usize::arbitrary(g) % 3,
                bool::arbitrary(g),
                bool::arbitrary(g),
            ),
            2 => Self::Replace(usize::arbitrary(g) % 3),
            3 | 4 => Self::Tick(index),
            _ => Self::Call(index, *g.choose(&faults).expect("five")),
        }
    }
}

/// Simulation of two aggregators of one zone, three hosts and the service.
struct Simulation {
    service: Service,
    aggregators: [Aggregator; 2],
    pending: [Vec<Action>; 2],
    hosts: Vec<Record>,
    counted: u64,
    now: Duration,
}

impl Simulation {
    fn new() -> Self {
        let mut aggregators = [Aggregator::new("test", "a"), Aggregator::new("test", "a")];
        for aggregator in &mut aggregators {
            aggregator.decide(Event::Duty(true), Duration::ZERO);
        }
        Self {
            service: Service::default(),
            aggregators,
            pending: [Vec::new(), Vec::new()],
            hosts: (0..3)
                .map(|host| record("a", &format!("h{host}"), 0))
                .collect(),
            counted: 0,
            now: Duration::from_secs(1),
        }
    }

    fn deliver(&mut self, index: usize, event: Event) {
        let actions = self.aggregators[index].decide(event, self.now);
        self.pending[index].extend(actions);
    }

    fn report(&mut self, host: usize, to: [bool; 2]) {
        for index in [0, 1].into_iter().filter(|index| to[*index]) {
            let report = Box::new(self.hosts[host].clone());
            self.deliver(index, Event::Report(report));
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Count(host, first, second) => {
                self.hosts[host].observe(0, &Observation::Cut { requests: 1 });
                self.counted += 1;
                self.report(host, [first, second]);
            }
            Step::Replace(host) => {
                // A graceful shutdown sends the final state to both aggregators.
                self.report(host, [true, true]);
                let member = self.hosts[host].member.clone();
                self.hosts[host] = record("a", &member.host, member.incarnation + 1);
            }
            Step::Tick(index) => {
                self.now += STEP;
                self.deliver(index, Event::Tick);
            }
            Step::Call(index, fault) => self.call(index, fault),
        }
    }

    fn call(&mut self, index: usize, fault: Fault) {
        if self.pending[index].is_empty() {
            return;
        }
        let action = self.pending[index].remove(0);
        if matches!(action, Action::Delete { .. }) {
            return;
        }
        if let Some(event) = self.service.call(action, fault) {
            self.deliver(index, event);
        }
    }

    /// Sends all records, and runs one aggregator without faults until it has stored them.
    ///
    /// The other stays idle, because it would hide records that this one wrongly assumes stored.
    fn run_until_stored(&mut self, index: usize) {
        for host in 0..self.hosts.len() {
            self.report(host, [true, true]);
        }
        for _ in 0..6 {
            self.now += STEP;
            self.deliver(index, Event::Tick);
            while !self.pending[index].is_empty() {
                self.call(index, Fault::None);
            }
        }
    }
}

#[test]
fn every_process_is_counted_once_in_its_final_state() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.apply(step);
            if simulation.service.total() > simulation.counted {
                return false;
            }
        }
        simulation.run_until_stored(steps.len() % 2);
        simulation.service.total() == simulation.counted
    }
    checker()
        .tests(300)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn aggregator_off_duty_sends_no_requests() {
    let mut aggregator = Aggregator::new("test", "a");
    aggregator.decide(Event::Report(Box::new(record_with_count())), STEP);
    assert_eq!(aggregator.decide(Event::Tick, STEP * 2), []);
    assert_eq!(aggregator.records(DAY).count(), 1);
}

fn record_with_count() -> Record {
    let mut record = record("a", "h", 1);
    record.observe(0, &Observation::Cut { requests: 1 });
    record
}

#[test]
fn undecodable_value_is_not_overwritten() {
    let mut aggregator = Aggregator::new("test", "a");
    aggregator.decide(Event::Duty(true), STEP);
    aggregator.decide(Event::Report(Box::new(record_with_count())), STEP);
    let read = Event::Read {
        key: zone_day_key("test", DAY, "a"),
        version: 4,
        value: b"newer".to_vec(),
    };
    let actions = aggregator.decide(read, STEP);
    assert!(matches!(actions[..], [Action::Warn { .. }]), "{actions:?}");
}

#[test]
fn first_write_of_a_day_deletes_the_expired_day() {
    let mut aggregator = Aggregator::new("test", "a");
    aggregator.decide(Event::Duty(true), STEP);
    aggregator.decide(Event::Report(Box::new(record_with_count())), STEP);
    let swapped = Event::Swapped {
        key: zone_day_key("test", DAY, "a"),
        done: true,
    };
    let delete = Action::Delete {
        key: zone_day_key("test", "1969-12-19", "a"),
    };
    assert_eq!(aggregator.decide(swapped.clone(), STEP), [delete]);
    assert_eq!(aggregator.decide(swapped, STEP), []);
}

/// Returns an aggregator that has read an absent value and requested a swap, and the key.
fn aggregator_with_swap_in_flight() -> (Aggregator, String) {
    let mut aggregator = Aggregator::new("test", "a");
    aggregator.decide(Event::Duty(true), STEP);
    aggregator.decide(Event::Report(Box::new(record_with_count())), STEP);
    assert_eq!(aggregator.decide(Event::Tick, STEP).len(), 1);
    let key = zone_day_key("test", DAY, "a");
    let read = Event::Read {
        key: key.clone(),
        version: 0,
        value: Vec::new(),
    };
    let actions = aggregator.decide(read, STEP);
    assert!(
        matches!(actions[..], [Action::Swap { version: 0, .. }]),
        "{actions:?}"
    );
    (aggregator, key)
}

#[test]
fn record_received_during_a_swap_is_written_by_the_next() {
    let (mut aggregator, key) = aggregator_with_swap_in_flight();
    let mut later = record_with_count();
    later.observe(0, &Observation::Cut { requests: 1 });
    aggregator.decide(Event::Report(Box::new(later)), STEP);
    let done = true;
    aggregator.decide(
        Event::Swapped {
            key: key.clone(),
            done,
        },
        STEP,
    );
    assert_eq!(
        aggregator.decide(Event::Tick, STEP * 3),
        [Action::Read { key }]
    );
}

#[test]
fn conflicting_swap_reads_the_value_again() {
    let (mut aggregator, key) = aggregator_with_swap_in_flight();
    let done = false;
    let again = aggregator.decide(
        Event::Swapped {
            key: key.clone(),
            done,
        },
        STEP,
    );
    assert_eq!(again, [Action::Read { key }]);
}

#[test]
fn stored_records_are_not_written_again() {
    let (mut aggregator, key) = aggregator_with_swap_in_flight();
    let done = true;
    aggregator.decide(Event::Swapped { key, done }, STEP);
    assert_eq!(aggregator.decide(Event::Tick, STEP * 3), []);
}

#[test]
fn failed_request_is_retried_later() {
    let (mut aggregator, key) = aggregator_with_swap_in_flight();
    aggregator.decide(Event::Failed { key: key.clone() }, STEP);
    assert_eq!(aggregator.decide(Event::Tick, STEP), []);
    assert_eq!(
        aggregator.decide(Event::Tick, STEP * 2),
        [Action::Read { key }]
    );
}
