//! Local days of the deployment and their intervals.
//!
//! A day begins at local midnight in the configured time zone and is divided into intervals of 15
//! minutes, numbered from its beginning. A day on which clocks change has more or fewer intervals.

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
/// Maximum number of intervals of a day: clocks may be set back by up to three hours.
pub const MAX_INTERVALS: usize = 108;

/// Error for an unknown time zone or an invalid day.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CalendarError {
    /// The time zone does not exist.
    #[snafu(display("unknown time zone {name:?}"))]
    TimeZone {
        /// Name of the time zone.
        name: String,
    },
    /// The text is not a day in the form `2026-12-04`.
    #[snafu(display("expected a day such as 2026-12-04, found {text:?}"))]
    Day {
        /// Invalid text.
        text: String,
    },
}

/// One interval of a local day.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DayInterval {
    /// Local day.
    pub day: DayId,
    /// Number of the interval, from 0.
    pub interval: usize,
}

/// Maps wall-clock times to the local days and intervals of one time zone.
#[derive(Debug, Clone)]
pub struct Calendar {
    zone: TimeZone,
    name: String,
}

impl Calendar {
    /// Creates the calendar of a time zone, given by its IANA name.
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

    /// Returns the day and interval that contain a point in time.
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

    /// Formats the local time of day, such as `18:30`.
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
        // Only the canonical form is accepted, since the name is part of keys in the key-value
        // service.
        let date = date.filter(|date| date.to_string() == day);
        let start = date.and_then(|date| date.to_zoned(self.zone.clone()).ok());
        match start {
            Some(start) => Ok(start),
            None => DaySnafu { text: day }.fail(),
        }
    }

    /// Converts to local time; a time out of range is treated as the Unix epoch.
    fn to_local(&self, wall: SystemTime) -> Zoned {
        let now = Timestamp::try_from(wall).unwrap_or(Timestamp::UNIX_EPOCH);
        now.to_zoned(self.zone.clone())
    }
}

/// Returns the day that is `days` days before `day`.
pub fn days_before(day: &str, days: i32) -> Option<DayId> {
    let date: Date = day.parse().ok()?;
    let before = date.checked_sub(days.days()).ok()?;
    Some(before.to_string())
}

fn seconds_per_interval() -> usize {
    usize::try_from(INTERVAL.as_secs()).unwrap_or(usize::MAX)
}
