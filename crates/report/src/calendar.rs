//! The deployment's local day, and its intervals.
//!
//! A day begins at the local midnight of the time zone in the settings and is cut into intervals
//! of 15 minutes, counted from its beginning. A day on which clocks change has more or fewer of
//! them.

use std::time::Duration;
use std::time::SystemTime;

use jiff::civil::Date;
use jiff::tz::TimeZone;
use jiff::Timestamp;
use jiff::ToSpan;
use jiff::Zoned;
use snafu::Snafu;

/// A local day, written as `2026-12-04`.
pub type DayId = String;

/// Length of one interval.
pub const INTERVAL: Duration = Duration::from_secs(15 * 60);
/// Intervals of the longest day, on which a clock is put back by up to three hours.
pub const MAX_INTERVALS: usize = 108;

/// A calendar could not answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CalendarError {
    /// No such time zone.
    #[snafu(display("unknown time zone {name:?}"))]
    TimeZone {
        /// The name that was given.
        name: String,
    },
    /// The text is no day.
    #[snafu(display("expected a day such as 2026-12-04, found {text:?}"))]
    Day {
        /// The text that was given.
        text: String,
    },
}

/// A moment, as a day and an interval of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DayInterval {
    /// The day.
    pub day: DayId,
    /// Number of the interval, from 0.
    pub interval: usize,
}

/// The days of one time zone.
#[derive(Debug, Clone)]
pub struct Calendar {
    zone: TimeZone,
    name: String,
}

impl Calendar {
    /// Makes the calendar of a time zone, given by its IANA name.
    pub fn new(name: &str) -> Result<Self, CalendarError> {
        match TimeZone::get(name) {
            Ok(zone) => Ok(Self {
                zone,
                name: name.to_owned(),
            }),
            Err(_) => TimeZoneSnafu { name }.fail(),
        }
    }

    /// Returns the IANA name of the time zone.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the day and interval of a moment.
    pub fn locate(&self, wall: SystemTime) -> DayInterval {
        let now = self.to_local(wall);
        let elapsed = match now.start_of_day() {
            Ok(start) => now.timestamp().as_second() - start.timestamp().as_second(),
            Err(_) => 0,
        };
        let interval = usize::try_from(elapsed).unwrap_or(0) / seconds_per_interval();
        DayInterval {
            day: now.date().to_string(),
            interval: interval.min(MAX_INTERVALS - 1),
        }
    }

    /// Returns the time of day of a moment, as `18:30`.
    pub fn time_of_day(&self, wall: SystemTime) -> String {
        self.to_local(wall).strftime("%H:%M").to_string()
    }

    /// Returns how many intervals a day has.
    pub fn intervals(&self, day: &str) -> Result<usize, CalendarError> {
        let start = self.day_start(day)?;
        let length = start
            .date()
            .checked_add(1.day())
            .and_then(|next| next.to_zoned(self.zone.clone()))
            .map(|next| next.timestamp().as_second() - start.timestamp().as_second());
        let seconds = length.ok().and_then(|length| usize::try_from(length).ok());
        let count = seconds.unwrap_or(0).div_ceil(seconds_per_interval());
        Ok(count.clamp(1, MAX_INTERVALS))
    }

    /// Returns when an interval of a day begins.
    pub fn interval_start(&self, day: &str, interval: usize) -> Result<SystemTime, CalendarError> {
        let start = SystemTime::from(self.day_start(day)?.timestamp());
        let offset = INTERVAL * u32::try_from(interval.min(MAX_INTERVALS)).unwrap_or(0);
        Ok(start + offset)
    }

    fn day_start(&self, day: &str) -> Result<Zoned, CalendarError> {
        let date: Option<Date> = day.parse().ok();
        // One day has one name: it is part of keys in the service.
        let date = date.filter(|date| date.to_string() == day);
        let start = date.and_then(|date| date.to_zoned(self.zone.clone()).ok());
        match start {
            Some(start) => Ok(start),
            None => DaySnafu { text: day }.fail(),
        }
    }

    /// A clock that shows an impossible year is taken to stand at the epoch.
    fn to_local(&self, wall: SystemTime) -> Zoned {
        let now = Timestamp::try_from(wall).unwrap_or(Timestamp::UNIX_EPOCH);
        now.to_zoned(self.zone.clone())
    }
}

/// Returns the day that lies this many days before another.
pub fn days_before(day: &str, days: i32) -> Option<DayId> {
    let date: Date = day.parse().ok()?;
    let before = date.checked_sub(days.days()).ok()?;
    Some(before.to_string())
}

fn seconds_per_interval() -> usize {
    usize::try_from(INTERVAL.as_secs()).unwrap_or(usize::MAX)
}
