//! Errors of the program and their exit codes.

use std::path::PathBuf;

use primrose_gateway::StartError;
use primrose_link::KeyError;
use primrose_platform::settings::SettingsError;
use primrose_table::ini::Faults;
use snafu::Snafu;

use crate::router::RouterError;

/// Exit code of a failure to start or run.
const EXIT_FAILED: u8 = 1;
/// Exit code of invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Reason why the program failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProgramError {
    /// A file could not be read.
    #[snafu(display("failed to read {}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The environment variable for the settings file is not set.
    #[snafu(display("failed to find the settings: the environment variable {name} is not set"))]
    Variable {
        /// Name of the variable.
        name: String,
    },
    /// The platform settings are invalid.
    #[snafu(display("failed to use {}", path.display()))]
    PlatformSettings {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: SettingsError,
    },
    /// The gateway could not start.
    #[snafu(display("failed to start the gateway"))]
    Gateway {
        /// Underlying error.
        source: StartError,
    },
    /// The settings are invalid.
    #[snafu(display("failed to read the settings\n{faults}"))]
    Settings {
        /// All faults, each with file, line and key.
        faults: Faults,
    },
    /// The peer key is invalid.
    #[snafu(display("failed to read the peer key in {}", path.display()))]
    PeerKey {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: KeyError,
    },
    /// The router could not start.
    #[snafu(display("failed to start the router"))]
    Start {
        /// Underlying error.
        source: RouterError,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("failed to handle signals"))]
    Signals {
        /// Underlying error.
        source: std::io::Error,
    },
}

impl ProgramError {
    /// Returns the exit code for the error.
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
