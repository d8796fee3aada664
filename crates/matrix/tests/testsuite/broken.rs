//! Rules broken on purpose: the checker must notice each of them.

use crate::matrix::strikes;
use crate::orders;
use crate::orders::OrderFlaw;
use crate::scenario;
use crate::sequences;
use crate::sim::flaw::Flaw;
use crate::sim::flaw::FLAWS;
use crate::steps::Process;
use crate::tables;
use crate::tables::TableFlaw;

/// Rules that are broken here.
pub(crate) const COUNT: usize = FLAWS.len() + TABLE_FLAWS.len() + ORDER_FLAWS.len();
const ORDER_FLAWS: [OrderFlaw; 2] = [OrderFlaw::IgnoresLease, OrderFlaw::TrustsOrders];
const TABLE_FLAWS: [TableFlaw; 3] = [
    TableFlaw::TakesAnything,
    TableFlaw::Overwrites,
    TableFlaw::GuessesApplied,
];

/// Whether any single fault brings the flaw to light.
fn is_caught(flaw: Flaw) -> bool {
    if !sequences::poison(Some(flaw)).violations.is_empty() {
        return true;
    }
    let processes = [Process::Claim, Process::Shutdown, Process::Request];
    processes.into_iter().any(|process| {
        let mut strikes = strikes(process).into_iter();
        strikes.any(|strike| {
            let found = scenario::run(process, &[strike], Some(flaw));
            !found.violations.is_empty()
        })
    })
}

#[test]
fn every_broken_rule_is_noticed() {
    for flaw in FLAWS {
        assert!(is_caught(flaw), "{flaw:?} was not noticed");
    }
}

#[test]
fn every_broken_rule_of_the_tables_is_noticed() {
    for flaw in TABLE_FLAWS {
        let mut strikes = strikes(Process::Table).into_iter();
        let caught = strikes.any(|one| !tables::run(&[one], Some(flaw)).violations.is_empty());
        assert!(caught, "{flaw:?} was not noticed");
    }
}

#[test]
fn every_broken_rule_of_orders_is_noticed() {
    for flaw in ORDER_FLAWS {
        let mut strikes = strikes(Process::ServerOrder).into_iter();
        let caught = strikes.any(|one| !orders::run(&[one], Some(flaw)).violations.is_empty());
        assert!(caught, "{flaw:?} was not noticed");
    }
}
