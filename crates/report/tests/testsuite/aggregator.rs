//! Whatever the service and other aggregators do, each process counts once and in its last state.

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

/// Longer than any time between two writes.
const STEP: Duration = Duration::from_secs(400);

/// What befalls one call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    Refused,
    LostAfter,
    Silent,
}

/// A key-value service in small.
#[derive(Default)]
struct Service {
    values: BTreeMap<String, (u64, Vec<u8>)>,
    version: u64,
}

impl Service {
    /// Does what an action asks and returns the answer that arrives, if one does.
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
            } if fault != Fault::Refused => {
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
            Fault::Refused | Fault::LostAfter => Some(Event::Failed { key }),
            Fault::Silent => None,
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

/// One thing that happens.
#[derive(Debug, Clone)]
enum Happening {
    /// A process counts, and reports to one or both aggregators.
    Count(usize, bool, bool),
    /// A process is replaced on its host.
    Replace(usize),
    /// An aggregator looks whether something is due.
    Tick(usize),
    /// The oldest call of an aggregator reaches the service.
    Call(usize, Fault),
}

impl Arbitrary for Happening {
    fn arbitrary(g: &mut Gen) -> Self {
        let which = usize::arbitrary(g) % 2;
        let faults = [
            Fault::None,
            Fault::None,
            Fault::Refused,
            Fault::LostAfter,
            Fault::Silent,
        ];
        match u8::arbitrary(g) % 8 {
            0 | 1 => Self::Count(
                usize::arbitrary(g) % 3,
                bool::arbitrary(g),
                bool::arbitrary(g),
            ),
            2 => Self::Replace(usize::arbitrary(g) % 3),
            3 | 4 => Self::Tick(which),
            _ => Self::Call(which, *g.choose(&faults).expect("five")),
        }
    }
}

/// Two aggregators of one zone, three hosts, and the service.
struct World {
    service: Service,
    aggregators: [Aggregator; 2],
    calls: [Vec<Action>; 2],
    hosts: Vec<Record>,
    counted: u64,
    now: Duration,
}

impl World {
    fn new() -> Self {
        let mut aggregators = [Aggregator::new("test", "a"), Aggregator::new("test", "a")];
        for aggregator in &mut aggregators {
            aggregator.decide(Event::Duty(true), Duration::ZERO);
        }
        Self {
            service: Service::default(),
            aggregators,
            calls: [Vec::new(), Vec::new()],
            hosts: (0..3)
                .map(|host| record("a", &format!("h{host}"), 0))
                .collect(),
            counted: 0,
            now: Duration::from_secs(1),
        }
    }

    fn hear(&mut self, which: usize, event: Event) {
        let actions = self.aggregators[which].decide(event, self.now);
        self.calls[which].extend(actions);
    }

    fn report(&mut self, host: usize, to: [bool; 2]) {
        for which in [0, 1].into_iter().filter(|which| to[*which]) {
            let report = Box::new(self.hosts[host].clone());
            self.hear(which, Event::Report(report));
        }
    }

    fn happen(&mut self, happening: &Happening) {
        match *happening {
            Happening::Count(host, first, second) => {
                self.hosts[host].observe(0, &Observation::Cut { requests: 1 });
                self.counted += 1;
                self.report(host, [first, second]);
            }
            Happening::Replace(host) => {
                // A graceful shutdown sends the last state to both.
                self.report(host, [true, true]);
                let member = self.hosts[host].member.clone();
                self.hosts[host] = record("a", &member.host, member.incarnation + 1);
            }
            Happening::Tick(which) => {
                self.now += STEP;
                self.hear(which, Event::Tick);
            }
            Happening::Call(which, fault) => self.call(which, fault),
        }
    }

    fn call(&mut self, which: usize, fault: Fault) {
        if self.calls[which].is_empty() {
            return;
        }
        let action = self.calls[which].remove(0);
        if matches!(action, Action::Delete { .. }) {
            return;
        }
        if let Some(event) = self.service.call(action, fault) {
            self.hear(which, event);
        }
    }

    /// Lets everybody report, and one aggregator work until nothing is left to do.
    ///
    /// Only one, because the other would make up for what it has wrongly taken for stored.
    fn settle(&mut self, which: usize) {
        for host in 0..self.hosts.len() {
            self.report(host, [true, true]);
        }
        for _ in 0..6 {
            self.now += STEP;
            self.hear(which, Event::Tick);
            while !self.calls[which].is_empty() {
                self.call(which, Fault::None);
            }
        }
    }
}

#[test]
fn every_process_counts_once_in_its_last_state() {
    fn holds(happenings: Vec<Happening>) -> bool {
        let mut world = World::new();
        for happening in &happenings {
            world.happen(happening);
            if world.service.total() > world.counted {
                return false;
            }
        }
        world.settle(happenings.len() % 2);
        world.service.total() == world.counted
    }
    checker()
        .tests(300)
        .quickcheck(holds as fn(Vec<Happening>) -> bool);
}

#[test]
fn without_the_duty_nothing_is_asked() {
    let mut aggregator = Aggregator::new("test", "a");
    aggregator.decide(Event::Report(Box::new(counted())), STEP);
    assert_eq!(aggregator.decide(Event::Tick, STEP * 2), []);
    assert_eq!(aggregator.records(DAY).count(), 1);
}

fn counted() -> Record {
    let mut record = record("a", "h", 1);
    record.observe(0, &Observation::Cut { requests: 1 });
    record
}

#[test]
fn a_value_that_cannot_be_read_is_left_alone() {
    let mut aggregator = Aggregator::new("test", "a");
    aggregator.decide(Event::Duty(true), STEP);
    aggregator.decide(Event::Report(Box::new(counted())), STEP);
    let read = Event::Read {
        key: zone_day_key("test", DAY, "a"),
        version: 4,
        value: b"newer".to_vec(),
    };
    let actions = aggregator.decide(read, STEP);
    assert!(matches!(actions[..], [Action::Warn { .. }]), "{actions:?}");
}

#[test]
fn the_first_write_of_a_day_removes_the_one_past_keeping() {
    let mut aggregator = Aggregator::new("test", "a");
    aggregator.decide(Event::Duty(true), STEP);
    aggregator.decide(Event::Report(Box::new(counted())), STEP);
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

/// An aggregator that has read an absent value and asked for a swap.
fn swapping() -> (Aggregator, String) {
    let mut aggregator = Aggregator::new("test", "a");
    aggregator.decide(Event::Duty(true), STEP);
    aggregator.decide(Event::Report(Box::new(counted())), STEP);
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
fn what_came_during_a_swap_is_written_by_the_next() {
    let (mut aggregator, key) = swapping();
    let mut later = counted();
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
fn a_conflict_is_read_and_folded_again() {
    let (mut aggregator, key) = swapping();
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
fn what_is_stored_is_not_written_again() {
    let (mut aggregator, key) = swapping();
    let done = true;
    aggregator.decide(Event::Swapped { key, done }, STEP);
    assert_eq!(aggregator.decide(Event::Tick, STEP * 3), []);
}

#[test]
fn a_failed_call_is_made_again_later() {
    let (mut aggregator, key) = swapping();
    aggregator.decide(Event::Failed { key: key.clone() }, STEP);
    assert_eq!(aggregator.decide(Event::Tick, STEP), []);
    assert_eq!(
        aggregator.decide(Event::Tick, STEP * 2),
        [Action::Read { key }]
    );
}
