//! Why the program ended.

use std::path::PathBuf;

use primrose_link::KeyError;
use primrose_table::ini::Faults;
use snafu::Snafu;

use crate::router::RouterError;

/// Exit code of a failure while running.
const FAILED: u8 = 1;
/// Exit code of bad settings.
const BAD_SETTINGS: u8 = 2;

/// Why the program ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProgramError {
    /// A file could not be read.
    #[snafu(display("failed to read {}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings have faults.
    #[snafu(display("failed to read the settings\n{faults}"))]
    Settings {
        /// Each fault with file, line and key.
        faults: Faults,
    },
    /// The peer key cannot be used.
    #[snafu(display("failed to read the peer key in {}", path.display()))]
    PeerKey {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: KeyError,
    },
    /// The router could not start.
    #[snafu(display("failed to start the router"))]
    Start {
        /// The cause.
        source: RouterError,
    },
    /// Signals could not be handled.
    #[snafu(display("failed to handle signals"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
}

impl ProgramError {
    /// Exit code that goes with the error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Read { .. } | Self::Settings { .. } | Self::PeerKey { .. } => BAD_SETTINGS,
            Self::Start { .. } | Self::Signals { .. } => FAILED,
        }
    }
}
