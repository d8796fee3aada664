//! Checks both tables as a whole: the join of routes to pools, and names that must stand once.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use primrose_core::id::PoolId;
use primrose_core::id::ServerId;
use primrose_core::table::Matcher;
use primrose_core::table::Pool;
use primrose_core::table::PoolKind;
use primrose_core::table::Route;
use primrose_core::table::Selector;
use primrose_core::table::Table;

use crate::ini::FaultKind;
use crate::ini::Place;
use crate::ini::Reporter;
use crate::ini::Section;
use crate::pool;
use crate::route;
use crate::value::write_duration;

/// Reports every fault that no single section shows.
pub fn check(sections: &[Section<'_>], table: &Table, out: &mut Reporter) {
    let mut check = Check { sections, out };
    for route in table.routes.values() {
        check.join(route, table);
    }
    check.matchers(table);
    check.servers(table);
}

struct Check<'a, 'r> {
    sections: &'r [Section<'a>],
    out: &'r mut Reporter,
}

impl<'a> Check<'a, '_> {
    fn join(&mut self, route: &Route, table: &Table) {
        let Some(pool) = table.pools.get(&route.pool) else {
            // A pool whose own faults kept it out of the table is not missing.
            if self.section(pool::KIND, &route.pool).is_none() {
                let found = format!("no [pool {}]", route.pool);
                let expected = "the name of a pool in this document";
                self.route_fault(FaultKind::Reference, route, "pool", expected, &found);
            }
            return;
        };
        let kind = match route.matcher {
            Matcher::Model(_) => PoolKind::Engine,
            Matcher::Path(_) => PoolKind::Plain,
        };
        if pool.kind != kind {
            let expected = format!("a pool of kind {kind}");
            let found = format!("{}, of kind {}", pool.name, pool.kind);
            self.route_fault(FaultKind::Reference, route, "pool", &expected, &found);
        }
        if route.deadline > pool.max_run_time {
            let longest = write_duration(pool.max_run_time);
            let expected = format!("at most the pool's longest-run, {longest}");
            let found = write_duration(route.deadline);
            self.route_fault(FaultKind::BadValue, route, "deadline", &expected, &found);
        }
    }

    fn matchers(&mut self, table: &Table) {
        let mut seen: Vec<&Route> = Vec::new();
        for route in table.routes.values() {
            let twin = seen.iter().find(|other| other.matcher == route.matcher);
            if let Some(twin) = twin {
                let key = match route.matcher {
                    Matcher::Model(_) => "model",
                    Matcher::Path(_) => "path",
                };
                let expected = "each model and path in one route";
                let found = format!("the same as in [route {}]", twin.name);
                self.route_fault(FaultKind::Duplicate, route, key, expected, &found);
            }
            seen.push(route);
        }
    }

    /// A server in two pools would be given the slots of both.
    fn servers(&mut self, table: &Table) {
        let mut names: BTreeMap<&ServerId, &PoolId> = BTreeMap::new();
        let mut addrs: BTreeMap<SocketAddr, &PoolId> = BTreeMap::new();
        let mut services: BTreeMap<&str, &PoolId> = BTreeMap::new();
        for pool in table.pools.values() {
            match &pool.servers {
                Selector::Service(service) => {
                    if let Some(other) = services.insert(service, &pool.name) {
                        let expected = "each service in one pool";
                        self.pool_fault(pool, "service", expected, other);
                    }
                }
                Selector::Listed(servers) => {
                    for server in servers {
                        let key = format!("server.{}", server.id);
                        if let Some(other) = names.insert(&server.id, &pool.name) {
                            self.pool_fault(pool, &key, "each server in one pool", other);
                        }
                        if let Some(other) = addrs.insert(server.addr, &pool.name) {
                            self.pool_fault(pool, &key, "each address once", other);
                        }
                    }
                }
            }
        }
    }

    fn pool_fault(&mut self, pool: &Pool, key: &str, expected: &str, other: &str) {
        let found = format!("the same in [pool {other}]");
        self.fault(
            FaultKind::Duplicate,
            (pool::KIND, &pool.name),
            key,
            expected,
            &found,
        );
    }

    fn route_fault(
        &mut self,
        kind: FaultKind,
        route: &Route,
        key: &str,
        expected: &str,
        found: &str,
    ) {
        self.fault(kind, (route::KIND, &route.name), key, expected, found);
    }

    fn fault(
        &mut self,
        kind: FaultKind,
        (table, name): (&str, &str),
        key: &str,
        expected: &str,
        found: &str,
    ) {
        let Some(section) = self.section(table, name) else {
            return;
        };
        let entry = section.entries.iter().find(|entry| entry.key == key);
        let line = entry.map_or(section.line, |entry| entry.line);
        let section = section.header();
        let place = Place {
            line,
            section: &section,
            key,
        };
        self.out.report(kind, place, expected, found);
    }

    fn section(&self, kind: &str, name: &str) -> Option<&Section<'a>> {
        let mut sections = self.sections.iter();
        sections.find(|section| section.kind == kind && section.name == name)
    }
}
