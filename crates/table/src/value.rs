//! Parses and formats single values: durations, sizes, numbers, names, addresses.
//!
//! The error of each parser describes the expected value, so that the caller can add file, line
//! and key. Each `format_*` function is the inverse of its parser.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::table::PoolKind;

/// Maximum length of the name of a route, pool, account, server, host or zone, in bytes.
pub const MAX_NAME: usize = 64;
/// Maximum duration in a document.
pub const MAX_DURATION: Duration = Duration::from_secs(366 * 24 * 60 * 60);

/// Units of durations with their length in microseconds, largest first.
const TIME_UNITS: [(&str, u64); 5] = [
    ("h", 3_600_000_000),
    ("m", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

/// Units of sizes with their length in bytes, largest first.
const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Splits a number from the unit that follows it.
fn split_unit(text: &str) -> Option<(u64, &str)> {
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let number = text[..end].parse().ok()?;
    Some((number, text[end..].trim_start()))
}

fn parse_scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let (number, unit) = split_unit(text)?;
    let (_, length) = units.iter().find(|(name, _)| *name == unit)?;
    number.checked_mul(*length)
}

/// Parses a duration above zero, such as `1300ms` or `30s`.
pub fn duration(text: &str) -> Result<Duration, String> {
    let micros = parse_scaled(text, &TIME_UNITS).unwrap_or(0);
    let value = Duration::from_micros(micros);
    if value.is_zero() || value > MAX_DURATION {
        return Err("a duration above 0 and up to a year, such as 1300ms, 30s or 5m".into());
    }
    Ok(value)
}

/// Formats a duration as a whole number of the largest possible unit.
pub fn format_duration(value: Duration) -> String {
    let micros = u64::try_from(value.as_micros()).unwrap_or(u64::MAX);
    format_scaled(micros, &TIME_UNITS)
}

/// Parses a size above zero, such as `64KiB`.
pub fn size(text: &str) -> Result<usize, String> {
    let bytes = parse_scaled(text, &SIZE_UNITS).unwrap_or(0);
    match usize::try_from(bytes) {
        Ok(bytes) if bytes > 0 => Ok(bytes),
        _ => Err("a size above 0, such as 512B, 64KiB or 4MiB".into()),
    }
}

/// Formats a size as a whole number of the largest possible unit.
pub fn format_size(value: usize) -> String {
    format_scaled(u64::try_from(value).unwrap_or(u64::MAX), &SIZE_UNITS)
}

fn format_scaled(value: u64, units: &[(&str, u64)]) -> String {
    let unit = units.iter().find(|(_, length)| value % length == 0);
    match unit {
        Some((unit, length)) => format!("{}{unit}", value / length),
        None => value.to_string(),
    }
}

/// Parses `yes` or `no`.
pub fn yes_no(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err("yes or no".into()),
    }
}

/// Formats as `yes` or `no`.
pub fn format_yes_no(value: bool) -> &'static str {
    if value {
        "yes"
    } else {
        "no"
    }
}

/// Parses a whole number, zero included.
pub fn number(text: &str) -> Result<u64, String> {
    text.parse().map_err(|_| "a whole number".into())
}

/// Parses a whole number from 1 that fits 32 bits.
pub fn positive_u32(text: &str) -> Result<u32, String> {
    match text.parse() {
        Ok(value) if value > 0 => Ok(value),
        _ => Err("a whole number from 1".into()),
    }
}

/// Parses a whole number from 1 that fits a `usize`.
pub fn positive_usize(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(value) if value > 0 => Ok(value),
        _ => Err("a whole number from 1".into()),
    }
}

/// Parses a name: letters, digits, `.`, `_` and `-`.
pub fn name(text: &str) -> Result<String, String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    if text.is_empty() || text.len() > MAX_NAME || !text.chars().all(is_allowed) {
        return Err(format!(
            "a name of up to {MAX_NAME} letters, digits, '.', '_' and '-'"
        ));
    }
    Ok(text.to_owned())
}

/// Parses a word without white space or control characters, such as a model's name.
pub fn word(text: &str) -> Result<String, String> {
    let is_disallowed = |c: char| c.is_whitespace() || c.is_control();
    if text.is_empty() || text.len() > MAX_NAME || text.contains(is_disallowed) {
        return Err(format!(
            "a word of up to {MAX_NAME} bytes without white space"
        ));
    }
    Ok(text.to_owned())
}

/// Parses the exact path of a plain service.
pub fn path(text: &str) -> Result<String, String> {
    /// Maximum length of a path, in bytes.
    const MAX_PATH: usize = 512;
    let is_allowed = |c: char| c.is_ascii_graphic() && !"?#".contains(c);
    if !text.starts_with('/') || text.len() > MAX_PATH || !text.chars().all(is_allowed) {
        return Err("a path that begins with / and contains no white space, ? or #".into());
    }
    Ok(text.to_owned())
}

/// Parses a socket address: an IP address with a port.
pub fn addr(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| "an address by IP number with a port, such as 10.0.1.4:8000".into())
}

/// Parses the kind of a pool.
pub fn pool_kind(text: &str) -> Result<PoolKind, String> {
    match text {
        "engine" => Ok(PoolKind::Engine),
        "plain" => Ok(PoolKind::Plain),
        _ => Err("engine or plain".into()),
    }
}

/// An address with its availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZonedAddr {
    /// Availability zone.
    pub zone: String,
    /// IP address and port.
    pub addr: SocketAddr,
}

/// Parses `ZONE@IP:PORT`.
pub fn zoned_addr(text: &str) -> Result<ZonedAddr, String> {
    let parts = text.split_once('@');
    let parsed = parts.and_then(|(zone, address)| {
        Some(ZonedAddr {
            zone: name(zone.trim()).ok()?,
            addr: addr(address.trim()).ok()?,
        })
    });
    parsed.ok_or_else(|| "ZONE@IP:PORT, such as barasat@10.0.1.4:8000".into())
}
