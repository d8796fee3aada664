//! Starting and changing a local deployment.

mod access;
mod operate;
mod process;

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_core::host::Host;
use primrose_core::host::HostState;
use primrose_core::id::Incarnation;
use primrose_core::id::ZoneId;
use primrose_standin::engine::Engine;
use primrose_standin::engine::EngineConfig;
use primrose_standin::hosts::HostRegistry;
use primrose_standin::hosts::Hosts;
use primrose_standin::kv::Kv;
use primrose_standin::kv::KvConfig;
use primrose_standin::plain::Plain;
use primrose_standin::plain::PlainConfig;
use primrose_standin::runtime::Runtime;
use primrose_store::store::Op;
use primrose_store::store::Store;
use primrose_store::store::StoreError;
use primrose_util::clock::SystemClock;
use primrosed::router::Router;
use primrosed::router::RouterError;
use primrosed::router::Sharing;
use snafu::ResultExt;
use snafu::Snafu;

use crate::cut::Cut;
use crate::documents;
use crate::documents::TablesText;
use crate::documents::ACCOUNTS_KEY;
use crate::documents::TABLES_KEY;
use crate::shape;
use crate::shape::Shape;

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
    board: HostRegistry,
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
        let board = HostRegistry::new(Arc::clone(&clock), shape.host_lag);
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
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for placed in self.routers.drain(..).flatten() {
            placed.router.abort();
        }
    }
}
