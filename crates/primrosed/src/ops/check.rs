//! Reads and checks settings files.

use std::path::Path;

use primrose_link::Key;
use primrose_link::Keys;
use primrose_settings::Settings;
use snafu::ResultExt;

use crate::ops::error::PeerKeySnafu;
use crate::ops::error::ProgramError;
use crate::ops::error::ReadSnafu;

/// Reads and checks a settings file.
pub fn read(path: &Path) -> Result<Settings, ProgramError> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    let name = path.display().to_string();
    Settings::parse(&name, &text).map_err(|faults| ProgramError::Settings { faults })
}

/// Reads the peer keys, one per line; the first one signs.
pub fn read_keys(path: &Path) -> Result<Keys, ProgramError> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    let keys: Result<Vec<Key>, _> = lines.map(|line| Key::from_bytes(line.as_bytes())).collect();
    keys.and_then(Keys::new).context(PeerKeySnafu { path })
}

/// Checks a settings file and prints which router it configures.
pub fn check(path: &Path) -> Result<u8, ProgramError> {
    let settings = read(path)?;
    println!(
        "Checked {}: router {} in availability zone {}",
        path.display(),
        settings.router.host,
        settings.router.zone
    );
    Ok(0)
}
