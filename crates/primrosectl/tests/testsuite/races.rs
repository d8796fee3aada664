//! Property test of racing operators under random faults: generations rise one by one, and every
//! reported result is true.

use primrose_store::memory::Fault;
use primrose_support::seeded::checker;
use primrose_table::header::peek;
use primrose_table::header::Header;
use primrosectl::ops::apply::ApplyError;
use primrosectl::ops::swap::SwapError;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::support::apply_file;
use crate::support::RecordingStore;
use crate::support::FAULTS;

/// One operator's edit, based on what was read `age` turns ago, under these faults by call.
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

/// Result of an edit as reported to the operator.
enum Reported {
    Applied,
    NotApplied,
    Unknown,
}

fn run(store: &RecordingStore, text: &str, change: u64) -> Reported {
    match apply_file(store, text, change) {
        Ok(applied) if applied.outcome.is_some() => Reported::Applied,
        Ok(_) => Reported::Unknown,
        Err(ApplyError::Swap {
            source: SwapError::Unknown { .. },
        }) => Reported::Unknown,
        Err(_) => Reported::NotApplied,
    }
}

#[test]
fn generations_rise_one_by_one_and_reported_results_are_true() {
    fn holds(turns: Vec<Turn>) -> bool {
        let store = RecordingStore::new();
        let mut texts = vec![store.text()];
        let mut reported = Vec::new();
        for (index, turn) in turns.iter().take(20).enumerate() {
            let change = 100 + index as u64;
            for (call, fault) in &turn.faults {
                store.inner.fault_in(*call, *fault);
            }
            let base = &texts[texts.len().saturating_sub(1 + turn.age)];
            let text = base.replace("; ours", &format!("; ours {index}"));
            reported.push((change, run(&store, &text, change)));
            texts.push(store.text());
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
        let all_true = reported.iter().all(|(change, reported)| match reported {
            Reported::Applied => stored(*change),
            Reported::NotApplied => !stored(*change),
            Reported::Unknown => true,
        });
        one_by_one && all_true && peek(&store.text()) == history.last().copied()
    }
    checker()
        .tests(500)
        .quickcheck(holds as fn(Vec<Turn>) -> bool);
}
