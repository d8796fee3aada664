//! Starting and changing a local deployment.

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_core::host::Host;
use primrose_core::host::HostState;
use primrose_core::id::Generation;
use primrose_core::id::Incarnation;
use primrose_core::id::ZoneId;
use primrose_link::Key;
use primrose_link::Keys;
use primrose_platform::consul::ConsulConfig;
use primrose_platform::consul::ConsulHosts;
use primrose_platform::consul::ConsulStore;
use primrose_platform::store::Op;
use primrose_platform::store::Store;
use primrose_platform::store::StoreError;
use primrose_settings::Day;
use primrose_settings::Limits;
use primrose_settings::Listen;
use primrose_settings::Peers;
use primrose_settings::Platform;
use primrose_settings::Router as RouterSettings;
use primrose_settings::Security;
use primrose_settings::Settings;
use primrose_standin::engine::Engine;
use primrose_standin::engine::EngineConfig;
use primrose_standin::hosts::HostBoard;
use primrose_standin::hosts::Hosts;
use primrose_standin::kv::Kv;
use primrose_standin::kv::KvConfig;
use primrose_standin::plain::Plain;
use primrose_standin::plain::PlainConfig;
use primrose_standin::runtime::Runtime;
use primrose_util::clock::SystemClock;
use primrosed::router::Parts;
use primrosed::router::Router;
use primrosed::router::RouterError;
use primrosed::router::Sharing;
use snafu::ResultExt;
use snafu::Snafu;

use crate::cut::Cut;
use crate::documents;
use crate::documents::TablesText;
use crate::documents::ACCOUNTS_KEY;
use crate::documents::PREFIX;
use crate::documents::TABLES_KEY;
use crate::shape;
use crate::shape::Policy;
use crate::shape::Shape;

/// Key of the peer links; they never leave this process.
const PEER_KEY: &[u8] = b"the peer key of a local deployment, 32 bytes and more";
/// Service name of the routers in the host list.
const ROUTERS: &str = "primrosed";
/// Service name of the engine for single requests.
const PROBES: &str = "probing";
/// Service name of the plain services.
const PLAINS: &str = "dispatch";
/// Shortest lease of the key-value stand-in.
const MIN_TTL: Duration = Duration::from_secs(1);
/// Pause between two looks while something is waited for.
const LOOK: Duration = Duration::from_millis(10);
/// Largest head of a request, in bytes.
const HEADER_BYTES: usize = 16 << 10;
/// Largest body of a request, in bytes.
const BODY_BYTES: usize = 1 << 20;
/// Most connections of callers to one router.
const CONNECTIONS: usize = 4096;
/// Longest time for a request's head.
const CALLER_TIME: Duration = Duration::from_secs(10);
/// Longest silence of a backend server.
const SERVER_TIME: Duration = Duration::from_secs(30);
/// Longest graceful shutdown.
const SHUTDOWN: Duration = Duration::from_secs(30);

/// The deployment could not be started or changed.
#[derive(Debug, Snafu)]
pub enum DeploymentError {
    /// A stand-in could not start.
    #[snafu(display("failed to start a stand-in"))]
    Standin {
        /// The cause.
        source: io::Error,
    },
    /// A router could not start.
    #[snafu(display("failed to start a router"))]
    Router {
        /// The cause.
        source: RouterError,
    },
    /// A document could not be stored.
    #[snafu(display("failed to store a document"))]
    Store {
        /// The cause.
        source: StoreError,
    },
    /// Something did not happen in time.
    #[snafu(display("waited too long until {what}"))]
    TooLong {
        /// What was waited for.
        what: String,
    },
}

type Result<T> = std::result::Result<T, DeploymentError>;

/// A router with its place.
struct Placed {
    zone: ZoneId,
    host: String,
    router: Router,
}

/// A running deployment; everything ends when it is dropped.
pub struct Deployment {
    shape: Shape,
    clock: Arc<dyn Clock>,
    routers: Vec<Option<Placed>>,
    engines: Vec<Engine>,
    plains: Vec<Plain>,
    probe: Option<Engine>,
    board: HostBoard,
    hosts: Hosts,
    kv: Kv,
    runtime: Runtime,
    incarnation: Incarnation,
    /// By host: the router's way to the platform.
    cuts: BTreeMap<String, Cut>,
}

