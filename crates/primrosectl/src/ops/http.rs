//! Calls to the operator listeners over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_report::status::RouterStatus;
use primrose_report::status::SuspectStatus;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::Body;

use super::fleet::Fleet;
use super::fleet::FleetError;
use super::fleet::Result;

/// Limit on the duration of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Size limit of a response body, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;
/// Length limit of the part of an error response's body that is shown, in characters.
const MAX_DETAIL_CHARS: usize = 200;

/// [`Fleet`] over HTTP.
#[derive(Debug)]
pub struct HttpFleet {
    agent: Agent,
}

impl HttpFleet {
    /// Creates a client; connections are opened by the calls.
    pub fn new() -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .max_redirects(0)
            .build();
        Self {
            agent: config.into(),
        }
    }

    fn get(&self, router: SocketAddr, path: &str) -> Result<String> {
        read_body(self.agent.get(format!("http://{router}{path}")).call())
    }

    fn post(&self, router: SocketAddr, path: &str) -> Result<String> {
        let request = self.agent.post(format!("http://{router}{path}"));
        read_body(request.send_empty())
    }
}

impl Default for HttpFleet {
    fn default() -> Self {
        Self::new()
    }
}

impl Fleet for HttpFleet {
    fn status(&self, router: SocketAddr) -> Result<RouterStatus> {
        parse_json(&self.get(router, "/status")?)
    }

    fn tables(&self, router: SocketAddr) -> Result<String> {
        self.get(router, "/tables")
    }

    fn drain(&self, router: SocketAddr) -> Result<()> {
        self.post(router, "/drain").map(|_| ())
    }

    fn suspects(&self, router: SocketAddr) -> Result<Vec<SuspectStatus>> {
        parse_json(&self.get(router, "/suspects")?)
    }

    fn lift(&self, router: SocketAddr, fingerprint: &str) -> Result<()> {
        let path = format!("/suspects/{fingerprint}/lift");
        self.post(router, &path).map(|_| ())
    }

    fn day_page(&self, router: SocketAddr, date: Option<&str>) -> Result<String> {
        match date {
            None => self.get(router, "/today"),
            Some(date) => self.get(router, &format!("/today?date={date}")),
        }
    }
}

type HttpResult = std::result::Result<ureq::http::Response<Body>, ureq::Error>;

fn read_body(result: HttpResult) -> Result<String> {
    let unreachable = |error: ureq::Error| FleetError::Unreachable {
        detail: error.to_string(),
    };
    let mut response = result.map_err(unreachable)?;
    let body = response.body_mut().with_config().limit(MAX_BODY_BYTES);
    let text = body
        .read_to_string()
        .map_err(|error| FleetError::Malformed {
            detail: error.to_string(),
        })?;
    let status = response.status();
    if status.is_success() {
        return Ok(text);
    }
    Err(FleetError::Refused {
        status: status.as_u16(),
        detail: text.trim().chars().take(MAX_DETAIL_CHARS).collect(),
    })
}

fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|error| FleetError::Malformed {
        detail: error.to_string(),
    })
}
