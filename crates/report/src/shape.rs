//! How much of a day has passed, and what of it nobody saw.

use primrose_core::id::ZoneId;

use crate::calendar::INTERVAL;
use crate::page::Gap;
use crate::page::PageContext;
use crate::total::Total;

/// Seconds of an interval that may be unseen before it is a gap: a restart takes as long.
const UNSEEN_SECS: u64 = 150;
/// How the end of a day is written.
const DAY_END: &str = "24:00";
/// Intervals at the end that are too fresh to call a gap.
const FRESH: usize = 1;

/// How much of the day has passed.
pub(crate) struct Shape {
    pub(crate) intervals: usize,
    pub(crate) passed: usize,
    pub(crate) over: bool,
}

impl Shape {
    pub(crate) fn new(total: &Total, view: &PageContext<'_>) -> Self {
        let intervals = view.calendar.intervals(&total.day).unwrap_or(1);
        let place = view.calendar.locate(view.now);
        // Days are written so that their text sorts as they follow each other.
        let over = place.day > total.day;
        let passed = match over {
            true => intervals,
            false if place.day == total.day => (place.interval + 1).min(intervals),
            false => 0,
        };
        Self {
            intervals,
            passed,
            over,
        }
    }

    /// Returns how many intervals are old enough to be called a gap.
    fn settled(&self) -> usize {
        match self.over {
            true => self.intervals,
            false => self.passed.saturating_sub(1 + FRESH),
        }
    }
}

/// Returns the times during which a zone was not seen.
pub(crate) fn gaps(total: &Total, view: &PageContext<'_>, shape: &Shape) -> Vec<Gap> {
    let mut zones: Vec<&ZoneId> = view.zones.iter().chain(total.covered.keys()).collect();
    zones.sort();
    zones.dedup();
    let mut gaps = Vec::new();
    for zone in zones {
        let covered = total.covered.get(zone);
        let seen = |interval| {
            let seconds = covered.map_or(0, |series| series.get(interval));
            seconds + UNSEEN_SECS >= INTERVAL.as_secs()
        };
        let mut interval = 0;
        while interval < shape.settled() {
            let first = interval;
            while interval < shape.settled() && !seen(interval) {
                interval += 1;
            }
            if interval > first {
                gaps.push(gap(total, view, zone, first, interval - first));
            }
            interval += 1;
        }
    }
    gaps
}

fn gap(total: &Total, view: &PageContext<'_>, zone: &str, first: usize, intervals: usize) -> Gap {
    let length = view.calendar.intervals(&total.day).unwrap_or(usize::MAX);
    let time = |interval| {
        let begin = view.calendar.interval_start(&total.day, interval);
        begin.map_or_else(|_| String::new(), |begin| view.calendar.time_of_day(begin))
    };
    Gap {
        zone: zone.to_owned(),
        from: time(first),
        to: match first + intervals >= length {
            // The next day's 00:00 would read as this day's beginning.
            true => DAY_END.to_owned(),
            false => time(first + intervals),
        },
        first,
        intervals,
    }
}
