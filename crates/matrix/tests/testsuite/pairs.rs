//! Two faults in one run.
//!
//! All pairs of strikes of a process are many; CI runs each [`STRIDE`]th, always the same ones.
//! `PRIMROSE_ALL_PAIRS=1` runs all of them.

use std::env;

use crate::matrix::run;
use crate::matrix::strikes;
use crate::sim::fault::Fault;
use crate::sim::fault::Strike;
use crate::steps::Process;
use crate::steps::Step;

/// One pair in this many is run in CI.
pub(crate) const STRIDE: usize = 19;
/// Set to run all pairs.
const ALL: &str = "PRIMROSE_ALL_PAIRS";
pub(crate) const PROCESSES: [Process; 5] = [
    Process::Request,
    Process::Claim,
    Process::Shutdown,
    Process::Table,
    Process::ServerOrder,
];

/// Numbers of pairs.
pub(crate) struct Pairs {
    pub(crate) all: usize,
    pub(crate) run: usize,
}

fn pairs_of(process: Process) -> usize {
    let strikes = strikes(process).len();
    strikes * (strikes + 1) / 2
}

/// Counts the pairs of all processes, and those that CI runs.
pub(crate) fn count() -> Pairs {
    let each = PROCESSES.map(pairs_of);
    Pairs {
        all: each.iter().sum(),
        run: each.iter().map(|pairs| pairs.div_ceil(STRIDE)).sum(),
    }
}

fn check(process: Process) {
    let stride = if env::var_os(ALL).is_some() {
        1
    } else {
        STRIDE
    };
    let strikes = strikes(process);
    let (mut place, mut runs, mut both) = (0, 0, 0);
    let mut broken = Vec::new();
    for (second, other) in strikes.iter().enumerate() {
        for one in &strikes[..=second] {
            place += 1;
            if (place - 1) % stride != 0 {
                continue;
            }
            runs += 1;
            let found = run(process, &[*one, *other]);
            both += usize::from(found.struck == 2);
            if !found.violations.is_empty() {
                broken.push(format!("{one:?} {other:?}: {:?}", found.violations));
            }
        }
    }
    println!(
        "{process:?}: {runs} pairs, both struck in {both}, {} violations",
        broken.len()
    );
    assert!(
        broken.is_empty(),
        "{} broken:\n{}",
        broken.len(),
        broken.join("\n")
    );
    // A fault can keep the run from ever reaching the other one's step, but not often.
    assert!(
        both * 2 > runs,
        "both faults struck in {both} of {runs} runs"
    );
}

#[test]
fn pairs_in_a_request() {
    check(Process::Request);
}

#[test]
fn pairs_in_a_claim() {
    check(Process::Claim);
}

#[test]
fn pairs_in_a_shutdown() {
    check(Process::Shutdown);
}

#[test]
fn pairs_in_a_table_change() {
    check(Process::Table);
}

#[test]
fn pairs_in_an_order_to_a_server() {
    check(Process::ServerOrder);
}

/// Pairs that once broke a rule.
const FOUND: [(Process, [Strike; 2]); 2] = [
    (
        Process::Claim,
        [
            Strike {
                fault: Fault::CutZone,
                step: Step::ClaimWrite,
            },
            Strike {
                fault: Fault::Lost,
                step: Step::SettleReply,
            },
        ],
    ),
    (
        Process::Table,
        [
            Strike {
                fault: Fault::Doubled,
                step: Step::TableCommit,
            },
            Strike {
                fault: Fault::TwoOperators,
                step: Step::TableReply,
            },
        ],
    ),
];

#[test]
fn pairs_that_once_broke_a_rule() {
    for (process, strikes) in FOUND {
        let found = run(process, &strikes);
        assert!(
            found.violations.is_empty(),
            "{strikes:?}: {:?}",
            found.violations
        );
    }
}
