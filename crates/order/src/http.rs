//! Orders over HTTP: `POST /orders` and `GET /orders/state`.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;
use ureq::Body;
use ureq::Error;

use crate::desired::Observed;
use crate::execute::ServerClient;
use crate::message::FencedOrder;
use crate::message::SendResult;
use crate::message::Unreachable;

/// Maximum size of a response body, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024;

/// Status with which a server refuses an old fencing number.
const CONFLICT: u16 = 409;

/// Observes servers and sends orders over HTTP.
pub struct HttpServerClient {
    agent: Agent,
}

impl HttpServerClient {
    /// Creates a client with a timeout for each whole exchange.
    pub fn new(timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_global(Some(timeout))
            .build();
        Self {
            agent: config.into(),
        }
    }
}

impl ServerClient for HttpServerClient {
    fn observe(&self, addr: SocketAddr) -> Result<Observed, Unreachable> {
        let unreachable = |detail: String| Unreachable {
            refused: false,
            detail,
        };
        let response = self
            .agent
            .get(format!("http://{addr}/orders/state"))
            .call()
            .map_err(|error| Unreachable {
                refused: is_refused(&error),
                detail: error.to_string(),
            })?;
        let status = response.status();
        if !status.is_success() {
            return Err(unreachable(format!("status {status}")));
        }
        read(response).map_err(unreachable)
    }

    fn send(&self, addr: SocketAddr, order: &FencedOrder) -> SendResult {
        let sent = self
            .agent
            .post(format!("http://{addr}/orders"))
            .send_json(order);
        let response = match sent {
            Ok(response) => response,
            Err(error) => {
                log::warn!("failed to send an order to {addr}: {error}");
                return failure(&error);
            }
        };
        match response.status().as_u16() {
            200..=299 => SendResult::Accepted,
            CONFLICT => read(response).map_or(SendResult::Refused, SendResult::Stale),
            400..=499 => SendResult::Refused,
            _ => SendResult::Lost,
        }
    }
}

/// Returns the result of an order without a response.
///
/// Only a refused connection proves that the order did not reach the server.
fn failure(error: &Error) -> SendResult {
    if is_refused(error) {
        SendResult::NotSent
    } else {
        SendResult::Lost
    }
}

fn is_refused(error: &Error) -> bool {
    match error {
        Error::Io(cause) => cause.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn read(mut response: ureq::http::Response<Body>) -> Result<Observed, String> {
    let bytes = response
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER_BYTES)
        .read_to_vec()
        .map_err(|error| error.to_string())?;
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}
