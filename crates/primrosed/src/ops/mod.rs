//! Operations of the program, independent of its command line.

pub mod check;
pub mod error;
pub mod gateway;
pub mod run;

use std::path::PathBuf;

use primrose_platform::settings::is_platform_format;
use snafu::OptionExt;
use snafu::ResultExt;

use crate::cli::Options;
use crate::cli::Source;
use crate::ops::error::ProgramError;
use crate::ops::error::ReadSnafu;
use crate::ops::error::VariableSnafu;

/// Runs or checks a router or a gateway, depending on the options and the settings format.
pub fn start(options: &Options) -> Result<u8, ProgramError> {
    let path = path(&options.source)?;
    let text = std::fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
    match (is_platform_format(&text), options.check) {
        (true, true) => gateway::check(&path),
        (true, false) => gateway::run(&path, options),
        (false, true) => check::check(&path),
        (false, false) => run::run(&path),
    }
}

fn path(source: &Source) -> Result<PathBuf, ProgramError> {
    match source {
        Source::File(path) => Ok(path.clone()),
        Source::Variable(name) => {
            let value = std::env::var_os(name);
            value.map(PathBuf::from).context(VariableSnafu { name })
        }
    }
}