impl Deployment {
    /// Starts stand-ins and routers, and waits until every router is ready.
    pub fn start(shape: Shape) -> Result<Self> {
        Self::start_with(shape, Arc::new(SystemClock::new()))
    }

    /// Does the same with another clock, which must run at the pace of the machine's.
    pub fn start_with(shape: Shape, clock: Arc<dyn Clock>) -> Result<Self> {
        let runtime = Runtime::new().context(StandinSnafu)?;
        let board = HostBoard::new(Arc::clone(&clock), shape.host_lag);
        let kv = Kv::start(
            &runtime,
            KvConfig {
                listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
                clock: Arc::clone(&clock),
                min_ttl: MIN_TTL,
                hosts: None,
            },
        )
        .context(StandinSnafu)?;
        let hosts = Hosts::start(&runtime, board.clone()).context(StandinSnafu)?;
        let mut deployment = Self {
            clock,
            routers: Vec::new(),
            engines: Vec::new(),
            plains: Vec::new(),
            probe: None,
            board,
            hosts,
            kv,
            runtime,
            incarnation: 1,
            cuts: BTreeMap::new(),
            shape,
        };
        deployment.store_documents()?;
        deployment.start_servers()?;
        deployment.start_routers()?;
        deployment.wait_ready()?;
        Ok(deployment)
    }

    fn store_documents(&self) -> Result<()> {
        let tables = TablesText::new(&self.shape).render(1);
        let accounts = documents::accounts_text(&self.shape);
        let ops = [
            Op::create(TABLES_KEY, tables.into_bytes()),
            Op::create(ACCOUNTS_KEY, accounts.into_bytes()),
        ];
        self.kv.store().commit(&ops).context(StoreSnafu)?;
        Ok(())
    }

    fn start_servers(&mut self) -> Result<()> {
        for zone in self.shape.zones.clone() {
            for number in 1..=zone.engines {
                let id = format!("{}-engine-{number}", zone.name);
                let pool = (number - 1) % self.shape.pools;
                let config = EngineConfig {
                    model: shape::model_name(pool),
                    ..self.shape.engine.clone()
                };
                let engine = Engine::start(&self.runtime, config).context(StandinSnafu)?;
                self.list(&id, &zone.name, &shape::pool_name(pool), engine.addr());
                self.engines.push(engine);
            }
            for number in 1..=zone.plains {
                let id = format!("{}-plain-{number}", zone.name);
                let config = PlainConfig {
                    name: id.clone(),
                    run_time: self.shape.plain_time,
                    ..PlainConfig::default()
                };
                let plain = Plain::start(&self.runtime, config).context(StandinSnafu)?;
                self.list(&id, &zone.name, PLAINS, plain.addr());
                self.plains.push(plain);
            }
        }
        if let Some(config) = self.shape.probe.clone() {
            let engine = Engine::start(&self.runtime, config).context(StandinSnafu)?;
            let zone = self.shape.zones[0].name.clone();
            self.list("probe-engine", &zone, PROBES, engine.addr());
            self.probe = Some(engine);
        }
        Ok(())
    }

    fn start_routers(&mut self) -> Result<()> {
        for zone in self.shape.zones.clone() {
            for number in 1..=zone.routers {
                let host = format!("{}-entry-{number}", zone.name);
                let sharing = self.sharing(number - 1, zone.routers);
                let placed = self.start_router(&zone.name, &host, sharing)?;
                self.routers.push(Some(placed));
            }
        }
        Ok(())
    }

    fn start_router(&mut self, zone: &str, host: &str, sharing: Sharing) -> Result<Placed> {
        self.incarnation += 1;
        let settings = self.settings(zone, host);
        let cut = self.cuts.entry(host.to_owned()).or_default().clone();
        let parts = self.parts(sharing, &cut);
        let router = Router::start(&settings, parts).context(RouterSnafu)?;
        self.list(host, zone, ROUTERS, router.peers());
        Ok(Placed {
            zone: zone.to_owned(),
            host: host.to_owned(),
            router,
        })
    }

