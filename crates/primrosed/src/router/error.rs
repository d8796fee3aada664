//! Why a router could not start.

use primrose_front::StartError;
use primrose_report::calendar::CalendarError;
use snafu::Snafu;

use crate::threads::operator::OperatorError;

/// The router could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum RouterError {
    /// The callers' side.
    #[snafu(display("failed to start the front"))]
    Front {
        /// The cause.
        source: StartError,
    },
    /// The peers' side.
    #[snafu(display("failed to start the peer links"))]
    Link {
        /// The cause.
        source: primrose_link::StartError,
    },
    /// The operators' side.
    #[snafu(display("failed to start the operators' listener"))]
    Operator {
        /// The cause.
        source: OperatorError,
    },
    /// The settings name no time zone for the day.
    #[snafu(display("failed to read the settings of the day"))]
    Day {
        /// The cause.
        source: CalendarError,
    },
    /// A thread could not be made.
    #[snafu(display("failed to start the {name} thread"))]
    Thread {
        /// Name of the thread.
        name: String,
        /// The cause.
        source: std::io::Error,
    },
}
