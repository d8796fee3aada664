//! Settings of one router process, read from an INI file.
//!
//! The settings hold what a process cannot learn from the fleet: its own name and location, its
//! listen addresses, the addresses of peers and of the platform, and the limits for callers.
//! Configuration that operators change while the fleet runs belongs to the two tables
//! (`primrose-table`) instead, so that it takes effect everywhere at once. Both use the same
//! parser, [`primrose_table::ini`], so faults have the same form: file, line, section, key,
//! expected value.
//!
//! [`Settings::parse`] takes the text of the file and reports all faults at once. The sample
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
    /// Name and location of the process.
    pub router: Router,
    /// Listen addresses.
    pub listen: Listen,
    /// Addresses of peers.
    pub peers: Peers,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Authentication between routers.
    pub security: Security,
    /// Limits for callers.
    pub limits: Limits,
    /// Boundaries of a day.
    pub day: Day,
}

impl Settings {
    /// Parses and validates settings; every fault names the document as `file`.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        parse::parse(file, text)
    }
}

/// Name and location of a router process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Router {
    /// Name of the host in the host list.
    pub host: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region that the zone belongs to.
    pub region: RegionId,
}

/// Listen addresses of a process; all three differ.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// For callers, behind the platform's load balancer.
    pub callers: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
    /// For operators: status, metrics, draining, daily report.
    pub operators: SocketAddr,
}

/// Addresses of peers in addition to the host list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Peers {
    /// Routers to contact first; may be empty if the host list contains the routers.
    pub seeds: Vec<Seed>,
}

/// A router to contact at startup, before the host list is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Peer listener of the router.
    pub addr: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Addresses of the key-value service; never empty.
    pub addresses: Vec<SocketAddr>,
    /// Addresses of the host list; empty if the deployment has none.
    pub hosts: Vec<SocketAddr>,
    /// Prefix of every key in the key-value service, without a trailing slash.
    pub prefix: String,
}

/// Authentication between routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Security {
    /// File with the key by which routers authenticate each other.
    pub peer_key_file: PathBuf,
}

/// Limits for callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's header, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Memory for the request bodies and answers of all callers together, in bytes.
    pub buffered_bytes: usize,
    /// Maximum number of concurrent connections from callers.
    pub connections: usize,
    /// Maximum time until the whole header has arrived.
    pub header_timeout: Duration,
    /// Maximum time until the first byte of a backend server's response.
    pub first_byte_timeout: Duration,
    /// Maximum time for a graceful shutdown.
    pub shutdown_timeout: Duration,
}

/// Boundaries of a day.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Day {
    /// Time zone by its IANA name.
    pub time_zone: String,
}
