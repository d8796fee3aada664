//! Bounds on what a caller or a backend server may take from a router.

use std::time::Duration;

/// Bounds of the callers' listener and of the answers of backend servers.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of an answer that is passed on as a whole.
    pub answer_bytes: usize,
    /// Open connections of callers.
    pub connections: usize,
    /// Longest time a caller may take to send the head.
    pub header_timeout: Duration,
    /// Longest time a caller may take to send the body.
    pub body_timeout: Duration,
    /// Longest time a caller may take to accept the next part of an answer.
    pub write_timeout: Duration,
    /// Longest time to connect to a backend server.
    pub connect_timeout: Duration,
    /// Longest silence of a backend server within an answer.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            answer_bytes: 8 << 20,
            connections: 2048,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(20),
            write_timeout: Duration::from_secs(20),
            connect_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(20),
        }
    }
}
