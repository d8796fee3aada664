//! The operator listeners by HTTP.

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

/// Longest time for one call.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer that is read, in bytes.
const MAX_ANSWER: u64 = 16 << 20;
/// Longest part of an error's body that is shown, in characters.
const MAX_DETAIL: usize = 200;

/// Reaches the operator listeners by HTTP.
#[derive(Debug)]
pub struct HttpFleet {
    agent: Agent,
}

impl HttpFleet {
    /// Opens no connection yet.
    pub fn new() -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .max_redirects(0)
            .build();
        Self {
            agent: config.into(),
        }
    }

    fn get(&self, router: SocketAddr, path: &str) -> Result<String> {
        read(self.agent.get(format!("http://{router}{path}")).call())
    }

    fn post(&self, router: SocketAddr, path: &str) -> Result<String> {
        let request = self.agent.post(format!("http://{router}{path}"));
        read(request.send_empty())
    }
}

impl Default for HttpFleet {
    fn default() -> Self {
        Self::new()
    }
}

impl Fleet for HttpFleet {
    fn status(&self, router: SocketAddr) -> Result<RouterStatus> {
        parse(&self.get(router, "/status")?)
    }

    fn tables(&self, router: SocketAddr) -> Result<String> {
        self.get(router, "/tables")
    }

    fn drain(&self, router: SocketAddr) -> Result<()> {
        self.post(router, "/drain").map(|_| ())
    }

    fn suspects(&self, router: SocketAddr) -> Result<Vec<SuspectStatus>> {
        parse(&self.get(router, "/suspects")?)
    }

    fn lift(&self, router: SocketAddr, fingerprint: &str) -> Result<()> {
        let path = format!("/suspects/{fingerprint}/lift");
        self.post(router, &path).map(|_| ())
    }

    fn day(&self, router: SocketAddr, date: Option<&str>) -> Result<String> {
        match date {
            None => self.get(router, "/today"),
            Some(date) => self.get(router, &format!("/today?date={date}")),
        }
    }
}

type Answer = std::result::Result<ureq::http::Response<Body>, ureq::Error>;

fn read(answer: Answer) -> Result<String> {
    let unreachable = |error: ureq::Error| FleetError::Unreachable {
        detail: error.to_string(),
    };
    let mut answer = answer.map_err(unreachable)?;
    let body = answer.body_mut().with_config().limit(MAX_ANSWER);
    let text = body
        .read_to_string()
        .map_err(|error| FleetError::Malformed {
            detail: error.to_string(),
        })?;
    let status = answer.status();
    if status.is_success() {
        return Ok(text);
    }
    Err(FleetError::Refused {
        status: status.as_u16(),
        detail: text.trim().chars().take(MAX_DETAIL).collect(),
    })
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|error| FleetError::Malformed {
        detail: error.to_string(),
    })
}