    fn sharing(&self, index: usize, count: usize) -> Sharing {
        match self.shape.policy {
            Policy::Fleet => Sharing::Fleet,
            Policy::FirstCome => Sharing::FirstCome,
            Policy::Alone => Sharing::Alone {
                index: u32::try_from(index).unwrap_or(u32::MAX),
                count: u32::try_from(count).unwrap_or(u32::MAX),
            },
        }
    }

    fn settings(&self, zone: &str, host: &str) -> Settings {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            router: RouterSettings {
                host: host.to_owned(),
                zone: zone.to_owned(),
                region: "local".to_owned(),
            },
            listen: Listen {
                callers: any,
                peers: any,
                operators: any,
            },
            peers: Peers { seeds: Vec::new() },
            platform: Platform {
                addresses: vec![self.kv.addr()],
                hosts: vec![self.hosts.addr()],
                prefix: PREFIX.to_owned(),
            },
            security: Security {
                peer_key: "unused".into(),
            },
            limits: Limits {
                header_bytes: HEADER_BYTES,
                body_bytes: BODY_BYTES,
                connections: CONNECTIONS,
                header_timeout: CALLER_TIME,
                first_byte: SERVER_TIME,
                shutdown: SHUTDOWN,
            },
            day: Day {
                time_zone: "UTC".to_owned(),
            },
        }
    }

    fn parts(&self, sharing: Sharing, cut: &Cut) -> Parts {
        let config = ConsulConfig::new(vec![self.kv.addr()]);
        let hosts = ConsulConfig::new(vec![self.hosts.addr()]);
        let key = Key::from_bytes(PEER_KEY).expect("the key is long enough");
        let from_hosts = cut.clone();
        Parts {
            clock: Arc::clone(&self.clock),
            store: cut.store(ConsulStore::new(config)),
            hosts: Some(Arc::new(move |service: &str| {
                from_hosts.hosts(ConsulHosts::new(hosts.clone(), service))
            })),
            keys: Keys::new(vec![key]).expect("there is a key"),
            sharing,
            incarnation: self.incarnation,
            metrics: None,
        }
    }

    fn list(&self, id: &str, zone: &str, service: &str, addr: SocketAddr) {
        self.board.put(Host {
            id: id.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            addr,
            state: HostState::Live,
            incarnation: self.incarnation,
        });
    }

    /// Waits until the condition holds.
    pub fn wait(&self, what: &str, limit: Duration, holds: impl Fn(&Self) -> bool) -> Result<()> {
        let end = self.clock.now() + limit;
        while !holds(self) {
            if self.clock.now() > end {
                return TooLongSnafu { what }.fail();
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    /// Waits until the documents are in force on every router and the links are up.
    pub fn wait_ready(&self) -> Result<()> {
        let limit = Duration::from_secs(20);
        self.wait("all routers are ready", limit, |deployment| {
            let mut running = deployment.routers.iter().flatten();
            running.all(|placed| deployment.settled(placed))
        })
    }

    /// Whether a router has its documents, its zone's peers and its servers.
    fn settled(&self, placed: &Placed) -> bool {
        let peers = self.routers.iter().flatten();
        let in_zone = peers.filter(|one| one.zone == placed.zone).count();
        crate::client::status(placed.router.operators()).is_some_and(|status| {
            status["state"] == "ready"
                && status["peers"].as_array().map_or(0, Vec::len) + 1 >= in_zone
                && status["pools"].as_array().is_some_and(|pools| {
                    let served = |pool: &serde_json::Value| {
                        !pool["dispatcher"].is_null()
                            && pool["servers"]
                                .as_array()
                                .is_some_and(|all| !all.is_empty())
                    };
                    !pools.is_empty() && pools.iter().all(served)
                })
        })
    }

    /// How large the deployment is.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// The clock of all routers.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// Count of router places, stopped ones included.
    pub fn places(&self) -> usize {
        self.routers.len()
    }

    /// Whether a router runs at a place.
    pub fn is_running(&self, place: usize) -> bool {
        self.routers[place].is_some()
    }

    /// A running router.
    ///
    /// # Panics
    /// If the router was stopped.
    pub fn router(&self, place: usize) -> &Router {
        let placed = self.routers[place].as_ref();
        &placed.expect("the router is running").router
    }

    /// Availability zone of a running router.
    ///
    /// # Panics
    /// If the router was stopped.
    pub fn zone_of(&self, place: usize) -> &str {
        let placed = self.routers[place].as_ref();
        &placed.expect("the router is running").zone
    }

    /// Cuts a place off from the platform, or ends that; a router that replaces one stays cut off.
    pub fn cut_off(&self, place: usize, cut: bool) {
        let (_, host) = self.names_of(place);
        if let Some(way) = self.cuts.get(&host) {
            way.set(cut);
        }
    }

    /// State of a running router, as its operator listener shows it.
    pub fn status(&self, place: usize) -> Option<serde_json::Value> {
        let placed = self.routers[place].as_ref()?;
        crate::client::status(placed.router.operators())
    }

    /// All engines, zone by zone.
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// All plain services, zone by zone.
    pub fn plains(&self) -> &[Plain] {
        &self.plains
    }

    /// The engine for single requests, if the shape has one.
    pub fn probe(&self) -> Option<&Engine> {
        self.probe.as_ref()
    }

    /// The key-value service.
    pub fn kv(&self) -> &Kv {
        &self.kv
    }

    /// The host list.
    pub fn board(&self) -> &HostBoard {
        &self.board
    }

    /// The service that serves the host list.
    pub fn hosts(&self) -> &Hosts {
        &self.hosts
    }

    /// Address of the host list.
    pub fn hosts_addr(&self) -> SocketAddr {
        self.hosts.addr()
    }

    /// Bearer key of an account.
    pub fn bearer(&self, account: &str) -> String {
        documents::bearer(account)
    }

    /// Shuts a router down gracefully.
    pub fn shut_down(&mut self, place: usize) -> Option<primrosed::router::Shutdown> {
        let placed = self.routers[place].take()?;
        Some(placed.router.shutdown(SHUTDOWN, &|| false))
    }

    /// Ends a router without waiting for its requests.
    pub fn kill(&mut self, place: usize) {
        if let Some(placed) = self.routers[place].take() {
            placed.router.abort();
        }
    }

    /// Starts a router anew at a place, empty, under the same host name.
    pub fn replace(&mut self, place: usize) -> Result<()> {
        let (zone, host) = match self.routers[place].take() {
            Some(placed) => {
                let names = (placed.zone.clone(), placed.host.clone());
                placed.router.abort();
                names
            }
            None => self.names_of(place),
        };
        let placed = self.start_router(&zone, &host, Sharing::Fleet)?;
        self.routers[place] = Some(placed);
        Ok(())
    }

    /// Zone and host name that belong to a place.
    fn names_of(&self, place: usize) -> (ZoneId, String) {
        let mut first = 0;
        for zone in &self.shape.zones {
            if place < first + zone.routers {
                let number = place - first + 1;
                return (zone.name.clone(), format!("{}-entry-{number}", zone.name));
            }
            first += zone.routers;
        }
        unreachable!("every place belongs to a zone")
    }

    /// Puts the tables of another generation into the key-value service.
    pub fn edit_tables(&self, generation: Generation) -> Result<()> {
        let text = TablesText::new(&self.shape).render(generation);
        let op = Op::Put {
            key: TABLES_KEY.to_owned(),
            value: text.into_bytes(),
        };
        self.kv.store().commit(&[op]).context(StoreSnafu)?;
        Ok(())
    }

    /// Does the same with another model version for the engines.
    pub fn edit_version(&mut self, generation: Generation, version: &str) -> Result<()> {
        version.clone_into(&mut self.shape.version);
        self.edit_tables(generation)
    }

    /// Place of a router by its host name.
    pub fn place_of(&self, host: &str) -> Option<usize> {
        let mut places = 0..self.places();
        places.find(|place| self.names_of(*place).1 == host)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for placed in self.routers.drain(..).flatten() {
            placed.router.abort();
        }
    }
}
