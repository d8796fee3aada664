//! The host list over Consul's health endpoint.
//!
//! A host is an instance of one service: its id is the name of the node, its availability zone, state and
//! incarnation stand in the metadata of the service under `zone`, `state` and `incarnation`.
//!
//! Each change sends the whole list, so that a list of all zones would cost a router much more
//! than it needs; [`ConsulHosts::in_zone`] has the service leave out the other zones.

use std::time::Duration;

use ureq::http::Method;

use primrose_util::uri::percent_encode;

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
    /// Path and query, encoded, without the parameters of a watch.
    target: String,
}

impl ConsulHosts {
    /// Makes an adapter for the hosts of one service in all zones; connects with the first call.
    pub fn new(config: ConsulConfig, service: impl AsRef<str>) -> Self {
        Self {
            client: Client::new(config),
            target: format!(
                "/v1/health/service/{}?stale",
                percent_encode(service.as_ref())
            ),
        }
    }

    /// Makes an adapter for the hosts of one service in one zone; connects with the first call.
    pub fn in_zone(config: ConsulConfig, service: impl AsRef<str>, zone: &str) -> Self {
        let mut list = Self::new(config, service);
        // A backslash or quote in the name would end the text that the service compares with.
        let zone = zone.replace('\\', "\\\\").replace('"', "\\\"");
        let filter = format!("Service.Meta.zone == \"{zone}\"");
        list.target
            .push_str(&format!("&filter={}", percent_encode(&filter)));
        list
    }
}

impl HostList for ConsulHosts {
    fn hosts(&self, after: HostIndex, wait: Duration) -> Result<HostSnapshot> {
        let mut target = self.target.clone();
        let mut kind = Kind::Read;
        if after != 0 && !wait.is_zero() {
            kind = Kind::Watch(wait);
            target.push_str(&format!("&index={after}&wait={}ms", wait.as_millis()));
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
