//! One pool's part of a record.

use primrose_core::cost::Service;
use primrose_core::id::AccountId;
use primrose_core::outcome::Outcome;
use serde::Deserialize;
use serde::Serialize;

use crate::histogram::DurationHistogram;
use crate::observation::Ending;
use crate::series::Series;

/// Answers by how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// Whole.
    pub whole: u64,
    /// Broken off with an error.
    pub broken: u64,
    /// The caller went away.
    pub abandoned: u64,
}

/// Non-idempotent requests by what their callers were told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Done.
    pub done: u64,
    /// Not run.
    pub not_run: u64,
    /// Unknown.
    pub unknown: u64,
    /// Found to have run twice.
    pub doubled: u64,
}

/// The widest difference of service between two backlogged accounts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorstGap {
    /// Account that got most for its weight.
    pub ahead: AccountId,
    /// Account that got least for its weight.
    pub behind: AccountId,
    /// Difference, in units of service.
    pub gap: Service,
    /// Interval in which it was seen.
    pub interval: usize,
}

/// Slots and queue by interval, each multiplied by time, in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotTime {
    /// All slots.
    pub slots: Series,
    /// Slots that were taken.
    pub busy: Series,
    /// Slots that were free while something waited.
    pub idle: Series,
    /// Requests that waited.
    pub queue: Series,
    /// Time over which the above was seen.
    pub span: Series,
}

/// What one router counted for one pool.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolRecord {
    /// Time to the first token.
    pub first_token: DurationHistogram,
    /// Time between tokens.
    pub inter_token: DurationHistogram,
    /// Answers.
    pub answers: Answers,
    /// Non-idempotent requests.
    pub orders: Orders,
    /// Requests refused as poison for the first time.
    pub poison: u64,
    /// Servers lost to poison requests.
    pub lost: u64,
    /// Times that a leaving server got new work too late.
    pub after_leaving: u64,
    /// Service of all accounts.
    pub served: Series,
    /// Slots and queue.
    pub slot_time: SlotTime,
    /// Widest difference of service, by interval.
    pub gaps: Series,
    /// Widest difference of service of the day.
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

    /// Adds what another router counted.
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
        // Dispatchers compare the same accounts over the whole fleet: the widest counts, not the sum.
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
