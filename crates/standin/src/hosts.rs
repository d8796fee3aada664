//! A host registry over HTTP whose changes become visible after a configured delay.
//!
//! A [`HostRegistry`] holds the hosts. The stand-in key-value service can serve it too, as the real
//! platform serves both at one address; [`Hosts`] serves a registry alone.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::Request;
use hyper::StatusCode;
use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_core::host::Host;
use primrose_core::id::HostId;
use primrose_core::id::ZoneId;
use serde::Serialize;
use tokio::sync::watch;

use crate::http;
use crate::http::Reply;
use crate::kv::parse_duration;
use crate::kv::set_index;
use crate::runtime::Runtime;
use crate::server::ReplyFuture;
use crate::server::Server;
use crate::server::Service;
use crate::server::Switch;

/// Time that a blocking query waits if it has no `wait` parameter.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

/// How often a blocking query checks whether a change is visible yet; the registry's clock may be
/// a fake one, so a timer cannot tell.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A change to the registry that is not visible yet.
enum Change {
    Put(Host),
    Remove(HostId),
}

#[derive(Default)]
struct State {
    hosts: BTreeMap<HostId, Host>,
    index: u64,
    pending: VecDeque<(Mono, Change)>,
    calls: u64,
}

impl State {
    /// Applies the pending changes whose delay has passed.
    fn apply_due(&mut self, now: Mono) {
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, change)) = self.pending.pop_front() else {
                return;
            };
            self.index += 1;
            match change {
                Change::Put(host) => self.hosts.insert(host.id.clone(), host),
                Change::Remove(id) => self.hosts.remove(&id),
            };
        }
    }
}

struct Shared {
    clock: Arc<dyn Clock>,
    lag: Duration,
    state: Mutex<State>,
    stalled: watch::Sender<bool>,
}

/// The registered hosts of the platform; clones share the same state.
#[derive(Clone)]
pub struct HostRegistry {
    shared: Arc<Shared>,
}

impl HostRegistry {
    /// Creates an empty registry whose changes become visible `lag` later by `clock`.
    pub fn new(clock: Arc<dyn Clock>, lag: Duration) -> Self {
        let state = State {
            index: 1,
            ..State::default()
        };
        Self {
            shared: Arc::new(Shared {
                clock,
                lag,
                state: Mutex::new(state),
                stalled: watch::Sender::new(false),
            }),
        }
    }

    /// Adds a host, or replaces the one with the same id.
    pub fn put(&self, host: Host) {
        self.change(Change::Put(host));
    }

    /// Removes a host.
    pub fn remove(&self, id: &str) {
        self.change(Change::Remove(id.to_owned()));
    }

    /// Returns the hosts that queries see at present.
    pub fn visible(&self) -> Vec<Host> {
        self.lock().hosts.values().cloned().collect()
    }

    /// Returns how many queries have arrived; a blocking query counts once.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Accepts queries without answering them until called with `false`.
    pub fn stall(&self, stalled: bool) {
        self.shared.stalled.send_replace(stalled);
    }

    fn change(&self, change: Change) {
        let due = self.shared.clock.now() + self.shared.lag;
        let mut state = self.lock();
        state.pending.push_back((due, change));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let now = self.shared.clock.now();
        let mut state = self
            .shared
            .state
            .lock()
            .expect("host registry lock poisoned");
        state.apply_due(now);
        state
    }
}

/// A running server of a host registry; stopped when dropped.
pub struct Hosts {
    registry: HostRegistry,
    server: Server,
}

impl Hosts {
    /// Serves the registry on a free port.
    pub fn start(runtime: &Runtime, registry: HostRegistry) -> io::Result<Self> {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let service = Arc::new(HostService(registry.clone()));
        let server = Server::start(runtime, listen, service, Switch::new())?;
        Ok(Self { registry, server })
    }

    /// Returns the address on which the registry is served.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the registry that is served.
    pub fn registry(&self) -> &HostRegistry {
        &self.registry
    }

    /// Starts an outage: closes the listener and every connection.
    pub fn stop(&self) {
        self.server.close();
    }

    /// Ends the outage by listening on the same address again.
    pub fn restart(&self) -> io::Result<()> {
        self.server.reopen()
    }
}

struct HostService(HostRegistry);

impl Service for HostService {
    fn call(self: Arc<Self>, request: Request<Incoming>) -> ReplyFuture {
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            let Some(service) = path.strip_prefix("/v1/health/service/") else {
                return Some(http::error(StatusCode::NOT_FOUND, "no such path"));
            };
            Some(respond(&self.0, service, &request).await)
        })
    }
}

/// Answers a query for the hosts of one service.
pub(crate) async fn respond<B>(
    registry: &HostRegistry,
    service: &str,
    request: &Request<B>,
) -> Reply {
    registry.lock().calls += 1;
    let mut stalled = registry.shared.stalled.subscribe();
    // The registry owns the sender, so waiting cannot fail.
    let _ = stalled.wait_for(|stalled| !stalled).await;
    let index: u64 = http::query_param(request, "index")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    if index != 0 {
        let wait = http::query_param(request, "wait").and_then(parse_duration);
        let changed = async {
            while registry.lock().index <= index {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        // A query that times out returns the current state.
        let _ = tokio::time::timeout(wait.unwrap_or(DEFAULT_WAIT), changed).await;
    }
    let zone = match zone_filter(request) {
        Ok(zone) => zone,
        Err(message) => return http::error(StatusCode::BAD_REQUEST, message),
    };
    let in_zone = |host: &&Host| zone.as_ref().is_none_or(|zone| host.zone == *zone);
    let state = registry.lock();
    let instances = state.hosts.values().filter(|host| host.service == service);
    let instances: Vec<Instance> = instances.filter(in_zone).map(Instance::from).collect();
    let mut reply = http::json(StatusCode::OK, &instances);
    set_index(&mut reply, state.index);
    reply
}

/// Returns the zone in the query's filter; fails for any other kind of filter.
fn zone_filter<B>(request: &Request<B>) -> Result<Option<ZoneId>, &'static str> {
    let Some(encoded) = http::query_param(request, "filter") else {
        return Ok(None);
    };
    let filter = http::percent_decode(encoded).unwrap_or_default();
    let zone = filter
        .strip_prefix("Service.Meta.zone == \"")
        .and_then(|rest| rest.strip_suffix('"'));
    match zone {
        Some(zone) => Ok(Some(zone.to_owned())),
        None => Err("unsupported filter"),
    }
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Instance {
    node: Node,
    service: Registration,
    checks: [Check; 1],
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Node {
    node: String,
    address: String,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Registration {
    service: String,
    address: String,
    port: u16,
    meta: Meta,
}

#[derive(Serialize)]
struct Meta {
    zone: String,
    state: String,
    incarnation: String,
}

#[derive(Serialize)]
struct Check {
    #[serde(rename = "CheckID")]
    id: &'static str,
    #[serde(rename = "Status")]
    status: &'static str,
}

impl From<&Host> for Instance {
    fn from(host: &Host) -> Self {
        let address = host.addr.ip().to_string();
        Self {
            node: Node {
                node: host.id.clone(),
                address: address.clone(),
            },
            service: Registration {
                service: host.service.clone(),
                address,
                port: host.addr.port(),
                meta: Meta {
                    zone: host.zone.clone(),
                    state: host.state.to_string(),
                    incarnation: host.incarnation.to_string(),
                },
            },
            checks: [Check {
                id: "serfHealth",
                status: "passing",
            }],
        }
    }
}
