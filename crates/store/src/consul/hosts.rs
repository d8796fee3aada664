//! The host list over Consul's health endpoint.
//!
//! A host is an instance of one service. Its id is the name of the node; its availability zone,
//! state and incarnation are the service metadata `zone`, `state` and `incarnation`.
//!
//! Every change transfers the whole list, so a router that needs one zone would receive much more
//! than that from a list of all zones; [`ConsulHosts::in_zone`] filters by zone at the service.

use std::time::Duration;

use ureq::http::Method;

use primrose_util::uri::percent_encode;

use super::client::undecodable;
use super::client::Call;
use super::client::CallKind;
use super::client::Client;
use super::wire;
use super::ConsulConfig;
use crate::hosts::HostIndex;
use crate::hosts::HostList;
use crate::hosts::HostSnapshot;
use crate::store::Result;

/// A [`HostList`] over Consul's HTTP API.
pub struct ConsulHosts {
    client: Client,
    /// Path and query, percent-encoded, without the parameters of a watch.
    target: String,
}

impl ConsulHosts {
    /// Creates an adapter for the hosts of one service in all zones; connects at the first call.
    pub fn new(config: ConsulConfig, service: impl AsRef<str>) -> Self {
        Self {
            client: Client::new(config),
            target: format!(
                "/v1/health/service/{}?stale",
                percent_encode(service.as_ref())
            ),
        }
    }

    /// Creates an adapter for the hosts of one service in one zone; connects at the first call.
    pub fn in_zone(config: ConsulConfig, service: impl AsRef<str>, zone: &str) -> Self {
        let mut list = Self::new(config, service);
        // A backslash or quote in the name would end the string literal in the filter expression.
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
        let mut kind = CallKind::Read;
        if after != 0 && !wait.is_zero() {
            kind = CallKind::Watch(wait);
            target.push_str(&format!("&index={after}&wait={}ms", wait.as_millis()));
        }
        let reply = self.client.call(&Call {
            kind,
            method: Method::GET,
            target: &target,
            body: Vec::new(),
        })?;
        let hosts = wire::decode_hosts(&reply.body);
        let hosts = hosts.map_err(|detail| undecodable(kind, &detail))?;
        Ok(HostSnapshot {
            index: reply.index,
            hosts,
        })
    }
}
