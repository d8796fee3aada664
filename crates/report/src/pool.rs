//! Counters of one pool in a record.

use primrose_core::cost::Service;
use primrose_core::id::AccountId;
use primrose_core::outcome::Outcome;
use serde::Deserialize;
use serde::Serialize;

use crate::histogram::DurationHistogram;
use crate::observation::Ending;
use crate::series::Series;

/// Number of answers by the way they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// Delivered completely.
    pub whole: u64,
    /// Ended early with an error.
    pub broken: u64,
    /// Abandoned because the caller disconnected.
    pub abandoned: u64,
}

/// Number of non-idempotent requests by the outcome reported to the caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Reported as done.
    pub done: u64,
    /// Reported as not run.
    pub not_run: u64,
    /// Reported as unknown.
    pub unknown: u64,
    /// Requests found to have run twice.
    pub doubled: u64,
}

/// Largest difference in service between two backlogged accounts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorstGap {
    /// Account with the most service relative to its weight.
    pub ahead: AccountId,
    /// Account with the least service relative to its weight.
    pub behind: AccountId,
    /// Difference of their service, each divided by its weight, in units of service.
    pub gap: Service,
    /// Interval in which it was observed.
    pub interval: usize,
}

/// Time integrals of slots and queue length per interval, in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotTime {
    /// Slots of all servers.
    pub slots: Series,
    /// Slots in use.
    pub busy: Series,
    /// Free slots that a waiting request could have used.
    pub idle: Series,
    /// Waiting requests.
    pub queue: Series,
    /// Time that the other series cover.
    pub span: Series,
}

/// Counters of one pool.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolRecord {
    /// Time to the first token.
    pub first_token: DurationHistogram,
    /// Time between tokens.
    pub inter_token: DurationHistogram,
    /// Answers by the way they ended.
    pub answers: Answers,
    /// Non-idempotent requests by reported outcome.
    pub orders: Orders,
    /// Requests refused as poison for the first time.
    pub poison: u64,
    /// Servers lost to poison requests.
    pub lost: u64,
    /// Requests given to a draining server after its deadline.
    pub after_leaving: u64,
    /// Service of all accounts, by interval.
    pub served: Series,
    /// Slot use and queue length, by interval.
    pub slot_time: SlotTime,
    /// Largest difference in service between two backlogged accounts, by interval.
    pub gaps: Series,
    /// Largest difference in service of the day.
    pub worst: Option<WorstGap>,
}

impl PoolRecord {
    pub(crate) fn count_answer(&mut self, ending: Ending) {
        match ending {
            Ending::Whole => self.answers.whole += 1,
            Ending::Broken => self.answers.broken += 1,
            Ending::Abandoned => self.answers.abandoned += 1,
        }
    }

    pub(crate) fn count_order(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Done => self.orders.done += 1,
            Outcome::NotRun => self.orders.not_run += 1,
            Outcome::Unknown => self.orders.unknown += 1,
        }
    }

    pub(crate) fn merge_gap(&mut self, worst: WorstGap) {
        self.gaps.raise(worst.interval, worst.gap);
        let known = self.worst.as_ref().map_or(0, |known| known.gap);
        if worst.gap > known {
            self.worst = Some(worst);
        }
    }

    /// Adds the counters of another router.
    pub fn add_all(&mut self, other: &Self) {
        self.first_token.add_all(&other.first_token);
        self.inter_token.add_all(&other.inter_token);
        self.answers.whole += other.answers.whole;
        self.answers.broken += other.answers.broken;
        self.answers.abandoned += other.answers.abandoned;
        self.orders.done += other.orders.done;
        self.orders.not_run += other.orders.not_run;
        self.orders.unknown += other.orders.unknown;
        self.orders.doubled += other.orders.doubled;
        self.poison += other.poison;
        self.lost += other.lost;
        self.after_leaving += other.after_leaving;
        self.served.add_all(&other.served);
        self.slot_time.add_all(&other.slot_time);
        // Every dispatcher compares the same accounts over the whole fleet, so the maximum
        // counts, not the sum.
        self.gaps.raise_all(&other.gaps);
        if let Some(worst) = &other.worst {
            self.merge_gap(worst.clone());
        }
    }
}

impl SlotTime {
    fn add_all(&mut self, other: &Self) {
        self.slots.add_all(&other.slots);
        self.busy.add_all(&other.busy);
        self.idle.add_all(&other.idle);
        self.queue.add_all(&other.queue);
        self.span.raise_all(&other.span);
    }
}
