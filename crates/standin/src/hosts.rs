//! A host list over HTTP whose changes show after a lag.
//!
//! A [`HostRegistry`] holds the list and can also be served by the stand-in key-value service, as the
//! real platform serves both at one address; [`Hosts`] serves a board alone.

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
use crate::kv::duration;
use crate::kv::set_index;
use crate::runtime::Runtime;
use crate::server::Answer;
use crate::server::Server;
use crate::server::Service;
use crate::server::Switch;

/// Wait of a blocking query that states none.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

/// How often a waiting query looks whether a change has become visible by the passed-in clock.
const LOOK_PAUSE: Duration = Duration::from_millis(5);

/// A change that is yet to show.
enum Change {
    Put(Host),
    Remove(HostId),
}

#[derive(Default)]
struct Board {
    hosts: BTreeMap<HostId, Host>,
    index: u64,
    coming: VecDeque<(Mono, Change)>,
    calls: u64,
}

impl Board {
    /// Makes the changes visible whose lag has passed.
    fn settle(&mut self, now: Mono) {
        while self.coming.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, change)) = self.coming.pop_front() else {
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
    board: Mutex<Board>,
    stalled: watch::Sender<bool>,
}

/// The hosts of the platform; clones share one list.
#[derive(Clone)]
pub struct HostRegistry {
    shared: Arc<Shared>,
}

impl HostRegistry {
    /// Makes an empty list whose changes show after the lag, by this clock.
    pub fn new(clock: Arc<dyn Clock>, lag: Duration) -> Self {
        let board = Board {
            index: 1,
            ..Board::default()
        };
        Self {
            shared: Arc::new(Shared {
                clock,
                lag,
                board: Mutex::new(board),
                stalled: watch::Sender::new(false),
            }),
        }
    }

    /// Adds a host or replaces the one of the same name.
    pub fn put(&self, host: Host) {
        self.change(Change::Put(host));
    }

    /// Removes a host.
    pub fn remove(&self, id: &str) {
        self.change(Change::Remove(id.to_owned()));
    }

    /// Returns what the list shows at this moment.
    pub fn visible(&self) -> Vec<Host> {
        self.lock().hosts.values().cloned().collect()
    }

    /// Returns how many calls have arrived; a waiting query counts as one.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Takes queries in and answers them only after this has been ended.
    pub fn stall(&self, stall: bool) {
        self.shared.stalled.send_replace(stall);
    }

    fn change(&self, change: Change) {
        let due = self.shared.clock.now() + self.shared.lag;
        let mut board = self.lock();
        board.coming.push_back((due, change));
    }

    fn lock(&self) -> MutexGuard<'_, Board> {
        let now = self.shared.clock.now();
        let mut board = self.shared.board.lock().expect("host list lock poisoned");
        board.settle(now);
        board
    }
}

/// A running host list; stopped when dropped.
pub struct Hosts {
    board: HostRegistry,
    server: Server,
}

impl Hosts {
    /// Serves the list on a free port.
    pub fn start(runtime: &Runtime, board: HostRegistry) -> io::Result<Self> {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let service = Arc::new(HostService(board.clone()));
        let server = Server::start(runtime, listen, service, Switch::new())?;
        Ok(Self { board, server })
    }

    /// Returns where the list is served.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the list.
    pub fn registry(&self) -> &HostRegistry {
        &self.board
    }

    /// Begins an outage: nothing listens, every connection is cut.
    pub fn stop(&self) {
        self.server.close();
    }

    /// Ends the outage.
    pub fn restart(&self) -> io::Result<()> {
        self.server.reopen()
    }
}

struct HostService(HostRegistry);

impl Service for HostService {
    fn call(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            let Some(service) = path.strip_prefix("/v1/health/service/") else {
                return Some(http::error(StatusCode::NOT_FOUND, "no such path"));
            };
            Some(answer(&self.0, service, &request).await)
        })
    }
}

/// Answers a query for the hosts of one service.
pub(crate) async fn answer<B>(board: &HostRegistry, service: &str, request: &Request<B>) -> Reply {
    board.lock().calls += 1;
    let mut stalled = board.shared.stalled.subscribe();
    // The sender lives in the board, so waiting cannot fail.
    let _ = stalled.wait_for(|stalls| !stalls).await;
    let index: u64 = http::query(request, "index")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    if index != 0 {
        let wait = http::query(request, "wait").and_then(duration);
        let changed = async {
            while board.lock().index <= index {
                tokio::time::sleep(LOOK_PAUSE).await;
            }
        };
        // Running out of time is an answer like any other.
        let _ = tokio::time::timeout(wait.unwrap_or(DEFAULT_WAIT), changed).await;
    }
    let zone = match zone_filter(request) {
        Ok(zone) => zone,
        Err(message) => return http::error(StatusCode::BAD_REQUEST, message),
    };
    let in_zone = |host: &&Host| zone.as_ref().is_none_or(|zone| host.zone == *zone);
    let board = board.lock();
    let instances = board.hosts.values().filter(|host| host.service == service);
    let instances: Vec<Instance> = instances.filter(in_zone).map(Instance::from).collect();
    let mut reply = http::json(StatusCode::OK, &instances);
    set_index(&mut reply, board.index);
    reply
}

/// Returns the zone that the query's filter names; other filters are not served.
fn zone_filter<B>(request: &Request<B>) -> Result<Option<ZoneId>, &'static str> {
    let Some(coded) = http::query(request, "filter") else {
        return Ok(None);
    };
    let filter = http::decode(coded).unwrap_or_default();
    let zone = filter
        .strip_prefix("Service.Meta.zone == \"")
        .and_then(|rest| rest.strip_suffix('"'));
    match zone {
        Some(zone) => Ok(Some(zone.to_owned())),
        None => Err("filter is not served"),
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
