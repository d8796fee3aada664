//! The host list over Consul's health endpoint.
//!
//! A host is an instance of one service: its id is the name of the node, its availability zone, state and
//! incarnation stand in the metadata of the service under `zone`, `state` and `incarnation`.

use std::time::Duration;

use ureq::http::Method;

use super::client::encode;
use super::client::unreadable;
use super::client::Call;
use super::client::Client;
use super::client::Kind;
use super::wire;
use super::ConsulConfig;
use crate::hosts::HostIndex;
use crate::hosts::HostList;
use crate::hosts::HostSnapshot;
use crate::store::Result;

/// A [`HostList`] that speaks Consul's HTTP protocol.
pub struct ConsulHosts {
    client: Client,
    service: String,
}

impl ConsulHosts {
    /// Makes an adapter for the hosts of one service; connects with the first call.
    pub fn new(config: ConsulConfig, service: impl Into<String>) -> Self {
        Self {
            client: Client::new(config),
            service: service.into(),
        }
    }
}

impl HostList for ConsulHosts {
    fn hosts(&self, after: HostIndex, wait: Duration) -> Result<HostSnapshot> {
        let mut target = format!("/v1/health/service/{}", encode(&self.service));
        let mut kind = Kind::Read;
        if after != 0 && !wait.is_zero() {
            kind = Kind::Watch(wait);
            target.push_str(&format!("?index={after}&wait={}ms", wait.as_millis()));
        }
        let reply = self.client.call(&Call {
            kind,
            method: Method::GET,
            target: &target,
            body: Vec::new(),
        })?;
        let hosts = wire::decode_hosts(&reply.body);
        let hosts = hosts.map_err(|detail| unreadable(kind, &detail))?;
        Ok(HostSnapshot {
            index: reply.index,
            hosts,
        })
    }
}
