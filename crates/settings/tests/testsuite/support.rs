//! Minimal valid settings.

/// Settings with only the required keys.
pub(crate) const MINIMAL: &str = "\
[router]
host = entry-1
zone = barasat
region = north
[listen]
callers = 10.0.0.1:80
peers = 10.0.0.1:81
operators = 10.0.0.1:82
[platform]
addresses = 10.0.0.9:2379
[security]
peer-key-file = /run/peer-key
";
