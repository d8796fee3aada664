//! Writes the results as `docs/FAULTS.md`.

use std::env;
use std::fmt::Write;
use std::fs;
use std::path::PathBuf;

use crate::broken;
use crate::matrix::Cell;
use crate::pairs;
use crate::sequences;
use crate::sim::fault::FAULTS;
use crate::steps::Excuse;
use crate::steps::Process;
use crate::steps::STEPS;

/// Set to write the document instead of comparing with it.
const WRITE: &str = "PRIMROSE_WRITE_FAULTS";

const HEAD: &str = "\
# Fault matrix

This file is written by the test that runs the matrix (`cargo test -p primrose-matrix`); the test
fails if the file differs from what it finds. `PRIMROSE_WRITE_FAULTS=1` writes it anew.

Each cell is a run of the deciding parts (request lifecycle, claims desk, register of suspects,
requester, dispatcher, document in force, the operator's apply, the writer of orders) as three routers in two zones, with
six fake backend servers, the in-memory key-value service and a clock that is set by hand. One fault
strikes at one step; everything then comes to rest, and probes are sent through every router. The
judge reads the servers' own record of what ran, the service's own record of what it accepted, and
what the callers saw. It never asks a router.

What it requires: an order runs at most once, resends through other routers included; `not run` is
told only if nothing ran; `done` only with the whole answer of one attempt, in order, without gap,
repeat or splice; a stored answer is the one that a server made; each caller is told exactly once,
unless its router died or it left; a server that leaves gets nothing new after 3 s; a graceful
shutdown cuts off nothing before its limit; no server runs more than two limits of requests that
somebody waits for; after the faults every router serves a request and an order again. For tables: no generation in force goes back, all
routers come to the newest, nothing is overwritten unseen, and an operator is told the truth. For
orders to backend servers: each fencing number belongs to one router, no server obeys an older number
after a newer one, and every server comes to the version of the table.

Not judged here: fairness, use of the servers, times of the real processes.

Signs: `+` the rules hold · `!` a rule was broken · `?` the step was not reached · a number names
the reason why the fault cannot strike there.
";

fn title(process: Process) -> &'static str {
    match process {
        Process::Request => "A streamed request",
        Process::Claim => "An order under its claim, and its resend",
        Process::Shutdown => "A router's shutdown",
        Process::Table => "A change of the tables",
        Process::ServerOrder => "An order to a backend server (load, role)",
    }
}

fn sign(cell: Cell) -> String {
    match cell {
        Cell::Holds => "+".to_owned(),
        Cell::Broken => "!".to_owned(),
        Cell::NotReached => "?".to_owned(),
        Cell::Excused(excuse) => {
            let place = Excuse::ALL.iter().position(|one| *one == excuse);
            place.map_or(0, |place| place + 1).to_string()
        }
    }
}

/// Writes the whole document; `grid` has a column for each step.
pub(crate) fn document(grid: &[Vec<Cell>]) -> String {
    let mut out = HEAD.to_owned();
    for process in pairs::PROCESSES {
        section(&mut out, process, grid);
    }
    out.push_str("\n## Why a fault cannot strike\n\n");
    for (place, excuse) in Excuse::ALL.iter().enumerate() {
        // Writing to a string cannot fail.
        let _ = writeln!(out, "{}. {}", place + 1, excuse.text());
    }
    out.push_str("\n## Counts\n\n");
    counts(&mut out, grid);
    out
}

fn section(out: &mut String, process: Process, grid: &[Vec<Cell>]) {
    let columns: Vec<usize> = (0..STEPS.len())
        .filter(|no| STEPS[*no].0 == process)
        .collect();
    let names: Vec<&str> = columns.iter().map(|no| STEPS[*no].2).collect();
    let _ = writeln!(out, "\n## {}\n", title(process));
    let _ = writeln!(out, "| fault | {} |", names.join(" | "));
    let _ = writeln!(out, "|---|{}", "---|".repeat(columns.len()));
    for (row, (_, name)) in FAULTS.iter().enumerate() {
        let signs: Vec<String> = columns.iter().map(|no| sign(grid[*no][row])).collect();
        let _ = writeln!(out, "| {name} | {} |", signs.join(" | "));
    }
}

fn counts(out: &mut String, grid: &[Vec<Cell>]) {
    let count = |wanted: fn(&Cell) -> bool| grid.iter().flatten().filter(|c| wanted(c)).count();
    let _ = writeln!(out, "| what | runs | violations |\n|---|---|---|");
    let holds = count(|cell| *cell == Cell::Holds);
    let broken = count(|cell| *cell == Cell::Broken);
    let _ = writeln!(
        out,
        "| cells, single faults | {} | {broken} |",
        holds + broken
    );
    let excused = count(|cell| matches!(cell, Cell::Excused(_)));
    let _ = writeln!(
        out,
        "| cells where the fault cannot strike | {excused} | - |"
    );
    let pairs = pairs::count();
    let _ = writeln!(
        out,
        "| pairs of faults in CI, one of {} of all {} | {} | 0 |",
        pairs::STRIDE,
        pairs.all,
        pairs.run
    );
    let _ = writeln!(
        out,
        "| random sequences of up to {} faults | {} | 0 |",
        sequences::MOST_FAULTS,
        sequences::SEQUENCES
    );
    let _ = writeln!(
        out,
        "| rules broken on purpose, each caught | {} | {} |",
        broken::COUNT,
        broken::COUNT
    );
    out.push_str(
        "\nThe zeros of pairs and sequences are what their own tests require; a violation fails \
         them.\n",
    );
}

/// Compares the document with the file, or writes it.
pub(crate) fn compare(document: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/FAULTS.md");
    if env::var_os(WRITE).is_some() {
        fs::write(&path, document).expect("failed to write the fault matrix");
        return;
    }
    let file = fs::read_to_string(&path).unwrap_or_default();
    assert!(
        file == document,
        "docs/FAULTS.md differs; set {WRITE}=1 to write it"
    );
}
