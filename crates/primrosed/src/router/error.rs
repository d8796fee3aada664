//! Errors of starting a router.

use primrose_front::StartError;
use primrose_report::calendar::CalendarError;
use snafu::Snafu;

use crate::duty::operator::OperatorError;

/// Reason why the router could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum RouterError {
    /// The front, which serves callers, could not start.
    #[snafu(display("failed to start the front"))]
    Front {
        /// Underlying error.
        source: StartError,
    },
    /// The peer links could not start.
    #[snafu(display("failed to start the peer links"))]
    Link {
        /// Underlying error.
        source: primrose_link::StartError,
    },
    /// The operator listener could not start.
    #[snafu(display("failed to start the operators' listener"))]
    Operator {
        /// Underlying error.
        source: OperatorError,
    },
    /// The time zone of the day's report is invalid.
    #[snafu(display("failed to read the settings of the day"))]
    Day {
        /// Underlying error.
        source: CalendarError,
    },
    /// A thread could not be started.
    #[snafu(display("failed to start the {name} thread"))]
    Thread {
        /// Name of the thread.
        name: String,
        /// Underlying error.
        source: std::io::Error,
    },
}
