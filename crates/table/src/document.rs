//! Parses and renders the document that holds the routes and pools tables.

use primrose_core::table::Table;

use crate::check;
use crate::header;
use crate::header::write_section;
use crate::header::ChangeId;
use crate::header::Header;
use crate::header::HEADER;
use crate::ini;
use crate::ini::FaultCollector;
use crate::ini::FaultKind;
use crate::ini::Faults;
use crate::ini::Location;
use crate::ini::Section;
use crate::pool;
use crate::route;

/// The routes and pools tables with the id of their last change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    /// Id of the last accepted change.
    pub change: ChangeId,
    /// Routes and pools, validated together.
    pub table: Table,
}

impl Document {
    /// Parses and validates a document; every fault names it as `file`.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut faults = FaultCollector::new(file);
        if !header::check_size(text, &mut faults) {
            return faults.finish(None);
        }
        let sections = ini::read(text, &mut faults);
        let header = header::parse(&sections, &mut faults);
        let mut table = Table::default();
        for section in &sections {
            parse_section(section, &mut table, &mut faults);
        }
        check::check(&sections, &table, &mut faults);
        let document = header.map(|header| {
            table.generation = header.generation;
            let change = header.change;
            Self { change, table }
        });
        faults.finish(document)
    }

    /// Returns the header.
    pub fn header(&self) -> Header {
        Header {
            generation: self.table.generation,
            change: self.change,
        }
    }

    /// Renders the document; parsing the result gives the same value.
    pub fn render(&self) -> String {
        let mut text = String::new();
        write_section(&mut text, HEADER, &self.header().rows());
        for route in self.table.routes.values() {
            let header = format!("{} {}", route::KIND, route.name);
            write_section(&mut text, &header, &route::rows(route));
        }
        for pool in self.table.pools.values() {
            let header = format!("{} {}", pool::KIND, pool.name);
            write_section(&mut text, &header, &pool::rows(pool));
        }
        text
    }
}

fn parse_section(section: &Section<'_>, table: &mut Table, faults: &mut FaultCollector) {
    match section.kind {
        route::KIND => {
            if let Some(route) = route::parse(section, faults) {
                table.routes.insert(route.name.clone(), route);
            }
        }
        pool::KIND => {
            if let Some(pool) = pool::parse(section, faults) {
                table.pools.insert(pool.name.clone(), pool);
            }
        }
        HEADER if section.name.is_empty() => {}
        _ => {
            let header = section.header();
            let location = Location {
                line: section.line,
                section: &header,
                key: "",
            };
            let expected = "[document], [route NAME] or [pool NAME]";
            faults.report(
                FaultKind::UnknownSection,
                location,
                expected,
                "an unknown section",
            );
        }
    }
}
