//! Builders for tables, servers, requests and gateways.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::catalog::Engine;
use primrose_fleet::catalog::Limits;
use primrose_fleet::catalog::Pool;
use primrose_fleet::catalog::RequestKind;
use primrose_fleet::catalog::Route;
use primrose_fleet::catalog::Tables;
use primrose_fleet::catalog::Target;
use primrose_fleet::digest::Digest;
use primrose_fleet::entry::ServerEntry;
use primrose_fleet::place::Prompt;
use primrose_fleet::Fleet;
use primrose_fleet::FleetConfig;
use primrose_fleet::PlacementRequest;

/// Pool of model engines.
pub(crate) const MODELS: &str = "models";
/// Pool of plain services.
pub(crate) const PLAIN: &str = "plain";

pub(crate) fn ms(millis: u64) -> Mono {
    Duration::from_millis(millis)
}

pub(crate) fn ip(host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, host))
}

/// Returns a server entry; `number` determines its address and its start time.
pub(crate) fn server(id: &str, pool: &str, number: u8) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        pool: pool.to_owned(),
        addr: SocketAddr::new(ip(number), 8000),
        zone: "a".to_owned(),
        slots: 48,
        leaving: false,
        version: "v1".to_owned(),
        born_ms: 1_000 + u64::from(number),
        seq: 0,
        cold_ms: 0,
    }
}

pub(crate) fn route(kind: RequestKind) -> Route {
    let prompts = kind.is_stream();
    let pool = if prompts { MODELS } else { PLAIN };
    Route {
        name: "route".to_owned(),
        host: "example".to_owned(),
        prefix: "/x/".to_owned(),
        kind,
        time_limit: ms(8_000),
        objective: ms(600),
        tries: 2,
        public: false,
        prompts,
        targets: vec![target(pool)],
    }
}

pub(crate) fn target(pool: &str) -> Target {
    Target {
        pool: pool.to_owned(),
        weight: 1,
    }
}

pub(crate) fn tables(generation: u64, token_rate: Option<u64>) -> Tables {
    let engine = Engine {
        slots: 48,
        memory: 444_000,
    };
    let pool = |engine| Pool {
        connections: 300,
        engine,
        slow_start: None,
    };
    Tables {
        generation,
        routes: vec![route(RequestKind::Stream { resumable: true })],
        pools: BTreeMap::from([
            (MODELS.to_owned(), pool(Some(engine))),
            (PLAIN.to_owned(), pool(None)),
        ]),
        keys: None,
        limits: Limits {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            head_time: ms(3_000),
            idle_time: ms(15_000),
            token_rate,
        },
    }
}

/// Returns the state of the gateway on host `host`, with tables in force.
pub(crate) fn fleet(host: u8, token_rate: Option<u64>) -> Fleet {
    let mut fleet = Fleet::new(FleetConfig {
        incarnation: u64::from(host),
        zone: "a".to_owned(),
        ip: ip(host),
        capacity: 120,
        retry_permille: 200,
        retry_slack: 56,
        cold_bound: None,
        place_by_cost: true,
    });
    fleet.adopt_tables(tables(1, token_rate));
    fleet
}

/// Returns the state of a gateway that knows `count` model servers, named from `s1` on.
pub(crate) fn fleet_with_servers(host: u8, count: u8, token_rate: Option<u64>) -> Fleet {
    let mut fleet = fleet(host, token_rate);
    for number in 1..=count {
        fleet.upsert_server(server(&format!("s{number}"), MODELS, 100 + number), ms(1));
    }
    fleet
}

/// Returns a prompt with the given shared prefix.
pub(crate) fn prompt(shared: u64) -> Prompt {
    Prompt {
        shared,
        shared_tokens: 13_300,
        own_tokens: 3_720,
        output_tokens: 120,
    }
}

/// Returns a request of `account` that arrived at `now`.
pub(crate) fn placement_request(account: &str, prompt: Prompt, now: Mono) -> PlacementRequest {
    PlacementRequest {
        route: Arc::new(route(RequestKind::Stream { resumable: true })),
        pool: MODELS.to_owned(),
        account: Some(account.to_owned()),
        fingerprint: prompt.shared ^ now.as_nanos() as u64,
        prompt: Some(prompt),
        parts: Arc::default(),
        arrived: now,
        deadline: now + ms(8_000),
        tried: Vec::new(),
        build: None,
        length_hint: None,
    }
}

/// Lets each gateway send its digests; gateway `n` of the slice is on host `n + 1`.
pub(crate) fn exchange_digests(gateways: &mut [Fleet], now: u64) {
    for from in 0..gateways.len() {
        gateways[from].expire(ms(now));
        // A new gateway knows the others by their seeds.
        for to in (0..gateways.len()).filter(|to| *to != from) {
            gateways[from].add_contact(ip(to as u8 + 1), ms(now));
        }
        for out in gateways[from].outgoing(ms(now)) {
            let bytes = out.digest.encode().expect("a digest");
            for (to, gateway) in gateways.iter_mut().enumerate() {
                if to != from && out.receivers.contains(&ip(to as u8 + 1)) {
                    let digest = Digest::decode(&bytes).expect("the same digest");
                    gateway.merge(digest, ip(from as u8 + 1), ms(now));
                }
            }
        }
    }
}
