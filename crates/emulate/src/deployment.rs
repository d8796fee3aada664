//! Tables, entries and requests of a simulated deployment.

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
use crate::pattern::Class;
use crate::pattern::Pattern;

/// Name of the pool.
const POOL: &str = "models";

/// A request of a class.
pub(crate) fn placement_request(
    kind: &Class,
    account: usize,
    prompt: Prompt,
    fingerprint: u64,
    now: Mono,
) -> PlacementRequest {
    PlacementRequest {
        route: Arc::new(route(kind)),
        pool: POOL.to_owned(),
        account: Some(format!("account-{account}")),
        fingerprint,
        prompt: Some(prompt),
        arrived: now,
        deadline: now + kind.deadline,
        tried: Vec::new(),
    }
}

fn route(kind: &Class) -> Route {
    Route {
        name: "route".to_owned(),
        host: "example".to_owned(),
        prefix: "/".to_owned(),
        kind: RequestKind::Stream { resumable: true },
        time_limit: kind.deadline,
        objective: kind.objective,
        tries: 2,
        public: false,
        prompts: true,
        targets: vec![Target {
            pool: POOL.to_owned(),
            weight: 1,
        }],
    }
}

/// Tables with a route for each class.
pub(crate) fn tables(pattern: &Pattern) -> Tables {
    let size = EngineConfig::default();
    let pool = Pool {
        connections: 300,
        engine: Some(EngineSize {
            slots: size.slots as u32,
            memory: size.memory,
        }),
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

/// Name of a zone.
pub(crate) fn zone(number: usize) -> String {
    format!("zone-{number}")
}

/// Entry of a server.
pub(crate) fn entry(pattern: &Pattern, number: usize) -> ServerEntry {
    ServerEntry {
        id: format!("server-{number}"),
        pool: POOL.to_owned(),
        addr: SocketAddr::new(ip(1, number), 80),
        zone: zone(number % pattern.zones),
        slots: EngineConfig::default().slots as u32,
        leaving: false,
        born_ms: 1,
    }
}

/// Number of a server, by its name.
pub(crate) fn number(server: &str) -> usize {
    let digits = server.rsplit('-').next().unwrap_or_default();
    digits.parse().unwrap_or(0)
}

/// Address of a host.
pub(crate) fn ip(net: u8, number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, net, (number >> 8) as u8, number as u8))
}
