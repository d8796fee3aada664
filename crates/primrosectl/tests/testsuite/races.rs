//! Operators who race under random faults: generations rise one by one, and none is overwritten.

use primrose_store::memory::Fault;
use primrose_support::seeded::checker;
use primrose_table::header::peek;
use primrose_table::header::Header;
use primrosectl::ops::apply::ApplyError;
use primrosectl::ops::swap::SwapError;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::support::apply_file;
use crate::support::Recorded;
use crate::support::FAULTS;

/// One operator's turn: edit what was read some turns ago, under these faults.
#[derive(Debug, Clone)]
struct Turn {
    age: usize,
    faults: Vec<(u64, Fault)>,
}

impl Arbitrary for Turn {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 4;
        let mut fault = || {
            let call = u64::arbitrary(g) % 7 + 1;
            (call, *g.choose(&FAULTS).expect("not empty"))
        };
        let faults = (0..count).map(|_| fault()).collect();
        let age = usize::arbitrary(g) % 3;
        Self { age, faults }
    }
}

/// What an operator was told of a change.
enum Told {
    Applied,
    NotApplied,
    Unknown,
}

fn run(store: &Recorded, text: &str, change: u64) -> Told {
    match apply_file(store, text, change) {
        Ok(applied) if applied.swapped.is_some() => Told::Applied,
        Ok(_) => Told::Unknown,
        Err(ApplyError::Swap {
            source: SwapError::Unknown { .. },
        }) => Told::Unknown,
        Err(_) => Told::NotApplied,
    }
}

#[test]
fn generations_rise_one_by_one_and_everyone_is_told_truly() {
    fn holds(turns: Vec<Turn>) -> bool {
        let store = Recorded::new();
        let mut read = vec![store.text()];
        let mut told = Vec::new();
        for (index, turn) in turns.iter().take(20).enumerate() {
            let change = 100 + index as u64;
            for (call, fault) in &turn.faults {
                store.inner.fault_in(*call, *fault);
            }
            let base = &read[read.len().saturating_sub(1 + turn.age)];
            let text = base.replace("; ours", &format!("; ours {index}"));
            told.push((change, run(&store, &text, change)));
            read.push(store.text());
        }
        let history = store.history();
        let one_by_one = history
            .windows(2)
            .all(|pair| pair[1].generation == pair[0].generation + 1);
        let stored = |change| {
            history
                .iter()
                .any(|header: &Header| header.change == change)
        };
        let true_words = told.iter().all(|(change, told)| match told {
            Told::Applied => stored(*change),
            Told::NotApplied => !stored(*change),
            Told::Unknown => true,
        });
        one_by_one && true_words && peek(&store.text()) == history.last().copied()
    }
    checker()
        .tests(500)
        .quickcheck(holds as fn(Vec<Turn>) -> bool);
}
