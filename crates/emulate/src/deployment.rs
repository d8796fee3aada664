//! Routing tables, server list entries and requests of a simulated deployment.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::catalog::Engine as EngineSize;
use primrose_fleet::catalog::Limits;
use primrose_fleet::catalog::Pool;
use primrose_fleet::catalog::RequestKind;
use primrose_fleet::catalog::Route;
use primrose_fleet::catalog::Tables;
use primrose_fleet::catalog::Target;
use primrose_fleet::entry::ServerEntry;
use primrose_fleet::place::Prompt;
use primrose_fleet::PlacementRequest;

use crate::engine::EngineConfig;
use crate::pattern::Pattern;
use crate::pattern::RequestClass;

/// Name of the only server pool.
const POOL: &str = "models";

/// Builds a placement request of a class.
pub(crate) fn placement_request(
    class: &RequestClass,
    account: usize,
    prompt: Prompt,
    fingerprint: u64,
    now: Mono,
) -> PlacementRequest {
    PlacementRequest {
        route: Arc::new(route(class)),
        pool: POOL.to_owned(),
        account: Some(format!("account-{account}")),
        fingerprint,
        prompt: Some(prompt),
        parts: Arc::default(),
        arrived: now,
        deadline: now + class.timeout,
        tried: Vec::new(),
        build: None,
        length_hint: None,
    }
}

fn route(class: &RequestClass) -> Route {
    Route {
        name: "route".to_owned(),
        host: "example".to_owned(),
        prefix: "/".to_owned(),
        kind: RequestKind::Stream { resumable: true },
        time_limit: class.timeout,
        objective: class.objective,
        tries: 2,
        public: false,
        prompts: true,
        targets: vec![Target {
            pool: POOL.to_owned(),
            weight: 1,
        }],
    }
}

/// Builds the routing tables, with a route for each class.
pub(crate) fn tables(pattern: &Pattern) -> Tables {
    let size = EngineConfig::default();
    let pool = Pool {
        connections: 300,
        engine: Some(EngineSize {
            slots: size.slots as u32,
            memory: size.memory,
        }),
        slow_start: None,
    };
    Tables {
        generation: 1,
        routes: pattern.classes.iter().map(route).collect(),
        pools: BTreeMap::from([(POOL.to_owned(), pool)]),
        keys: None,
        limits: Limits {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
            token_rate: Some(pattern.token_rate),
        },
    }
}

/// Returns the name of a zone.
pub(crate) fn zone_name(number: usize) -> String {
    format!("zone-{number}")
}

/// Builds the server list entry of a server.
pub(crate) fn server_entry(pattern: &Pattern, number: usize) -> ServerEntry {
    ServerEntry {
        id: format!("server-{number}"),
        pool: POOL.to_owned(),
        addr: SocketAddr::new(host_ip(1, number), 80),
        zone: zone_name(number % pattern.zones),
        slots: EngineConfig::default().slots as u32,
        leaving: false,
        version: "v1".to_owned(),
        born_ms: 1,
        seq: 0,
        cold_ms: 0,
    }
}

/// Parses the number of a server from its id.
pub(crate) fn server_number(server: &str) -> usize {
    let digits = server.rsplit('-').next().unwrap_or_default();
    digits.parse().unwrap_or(0)
}

/// Returns the address of a host: network 0 holds the gateways, network 1 the servers.
pub(crate) fn host_ip(net: u8, number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, net, (number >> 8) as u8, number as u8))
}

/// Returns the number of the host with an address.
pub(crate) fn host_number(ip: IpAddr) -> usize {
    match ip {
        IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(high) << 8 | usize::from(low)
        }
        IpAddr::V6(_) => 0,
    }
}
