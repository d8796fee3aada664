//! Measurements of a local deployment, each against its target.
//!
//! Every measurement runs real routers over real loopback links, reads what happened from the
//! stand-ins' own record, never from a router, and gives [`Figure`]s.

mod config;
mod control;
mod fairness;
mod figure;
mod first_token;
mod load;
mod process;
mod sample;
mod utilisation;

use snafu::Snafu;

use crate::deployment::DeploymentError;

pub use config::config;
pub use control::control;
pub use fairness::fairness;
pub use figure::Figure;
pub use figure::Target;
pub use first_token::first_token;
pub use utilisation::utilisation;

/// A measurement could not be made.
#[derive(Debug, Snafu)]
pub enum MeasureError {
    /// The deployment did not start.
    #[snafu(display("failed to run the deployment"), context(false))]
    Deployment {
        /// The cause.
        source: DeploymentError,
    },
    /// A caller got no answer at all.
    #[snafu(display("failed to send a request"), context(false))]
    Caller {
        /// The cause.
        source: std::io::Error,
    },
}

/// Result of a measurement.
pub type Result<T> = std::result::Result<T, MeasureError>;
