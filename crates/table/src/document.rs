//! The document that holds both tables: its header, reading and writing.
//!
//! The header states the generation and a random change id. Two documents with the same
//! generation and different change ids are two operators' documents; the id also tells a writer
//! whose reply was lost whether its own write took effect.

use primrose_core::id::Generation;
use primrose_core::table::Table;

use crate::check;
use crate::ini;
use crate::ini::FaultKind;
use crate::ini::Faults;
use crate::ini::Fields;
use crate::ini::Place;
use crate::ini::Reporter;
use crate::ini::Section;
use crate::pool;
use crate::route;
use crate::row::Row;

/// Random id of one accepted change; 0 for a document that was never accepted.
pub type ChangeId = u64;

/// Largest document, in bytes; the key-value service holds values up to a megabyte.
pub const MAX_DOCUMENT: usize = 1_000_000;

/// Kind of the header section.
const HEADER: &str = "document";

/// Both tables with the id of the change that brought them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    /// Id of the change.
    pub change: ChangeId,
    /// Routes and pools, checked as a whole.
    pub table: Table,
}

/// Generation and change id of a document.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Header {
    /// Generation; 0 in a document that was never accepted.
    pub generation: Generation,
    /// Id of the change.
    pub change: ChangeId,
}

impl Document {
    /// Reads and checks a document; `file` is named in every fault.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut out = Reporter::new(file);
        if text.len() > MAX_DOCUMENT {
            let found = format!("{} bytes", text.len());
            let expected = format!("at most {MAX_DOCUMENT} bytes");
            out.report(FaultKind::BadValue, whole(), &expected, &found);
            return out.finish(None);
        }
        let sections = ini::read(text, &mut out);
        let header = parse_header(&sections, &mut out);
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

impl Header {
    fn rows(self) -> [Row; 2] {
        [
            Row::new("generation", self.generation.to_string()),
            Row::new("change", format!("{:016x}", self.change)),
        ]
    }
}

/// Puts another header on a document and leaves every other line, comments included, as it is.
pub fn stamp(text: &str, header: Header) -> String {
    let mut stamped = String::with_capacity(text.len());
    let mut inside = false;
    let mut done = false;
    for line in text.lines() {
        if line.starts_with('[') {
            inside = line.trim_end() == format!("[{HEADER}]");
            stamped.push_str(line);
            stamped.push('\n');
            if inside && !done {
                done = true;
                write_rows(&mut stamped, &header.rows());
            }
            continue;
        }
        let key = line.split('=').next().unwrap_or_default().trim();
        if !(inside && ["generation", "change"].contains(&key)) {
            stamped.push_str(line);
            stamped.push('\n');
        }
    }
    stamped
}

fn write_section(text: &mut String, header: &str, rows: &[Row]) {
    if !text.is_empty() {
        text.push('\n');
    }
    text.push_str(&format!("[{header}]\n"));
    write_rows(text, rows);
}

fn write_rows(text: &mut String, rows: &[Row]) {
    for Row { key, value } in rows {
        text.push_str(&format!("{key} = {value}\n"));
    }
}

fn whole() -> Place<'static> {
    Place {
        line: 0,
        section: "",
        key: "",
    }
}

fn parse_header(sections: &[Section<'_>], out: &mut Reporter) -> Option<Header> {
    let header = sections
        .iter()
        .find(|section| section.kind == HEADER && section.name.is_empty());
    let Some(section) = header else {
        let expected = "a [document] section with the generation";
        out.report(FaultKind::MissingSection, whole(), expected, "none");
        return None;
    };
    let mut fields = Fields::new(section, out);
    let generation = fields.required("generation", crate::value::number);
    let change = fields.or("change", 0, parse_change);
    fields.finish();
    Some(Header {
        generation: generation?,
        change: change?,
    })
}

fn parse_change(text: &str) -> Result<ChangeId, String> {
    let digits = text.chars().all(|letter| letter.is_ascii_hexdigit());
    let id = u64::from_str_radix(text, 16).ok().filter(|_| digits);
    id.ok_or_else(|| "a change id of up to 16 hexadecimal digits".into())
}

fn parse_section(section: &Section<'_>, table: &mut Table, out: &mut Reporter) {
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
