//! Elapsed part of a day, and the gaps in its data.

use primrose_core::id::ZoneId;

use crate::calendar::INTERVAL;
use crate::page::Gap;
use crate::page::PageContext;
use crate::total::Total;

/// Seconds of an interval that may lack data before it counts as a gap: a restart may take as long.
const MAX_UNSEEN_SECS: u64 = 150;
/// Label for the end of a day.
const DAY_END: &str = "24:00";
/// Most recent complete intervals whose records may not have arrived yet, so that they are no gap.
const UNSETTLED_INTERVALS: usize = 1;

/// Elapsed part of a day, in intervals.
pub(crate) struct DayProgress {
    pub(crate) intervals: usize,
    pub(crate) elapsed: usize,
    pub(crate) over: bool,
}

impl DayProgress {
    pub(crate) fn new(total: &Total, context: &PageContext<'_>) -> Self {
        let intervals = context.calendar.intervals(&total.day).unwrap_or(1);
        let located = context.calendar.locate(context.now);
        // Day names are ISO dates, so they compare chronologically.
        let over = located.day > total.day;
        let elapsed = match over {
            true => intervals,
            false if located.day == total.day => (located.interval + 1).min(intervals),
            false => 0,
        };
        Self {
            intervals,
            elapsed,
            over,
        }
    }

    /// Returns the number of intervals that are old enough to be reported as a gap.
    fn settled_intervals(&self) -> usize {
        match self.over {
            true => self.intervals,
            false => self.elapsed.saturating_sub(1 + UNSETTLED_INTERVALS),
        }
    }
}

/// Returns the time spans without data, by zone.
pub(crate) fn gaps(total: &Total, context: &PageContext<'_>, progress: &DayProgress) -> Vec<Gap> {
    let mut zones: Vec<&ZoneId> = context.zones.iter().chain(total.covered.keys()).collect();
    zones.sort();
    zones.dedup();
    let mut gaps = Vec::new();
    for zone in zones {
        let covered = total.covered.get(zone);
        let seen = |interval| {
            let seconds = covered.map_or(0, |series| series.get(interval));
            seconds + MAX_UNSEEN_SECS >= INTERVAL.as_secs()
        };
        let mut interval = 0;
        while interval < progress.settled_intervals() {
            let first = interval;
            while interval < progress.settled_intervals() && !seen(interval) {
                interval += 1;
            }
            if interval > first {
                gaps.push(gap(total, context, zone, first, interval - first));
            }
            interval += 1;
        }
    }
    gaps
}

fn gap(
    total: &Total,
    context: &PageContext<'_>,
    zone: &str,
    first: usize,
    intervals: usize,
) -> Gap {
    let length = context.calendar.intervals(&total.day).unwrap_or(usize::MAX);
    let time = |interval| {
        let begin = context.calendar.interval_start(&total.day, interval);
        begin.map_or_else(
            |_| String::new(),
            |begin| context.calendar.time_of_day(begin),
        )
    };
    Gap {
        zone: zone.to_owned(),
        from: time(first),
        to: match first + intervals >= length {
            // `00:00` would read as the beginning of this day.
            true => DAY_END.to_owned(),
            false => time(first + intervals),
        },
        first,
        intervals,
    }
}
