//! Order of the ids of a stream's events.
//!
//! Ids increase within a stream. Where another server goes on, it must neither repeat events nor leave
//! some out. What comes next is known if the ids have had the same distance so far.

use crate::adapter::EventId;
use crate::split::StreamFault;

/// Id from which a stream counts its events, if it counts them.
const FIRST_COUNTED: EventId = 1;

/// Distance between the ids of two successive events.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Distance {
    #[default]
    Unknown,
    /// The stream has one event yet, which seems to be counted.
    Assumed,
    Constant(u64),
    Varying,
}

/// The ids of a stream's events so far.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sequence {
    last: Option<EventId>,
    distance: Distance,
    /// Whether the next event is the first of a server that goes on.
    is_continued: bool,
}

impl Sequence {
    /// Creates the sequence of a stream that goes on after an event; none if it begins.
    pub(crate) fn starting_after(last: Option<EventId>) -> Self {
        Self {
            last,
            is_continued: last.is_some(),
            ..Self::default()
        }
    }

    /// Returns the sequence with which another server goes on.
    pub(crate) fn continued(self) -> Self {
        Self {
            is_continued: true,
            ..self
        }
    }

    /// Returns the id of the last event.
    pub(crate) fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Adds the id of the next event, unless it cannot be the next one.
    pub(crate) fn add(&mut self, id: EventId) -> Result<(), StreamFault> {
        self.distance = match self.last {
            None if id == FIRST_COUNTED => Distance::Assumed,
            None => Distance::Unknown,
            Some(last) => self.next_distance(id.saturating_sub(last))?,
        };
        self.last = Some(id);
        self.is_continued = false;
        Ok(())
    }

    /// Returns what is known of the distance with an event at `distance` from the last one.
    fn next_distance(&self, distance: u64) -> Result<Distance, StreamFault> {
        if distance == 0 {
            return Err(StreamFault::OutOfOrder);
        }
        if self.is_continued {
            let expected = match self.distance {
                Distance::Constant(expected) => expected,
                Distance::Assumed => FIRST_COUNTED,
                Distance::Unknown | Distance::Varying => return Ok(self.distance),
            };
            let is_next = distance == expected;
            return is_next.then_some(self.distance).ok_or(StreamFault::Missing);
        }
        Ok(match self.distance {
            Distance::Unknown | Distance::Assumed => Distance::Constant(distance),
            Distance::Constant(known) if known != distance => Distance::Varying,
            known => known,
        })
    }
}
