//! Random histories with faults at any step, and tests that their checker detects violations.

use std::time::Duration;

use primrose_order::Action;
use primrose_order::OrderConfig;
use primrose_order::ServerClient;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use crate::fleet::is_send;
use crate::fleet::Fleet;
use crate::servers::violations;
use crate::servers::WriterClient;
use crate::steps::Step;

const HISTORIES: u64 = 250;
const STEPS: usize = 120;
const SEED: u64 = 20_261_204;
const PROCESSES: usize = 3;
const CHECKS: [bool; 3] = [true, false, false];
const VERSION: &str = "7";

/// Time after the last fault within which every server must reach its desired state.
const SETTLE: Duration = Duration::from_secs(1800);

/// Runs a history, ends all faults and returns the violations.
fn run_history(steps: &[Step]) -> Vec<String> {
    let mut fleet = Fleet::new(PROCESSES, &CHECKS);
    for process in 0..PROCESSES {
        fleet.set_desired(process, "2", "");
    }
    for step in steps {
        step.apply(&mut fleet, CHECKS.len());
    }
    heal(&mut fleet);
    fleet.run(SETTLE);

    let mut problems = violations(&fleet.servers.sent());
    if fleet.servers.max_loading() > 1 {
        problems.push(format!("{} loads at once", fleet.servers.max_loading()));
    }
    for (server, version) in fleet.versions().iter().enumerate() {
        if version != VERSION {
            problems.push(format!("server {server} ended at version {version}"));
        }
    }
    problems
}

fn heal(fleet: &mut Fleet) {
    fleet.store.set_down(false);
    for server in 0..CHECKS.len() {
        fleet.servers.set_reachable(server, true);
        fleet.servers.set_fault(server, None);
    }
    for process in 0..PROCESSES {
        fleet.set_desired(process, VERSION, "");
    }
}

#[test]
fn random_histories_break_no_rule_and_converge() {
    fn property(steps: Vec<Step>) -> TestResult {
        let problems = run_history(&steps);
        if problems.is_empty() {
            return TestResult::passed();
        }
        TestResult::error(format!("{problems:?}"))
    }
    QuickCheck::new()
        .tests(HISTORIES)
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .quickcheck(property as fn(Vec<Step>) -> TestResult);
}

/// Sends the order of a paused process without checking its deadline, unlike an executor.
fn send_without_clock_check(fleet: &mut Fleet, process: usize) {
    let Some(Action::Send { addr, order, .. }) = fleet.processes[process].paused.take() else {
        panic!("the process is not about to send");
    };
    let client = WriterClient {
        writer: process,
        servers: fleet.servers.clone(),
    };
    client.send(addr, &order);
}

#[test]
fn the_checker_detects_a_holder_that_sends_after_its_lease_expired() {
    let mut fleet = Fleet::new(2, &[false]);
    fleet.set_desired(0, "2", "");
    assert!(fleet.pause_before(0, is_send));
    fleet.clock.advance(SETTLE);
    fleet.set_desired(1, "3", "");
    assert!(fleet.pause_before(1, is_send));
    fleet.resume(1);
    assert!(violations(&fleet.servers.sent()).is_empty());
    send_without_clock_check(&mut fleet, 0);
    assert_eq!(violations(&fleet.servers.sent()).len(), 1);
}

#[test]
fn the_checker_detects_a_writer_that_uses_the_fencing_number_of_another() {
    let mut fleet = Fleet::new(2, &[true]);
    fleet.set_desired(0, "2", "");
    assert!(fleet.pause_before(0, is_send));
    let action = fleet.processes[0].paused.clone();
    fleet.resume(0);
    fleet.processes[1].paused = action;
    send_without_clock_check(&mut fleet, 1);
    assert_eq!(violations(&fleet.servers.sent()).len(), 1);
}

#[test]
fn the_checker_detects_more_loads_than_the_limit() {
    let config = OrderConfig {
        max_loads: 2,
        ..OrderConfig::new("fleet", "", 0)
    };
    let mut fleet = Fleet::with_config(config, 1, &[true, true]);
    fleet.set_desired(0, "2", "");
    fleet.run(SETTLE);
    assert_eq!(fleet.servers.max_loading(), 2);
}
