//! Validates both tables together: references from routes to pools, and names that must be unique.

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

use crate::ini::FaultCollector;
use crate::ini::FaultKind;
use crate::ini::Location;
use crate::ini::Section;
use crate::pool;
use crate::route;
use crate::value::format_duration;

/// Reports the faults that involve more than one section.
pub fn check(sections: &[Section<'_>], table: &Table, faults: &mut FaultCollector) {
    let mut check = Check { sections, faults };
    for route in table.routes.values() {
        check.check_pool_reference(route, table);
    }
    check.check_unique_matchers(table);
    check.check_unique_servers(table);
}

struct Check<'a, 'r> {
    sections: &'r [Section<'a>],
    faults: &'r mut FaultCollector,
}

impl<'a> Check<'a, '_> {
    fn check_pool_reference(&mut self, route: &Route, table: &Table) {
        let Some(pool) = table.pools.get(&route.pool) else {
            // A pool that was left out of the table because of its own faults is not missing.
            if self.find_section(pool::KIND, &route.pool).is_none() {
                let found = format!("no [pool {}]", route.pool);
                let expected = "the name of a pool in this document";
                self.report_route_fault(FaultKind::Reference, route, "pool", expected, &found);
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
            self.report_route_fault(FaultKind::Reference, route, "pool", &expected, &found);
        }
        if route.deadline > pool.max_run_time {
            let longest = format_duration(pool.max_run_time);
            let expected = format!("at most the pool's longest-run, {longest}");
            let found = format_duration(route.deadline);
            self.report_route_fault(FaultKind::BadValue, route, "deadline", &expected, &found);
        }
    }

    fn check_unique_matchers(&mut self, table: &Table) {
        let mut seen: Vec<&Route> = Vec::new();
        for route in table.routes.values() {
            let duplicate = seen.iter().find(|other| other.matcher == route.matcher);
            if let Some(duplicate) = duplicate {
                let key = match route.matcher {
                    Matcher::Model(_) => "model",
                    Matcher::Path(_) => "path",
                };
                let expected = "each model and path in one route";
                let found = format!("the same as in [route {}]", duplicate.name);
                self.report_route_fault(FaultKind::Duplicate, route, key, expected, &found);
            }
            seen.push(route);
        }
    }

    /// Reports servers that are in two pools: such a server would get the slots of both.
    fn check_unique_servers(&mut self, table: &Table) {
        let mut names: BTreeMap<&ServerId, &PoolId> = BTreeMap::new();
        let mut addrs: BTreeMap<SocketAddr, &PoolId> = BTreeMap::new();
        let mut services: BTreeMap<&str, &PoolId> = BTreeMap::new();
        for pool in table.pools.values() {
            match &pool.servers {
                Selector::Service(service) => {
                    if let Some(other) = services.insert(service, &pool.name) {
                        let expected = "each service in one pool";
                        self.report_pool_fault(pool, "service", expected, other);
                    }
                }
                Selector::Listed(servers) => {
                    for server in servers {
                        let key = format!("server.{}", server.id);
                        if let Some(other) = names.insert(&server.id, &pool.name) {
                            self.report_pool_fault(pool, &key, "each server in one pool", other);
                        }
                        if let Some(other) = addrs.insert(server.addr, &pool.name) {
                            self.report_pool_fault(pool, &key, "each address once", other);
                        }
                    }
                }
            }
        }
    }

    fn report_pool_fault(&mut self, pool: &Pool, key: &str, expected: &str, other: &str) {
        let found = format!("the same in [pool {other}]");
        self.report_fault(
            FaultKind::Duplicate,
            (pool::KIND, &pool.name),
            key,
            expected,
            &found,
        );
    }

    fn report_route_fault(
        &mut self,
        kind: FaultKind,
        route: &Route,
        key: &str,
        expected: &str,
        found: &str,
    ) {
        self.report_fault(kind, (route::KIND, &route.name), key, expected, found);
    }

    fn report_fault(
        &mut self,
        kind: FaultKind,
        (table, name): (&str, &str),
        key: &str,
        expected: &str,
        found: &str,
    ) {
        let Some(section) = self.find_section(table, name) else {
            return;
        };
        let entry = section.entries.iter().find(|entry| entry.key == key);
        let line = entry.map_or(section.line, |entry| entry.line);
        let section = section.header();
        let location = Location {
            line,
            section: &section,
            key,
        };
        self.faults.report(kind, location, expected, found);
    }

    fn find_section(&self, kind: &str, name: &str) -> Option<&Section<'a>> {
        let mut sections = self.sections.iter();
        sections.find(|section| section.kind == kind && section.name == name)
    }
}
