//! Where the end of a response is certain, and how to find out where it is not.
//!
//! A response may have neither a length nor chunks, and ends then with its connection. The kernel
//! ends the connections of a process that has crashed alike, without a reset. But nothing listens at
//! its address any more.

use std::net::SocketAddr;
use std::time::Duration;

use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http::Method;
use http::Response;
use http::StatusCode;

use crate::ConnectionPool;
use crate::ProbeResult;

/// Time from the end of a connection to the probe of its server: a process that ends may close its
/// connections before its listener.
pub const END_PROBE_DELAY: Duration = Duration::from_millis(20);

/// Returns whether a response to a request with this method has no body, states its length or is sent
/// in chunks. Any other response ends with its connection.
pub fn has_certain_end<B>(method: &Method, response: &Response<B>) -> bool {
    let status = response.status();
    let is_empty = *method == Method::HEAD
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let headers = response.headers();
    is_empty || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether a status is one of those with which HTTP ends the exchange of a request.
pub fn is_final_status(status: StatusCode) -> bool {
    status.is_success()
        || status.is_redirection()
        || status.is_client_error()
        || status.is_server_error()
}

impl ConnectionPool {
    /// Probes a server whose connection has just ended where the end of a response may be. If it
    /// refuses connections, the server has crashed and the response may be cut short.
    pub async fn probe_after_end(&self, addr: SocketAddr) -> ProbeResult {
        tokio::time::sleep(END_PROBE_DELAY).await;
        self.probe(addr).await
    }
}
