//! Which backend servers there are: the table's rows joined with the host list.
//!
//! The host list lags, so leaving marks that other routers have seen go before it: a host
//! incarnation that was ever shown as leaving stays so.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use primrose_core::host::Host;
use primrose_core::host::HostState;
use primrose_core::id::HostId;
use primrose_core::id::Incarnation;
use primrose_core::id::ServerId;
use primrose_core::id::ZoneId;
use primrose_core::table::Pool;
use primrose_core::table::Selector;
use primrose_core::table::Table;
use primrose_dispatch::dispatcher::ServerEntry;
use primrose_member::rendezvous;

/// Service name of the routers in the host list.
pub(crate) const ROUTER_SERVICE: &str = "primrosed";

/// A backend server as this router knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LocatedServer {
    pub(crate) id: ServerId,
    pub(crate) zone: ZoneId,
    pub(crate) addr: SocketAddr,
    pub(crate) state: HostState,
}

/// The servers of all pools.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    table: Arc<Table>,
    hosts: BTreeMap<String, Vec<Host>>,
    /// Zones of the table's rows and of the hosts; asked for far more often than these change.
    zones: BTreeSet<ZoneId>,
    leaving: BTreeMap<HostId, Incarnation>,
}

impl Directory {
    pub(crate) fn set_table(&mut self, table: Arc<Table>) {
        self.table = table;
        self.zones = self.collect_zones();
    }

    pub(crate) fn set_hosts(&mut self, service: String, hosts: Vec<Host>) {
        self.hosts.insert(service, hosts);
        self.zones = self.collect_zones();
    }

    /// Notes that this and earlier incarnations of a host are leaving.
    pub(crate) fn set_leaving(&mut self, host: HostId, incarnation: Incarnation) {
        let latest = self.leaving.entry(host).or_default();
        *latest = incarnation.max(*latest);
    }

    /// Every host of every service, as the host list showed them.
    pub(crate) fn hosts(&self) -> Vec<Host> {
        self.hosts.values().flatten().cloned().collect()
    }

    /// Availability zones that have a router or a server.
    pub(crate) fn zones(&self) -> BTreeSet<ZoneId> {
        self.zones.clone()
    }

    fn collect_zones(&self) -> BTreeSet<ZoneId> {
        let listed = self.hosts.values().flatten().map(|host| &host.zone);
        let rows = self.table.pools.values();
        let served = rows.flat_map(|pool| match &pool.servers {
            Selector::Listed(servers) => servers.as_slice(),
            Selector::Service(_) => &[],
        });
        let zones: BTreeSet<&ZoneId> = listed.chain(served.map(|one| &one.zone)).collect();
        zones.into_iter().cloned().collect()
    }

    /// The servers of a pool in all zones.
    pub(crate) fn servers(&self, pool: &Pool) -> Vec<LocatedServer> {
        match &pool.servers {
            Selector::Listed(servers) => {
                let located = servers.iter().map(|server| LocatedServer {
                    id: server.id.clone(),
                    zone: server.zone.clone(),
                    addr: server.addr,
                    state: self.state(&server.id, 0, HostState::Live),
                });
                located.collect()
            }
            Selector::Service(service) => {
                let hosts = self.hosts.get(service).into_iter().flatten();
                let located = hosts.map(|host| LocatedServer {
                    id: host.id.clone(),
                    zone: host.zone.clone(),
                    addr: host.addr,
                    state: self.state(&host.id, host.incarnation, host.state),
                });
                located.collect()
            }
        }
    }

    /// Where a server of a pool listens.
    pub(crate) fn addr(&self, pool: &str, server: &str) -> Option<SocketAddr> {
        // Asked for at each grant, so no list is made.
        match &self.table.pools.get(pool)?.servers {
            Selector::Listed(servers) => {
                let found = servers.iter().find(|one| one.id == server);
                found.map(|one| one.addr)
            }
            Selector::Service(service) => {
                let found = self.hosts.get(service)?.iter().find(|one| one.id == server);
                found.map(|host| host.addr)
            }
        }
    }

    /// The servers that the dispatcher of a zone has: its own, and those it has taken over.
    pub(crate) fn entries(&self, pool: &Pool, zone: &str) -> Vec<ServerEntry> {
        let with_routers: BTreeSet<&str> = self.router_zones().collect();
        let mut entries = Vec::new();
        for server in self.servers(pool) {
            let own = server.zone == zone;
            let adopted = !own && adopter(&with_routers, &server.zone, &pool.name) == Some(zone);
            if own || adopted {
                entries.push(ServerEntry {
                    id: server.id,
                    state: server.state,
                    adopted,
                    cap: None,
                });
            }
        }
        entries
    }

    fn state(&self, host: &str, incarnation: Incarnation, listed: HostState) -> HostState {
        let is_leaving = self
            .leaving
            .get(host)
            .is_some_and(|leaving| *leaving >= incarnation);
        if is_leaving {
            HostState::Leaving
        } else {
            listed
        }
    }

    /// Zones of the routers that the host list shows.
    pub(crate) fn router_zones(&self) -> impl Iterator<Item = &str> {
        let routers = self.hosts.get(ROUTER_SERVICE).into_iter().flatten();
        let zones: BTreeSet<&str> = routers.map(|host| host.zone.as_str()).collect();
        zones.into_iter()
    }

    /// Whether the host list shows routers, and this host is none of them.
    pub(crate) fn lacks_router(&self, host: &str) -> bool {
        let routers = self.hosts.get(ROUTER_SERVICE);
        routers.is_some_and(|all| !all.is_empty() && all.iter().all(|one| one.id != host))
    }
}

/// The zone that takes over the servers of a zone without routers.
fn adopter<'a>(with_routers: &BTreeSet<&'a str>, zone: &str, pool: &str) -> Option<&'a str> {
    // Without any router in the list nothing is known of zones that have none.
    if with_routers.is_empty() || with_routers.contains(zone) {
        return None;
    }
    let duty = format!("adopt {zone} {pool}");
    rendezvous::holder(with_routers.iter().copied(), &duty)
}
