//! The header of a document: its generation and the id of the change that brought it.
//!
//! Two documents with the same generation and different change ids are two operators' documents;
//! the id also tells a writer whose reply was lost whether its own write took effect.

use primrose_core::id::Generation;
use serde::Deserialize;
use serde::Serialize;

use crate::ini;
use crate::ini::FaultCollector;
use crate::ini::FaultKind;
use crate::ini::Fields;
use crate::ini::Place;
use crate::ini::Section;
use crate::row::Row;
use crate::value;

/// Random id of one accepted change; 0 for a document that was never accepted.
pub type ChangeId = u64;

/// Largest document, in bytes; the key-value service holds values up to a megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Highest generation, so that one more is always a number and JSON readers keep every digit.
pub const MAX_GENERATION: Generation = 1 << 53;

/// Kind of the header section.
pub(crate) const HEADER: &str = "document";

/// Generation and change id of a document.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, derive_more::Display,
)]
#[display("generation {generation}, change {change:016x}")]
pub struct Header {
    /// Generation; 0 in a document that was never accepted.
    pub generation: Generation,
    /// Id of the change; in JSON a string of 16 hexadecimal digits.
    #[serde(with = "hex")]
    pub change: ChangeId,
}

impl Header {
    pub(crate) fn rows(self) -> [Row; 2] {
        [
            Row::new("generation", self.generation.to_string()),
            Row::new("change", format!("{:016x}", self.change)),
        ]
    }
}

/// Puts another header on a document and leaves every other line, comments included, as it is.
pub fn replace_header(text: &str, header: Header) -> String {
    let mut output = String::with_capacity(text.len());
    let mut inside = false;
    let mut done = false;
    for line in text.lines() {
        if line.starts_with('[') {
            inside = line.trim_end() == format!("[{HEADER}]");
            output.push_str(line);
            output.push('\n');
            if inside && !done {
                done = true;
                write_rows(&mut output, &header.rows());
            }
            continue;
        }
        let key = line.split('=').next().unwrap_or_default().trim();
        if !(inside && ["generation", "change"].contains(&key)) {
            output.push_str(line);
            output.push('\n');
        }
    }
    output
}

/// Reads the header alone, also of a document that has faults elsewhere.
pub fn peek(text: &str) -> Option<Header> {
    let mut out = FaultCollector::new("");
    let sections = ini::read(text, &mut out);
    parse(&sections, &mut out)
}

pub(crate) fn parse(sections: &[Section<'_>], out: &mut FaultCollector) -> Option<Header> {
    let header = sections
        .iter()
        .find(|section| section.kind == HEADER && section.name.is_empty());
    let Some(section) = header else {
        let expected = "a [document] section with the generation";
        out.report(FaultKind::MissingSection, whole(), expected, "none");
        return None;
    };
    let mut fields = Fields::new(section, out);
    let generation = fields.required("generation", parse_generation);
    let change = fields.optional_or("change", 0, parse_change);
    fields.finish();
    Some(Header {
        generation: generation?,
        change: change?,
    })
}

/// Change ids in JSON: a number of 64 bits would lose digits in many readers.
mod hex {
    use serde::de::Error;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    pub(super) fn serialize<S: Serializer>(id: &u64, out: S) -> Result<S::Ok, S::Error> {
        out.collect_str(&format_args!("{id:016x}"))
    }

    pub(super) fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<u64, D::Error> {
        let text = String::deserialize(from)?;
        super::parse_change(&text).map_err(D::Error::custom)
    }
}

fn parse_generation(text: &str) -> Result<Generation, String> {
    let fits = |generation: &Generation| *generation <= MAX_GENERATION;
    let generation = value::number(text).ok().filter(fits);
    generation.ok_or_else(|| format!("a whole number up to {MAX_GENERATION}"))
}

fn parse_change(text: &str) -> Result<ChangeId, String> {
    let digits = text.chars().all(|c| c.is_ascii_hexdigit());
    let id = u64::from_str_radix(text, 16).ok().filter(|_| digits);
    id.ok_or_else(|| "a change id of up to 16 hexadecimal digits".into())
}

/// Reports a text that the key-value service could not hold; returns whether it fits.
pub(crate) fn fits(text: &str, out: &mut FaultCollector) -> bool {
    if text.len() <= MAX_DOCUMENT_BYTES {
        return true;
    }
    let found = format!("{} bytes", text.len());
    let expected = format!("at most {MAX_DOCUMENT_BYTES} bytes");
    out.report(FaultKind::BadValue, whole(), &expected, &found);
    false
}

pub(crate) fn whole() -> Place<'static> {
    Place {
        line: 0,
        section: "",
        key: "",
    }
}

pub(crate) fn write_section(text: &mut String, header: &str, rows: &[Row]) {
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
