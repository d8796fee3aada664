//! Directory of the backend servers: the servers of the table joined with the host list.
//!
//! The host list lags behind, so a report of another router that a host is leaving overrides it: an
//! incarnation of a host that was ever reported as leaving counts as leaving from then on.

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

/// A backend server with its zone, address and state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LocatedServer {
    pub(crate) id: ServerId,
    pub(crate) zone: ZoneId,
    pub(crate) addr: SocketAddr,
    pub(crate) state: HostState,
}

/// Servers of all pools, with the hosts and zones of the fleet.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    table: Arc<Table>,
    hosts: BTreeMap<String, Vec<Host>>,
    /// Zones of the table's servers and of the hosts, cached because they are read far more often
    /// than they change.
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

    /// Marks this and earlier incarnations of a host as leaving.
    pub(crate) fn set_leaving(&mut self, host: HostId, incarnation: Incarnation) {
        let latest = self.leaving.entry(host).or_default();
        *latest = incarnation.max(*latest);
    }

    /// Returns all hosts of all services, as read from the host list.
    pub(crate) fn hosts(&self) -> Vec<Host> {
        self.hosts.values().flatten().cloned().collect()
    }

    /// Returns the availability zones that have a router or a server.
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

    /// Returns the servers of a pool in all zones.
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

    /// Returns the address of a server of a pool.
    pub(crate) fn addr(&self, pool: &str, server: &str) -> Option<SocketAddr> {
        // Called for each grant, so it searches without building a list.
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

    /// Returns the servers of a zone's dispatcher: those of the zone and those it has adopted.
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

    /// Returns the zones of the routers in the host list.
    pub(crate) fn router_zones(&self) -> impl Iterator<Item = &str> {
        let routers = self.hosts.get(ROUTER_SERVICE).into_iter().flatten();
        let zones: BTreeSet<&str> = routers.map(|host| host.zone.as_str()).collect();
        zones.into_iter()
    }

    /// Whether the host list has routers and this host is not one of them.
    pub(crate) fn lacks_router(&self, host: &str) -> bool {
        let routers = self.hosts.get(ROUTER_SERVICE);
        routers.is_some_and(|all| !all.is_empty() && all.iter().all(|one| one.id != host))
    }
}

/// Returns the zone that adopts the servers of a zone without routers.
fn adopter<'a>(with_routers: &BTreeSet<&'a str>, zone: &str, pool: &str) -> Option<&'a str> {
    // An empty list does not tell which zones have no routers.
    if with_routers.is_empty() || with_routers.contains(zone) {
        return None;
    }
    let duty = format!("adopt {zone} {pool}");
    rendezvous::holder(with_routers.iter().copied(), &duty)
}
