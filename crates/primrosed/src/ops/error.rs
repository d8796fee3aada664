//! Why the program ended.

use std::path::PathBuf;

use primrose_gateway::StartError;
use primrose_link::KeyError;
use primrose_platform::settings::SettingsError;
use primrose_table::ini::Faults;
use snafu::Snafu;

use crate::router::RouterError;

/// Exit code of a failure while running.
const EXIT_FAILED: u8 = 1;
/// Exit code of bad settings.
const EXIT_BAD_SETTINGS: u8 = 2;

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
    /// The environment does not name a settings file.
    #[snafu(display("failed to find the settings: the environment variable {name} is not set"))]
    Variable {
        /// The variable.
        name: String,
    },
    /// The platform's settings cannot be used.
    #[snafu(display("failed to use {}", path.display()))]
    PlatformSettings {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: SettingsError,
    },
    /// The gateway could not start.
    #[snafu(display("failed to start the gateway"))]
    Gateway {
        /// The cause.
        source: StartError,
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
            Self::Read { .. }
            | Self::Variable { .. }
            | Self::PlatformSettings { .. }
            | Self::Settings { .. }
            | Self::PeerKey { .. } => EXIT_BAD_SETTINGS,
            Self::Start { .. } | Self::Gateway { .. } | Self::Signals { .. } => EXIT_FAILED,
        }
    }
}
