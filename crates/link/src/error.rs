//! Errors returned by the endpoint.

use std::net::SocketAddr;

use primrose_core::id::HostId;
use snafu::Snafu;

/// Failure to start an endpoint.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The address is in use or does not belong to this host.
    #[snafu(display(
        "failed to listen for peers on {addr}; check `peers` under `[listen]` in the settings"
    ))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The system could not provide a thread or an event queue.
    #[snafu(display("failed to start the link thread"))]
    Thread {
        /// Cause.
        source: std::io::Error,
    },
}

/// Failure to queue a message.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SendError {
    /// No link to the host is up.
    #[snafu(display("no link to host {host}"))]
    NoLink {
        /// The host.
        host: HostId,
    },
    /// The queue is full: messages are sent faster than the link transmits them.
    #[snafu(display("the queue of the link to host {host} is full"))]
    Full {
        /// The host.
        host: HostId,
    },
    /// The encoded message exceeds the frame limit.
    #[snafu(display("message of {bytes} bytes exceeds the limit of {limit}"))]
    TooLarge {
        /// Encoded size.
        bytes: usize,
        /// Largest allowed size.
        limit: usize,
    },
    /// The message has a value that CBOR cannot represent.
    #[snafu(display("failed to encode the message: {cause}"))]
    Encode {
        /// Error of the encoder.
        cause: String,
    },
}
