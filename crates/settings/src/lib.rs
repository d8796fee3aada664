//! Settings of one router process, read from an INI file.
//!
//! The settings say what a process cannot learn from the fleet: its own name and place, where it
//! listens, where to look for peers and for the platform, and the limits towards callers. What
//! operators change while the fleet runs stands in the two tables (`primrose-table`) instead, so
//! that it is in force everywhere at once. Both are read by the same [`primrose_table::ini`]
//! reader, so a fault looks the same in either: file, line, section, key, what was expected.
//!
//! [`Settings::parse`] reads text, not a file, and reports every fault at once. The sample
//! `samples/primrosed.ini` shows every key.
//!
//! ```
//! use primrose_settings::Settings;
//! let text = "\
//! [router]
//! host = entry-1
//! zone = barasat
//! region = north
//! [listen]
//! callers = 127.0.0.1:8080
//! peers = 127.0.0.1:8081
//! operators = 127.0.0.1:8082
//! [platform]
//! addresses = 127.0.0.1:2379
//! [security]
//! peer-key-file = /run/secrets/peer-key
//! ";
//! let settings = Settings::parse("primrosed.ini", text).unwrap();
//! assert_eq!(settings.router.zone, "barasat");
//! assert_eq!(settings.platform.prefix, "primrosehall");
//! ```

pub mod operator;
mod parse;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use primrose_core::id::HostId;
use primrose_core::id::RegionId;
use primrose_core::id::ZoneId;
use primrose_table::ini::Faults;

/// Settings of one router process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name and place of the process.
    pub router: Router,
    /// Where it listens.
    pub listen: Listen,
    /// Where to look for peers.
    pub peers: Peers,
    /// Where the platform's services are.
    pub platform: Platform,
    /// Keys.
    pub security: Security,
    /// Limits towards callers.
    pub limits: Limits,
    /// What counts as a day.
    pub day: Day,
}

impl Settings {
    /// Reads settings; `file` is named in every fault.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        parse::parse(file, text)
    }
}

/// Name and place of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Router {
    /// Name of the host, as in the host list.
    pub host: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region that the zone belongs to.
    pub region: RegionId,
}

/// Where a process listens; all three differ.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// For callers, behind the platform's balancer.
    pub callers: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
    /// For operators: status, metrics, draining, the day's page.
    pub operators: SocketAddr,
}

/// Where to look for peers besides the host list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Peers {
    /// Routers to try first; may be empty when the host list knows the routers.
    pub seeds: Vec<Seed>,
}

/// A router to try first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Its listener for peers.
    pub addr: SocketAddr,
}

/// Where the platform's services are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Addresses of the key-value service; never empty.
    pub addresses: Vec<SocketAddr>,
    /// Addresses of the host list; empty if the deployment has none.
    pub hosts: Vec<SocketAddr>,
    /// What every key in the service begins with, without a slash at the end.
    pub prefix: String,
}

/// Keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Security {
    /// File that holds the key by which routers know each other.
    pub peer_key_file: PathBuf,
}

/// Limits towards callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Largest header of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Most connections of callers at once.
    pub connections: usize,
    /// Longest time for the whole header to arrive.
    pub header_timeout: Duration,
    /// Longest time for the first byte of an answer from a backend server.
    pub first_byte_timeout: Duration,
    /// Longest time for a graceful shutdown.
    pub shutdown_timeout: Duration,
}

/// What counts as a day.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Day {
    /// Time zone by its IANA name.
    pub time_zone: String,
}
