//! The document that holds both tables: reading it and writing it.

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
use crate::ini::Place;
use crate::ini::Section;
use crate::pool;
use crate::route;

/// Both tables with the id of the change that brought them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    /// Id of the change.
    pub change: ChangeId,
    /// Routes and pools, checked as a whole.
    pub table: Table,
}

impl Document {
    /// Reads and checks a document; `file` is named in every fault.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut out = FaultCollector::new(file);
        if !header::fits(text, &mut out) {
            return out.finish(None);
        }
        let sections = ini::read(text, &mut out);
        let header = header::parse(&sections, &mut out);
        let mut table = Table::default();
        for section in &sections {
            parse_section(section, &mut table, &mut out);
        }
        check::check(&sections, &table, &mut out);
        let document = header.map(|header| {
            table.generation = header.generation;
            let change = header.change;
            Self { change, table }
        });
        out.finish(document)
    }

    /// Returns the header.
    pub fn header(&self) -> Header {
        Header {
            generation: self.table.generation,
            change: self.change,
        }
    }

    /// Writes the document; reading it again gives the same value.
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

fn parse_section(section: &Section<'_>, table: &mut Table, out: &mut FaultCollector) {
    match section.kind {
        route::KIND => {
            if let Some(route) = route::parse(section, out) {
                table.routes.insert(route.name.clone(), route);
            }
        }
        pool::KIND => {
            if let Some(pool) = pool::parse(section, out) {
                table.pools.insert(pool.name.clone(), pool);
            }
        }
        HEADER if section.name.is_empty() => {}
        _ => {
            let header = section.header();
            let place = Place {
                line: section.line,
                section: &header,
                key: "",
            };
            let expected = "[document], [route NAME] or [pool NAME]";
            out.report(
                FaultKind::UnknownSection,
                place,
                expected,
                "an unknown section",
            );
        }
    }
}
