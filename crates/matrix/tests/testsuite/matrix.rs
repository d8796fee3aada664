//! Every fault at every step, one at a time.

use crate::orders;
use crate::pairs::PROCESSES;
use crate::render;
use crate::scenario;
use crate::scenario::Found;
use crate::sim::fault::Fault;
use crate::sim::fault::Strike;
use crate::sim::fault::FAULTS;
use crate::steps::Excuse;
use crate::steps::Process;
use crate::steps::Step;
use crate::steps::STEPS;
use crate::tables;

/// What a cell of the table says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cell {
    /// The fault struck and no rule was broken.
    Holds,
    /// The fault struck and a rule was broken.
    Broken,
    /// The scenario never came to the step.
    NotReached,
    /// The fault cannot strike at this step.
    Excused(Excuse),
}

/// Runs a process under faults.
pub(crate) fn run(process: Process, strikes: &[Strike]) -> Found {
    match process {
        Process::Table => tables::run(strikes, None),
        Process::ServerOrder => orders::run(strikes, None),
        _ => scenario::run(process, strikes, None),
    }
}

/// Every strike that can be made in a process.
pub(crate) fn strikes(process: Process) -> Vec<Strike> {
    let steps = STEPS.iter().filter(|(one, _, _)| *one == process);
    let all = steps.flat_map(|(_, step, _)| {
        let step = *step;
        FAULTS.iter().map(move |(fault, _)| Strike {
            fault: *fault,
            step,
        })
    });
    all.filter(|strike| strike.step.excuse(strike.fault).is_none())
        .collect()
}

fn cell(process: Process, step: Step, fault: Fault) -> Cell {
    if let Some(excuse) = step.excuse(fault) {
        return Cell::Excused(excuse);
    }
    let found = run(process, &[Strike { fault, step }]);
    if !found.violations.is_empty() {
        eprintln!("{fault:?} at {step:?}: {:?}", found.violations);
        return Cell::Broken;
    }
    if found.struck == 0 {
        return Cell::NotReached;
    }
    Cell::Holds
}

#[test]
fn without_faults_all_is_served() {
    for process in PROCESSES {
        let found = run(process, &[]);
        assert!(
            found.violations.is_empty(),
            "{process:?}: {:?}",
            found.violations
        );
    }
}

#[test]
fn every_fault_at_every_step_is_as_the_document_says() {
    let mut grid = Vec::new();
    for (process, step, _) in STEPS {
        let column: Vec<Cell> = FAULTS
            .iter()
            .map(|(f, _)| cell(process, step, *f))
            .collect();
        grid.push(column);
    }
    let cells = || grid.iter().flatten();
    let count = |wanted: Cell| cells().filter(|cell| **cell == wanted).count();
    println!(
        "cells: {} hold, {} broken, {} not reached",
        count(Cell::Holds),
        count(Cell::Broken),
        count(Cell::NotReached),
    );
    render::compare(&render::document(&grid));
    assert_eq!(count(Cell::Broken), 0);
    assert_eq!(count(Cell::NotReached), 0);
}
