//! The header of a document: its generation and the id of its last change.
//!
//! Two documents with the same generation and different change ids come from two concurrent edits.
//! A writer whose reply was lost reads the id back to find out whether its write took effect.

use primrose_core::id::Generation;
use serde::Deserialize;
use serde::Serialize;

use crate::ini;
use crate::ini::FaultCollector;
use crate::ini::FaultKind;
use crate::ini::Fields;
use crate::ini::Location;
use crate::ini::Section;
use crate::row::Row;
use crate::value;

/// Random id of an accepted change; 0 in a document that was never accepted.
pub type ChangeId = u64;

/// Maximum size of a document, in bytes; the key-value service limits values to one megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Maximum generation; its successor fits the type and JSON readers represent it exactly.
pub const MAX_GENERATION: Generation = 1 << 53;

/// Section kind of the header.
pub(crate) const HEADER: &str = "document";

/// Generation and change id of a document.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, derive_more::Display,
)]
#[display("generation {generation}, change {change:016x}")]
pub struct Header {
    /// Generation; 0 in a document that was never accepted.
    pub generation: Generation,
    /// Id of the change; serialized as a string of 16 hexadecimal digits.
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

/// Replaces the header of a document and keeps all other lines, comments included.
pub fn replace_header(text: &str, header: Header) -> String {
    let mut output = String::with_capacity(text.len());
    let mut in_header = false;
    let mut header_written = false;
    for line in text.lines() {
        if line.starts_with('[') {
            in_header = line.trim_end() == format!("[{HEADER}]");
            output.push_str(line);
            output.push('\n');
            if in_header && !header_written {
                header_written = true;
                write_rows(&mut output, &header.rows());
            }
            continue;
        }
        let key = line.split('=').next().unwrap_or_default().trim();
        if !(in_header && ["generation", "change"].contains(&key)) {
            output.push_str(line);
            output.push('\n');
        }
    }
    output
}

/// Parses only the header, also of a document that has faults elsewhere.
pub fn peek(text: &str) -> Option<Header> {
    let mut faults = FaultCollector::new("");
    let sections = ini::read(text, &mut faults);
    parse(&sections, &mut faults)
}

pub(crate) fn parse(sections: &[Section<'_>], faults: &mut FaultCollector) -> Option<Header> {
    let header = sections
        .iter()
        .find(|section| section.kind == HEADER && section.name.is_empty());
    let Some(section) = header else {
        let expected = "a [document] section with the generation";
        faults.report(
            FaultKind::MissingSection,
            whole_document(),
            expected,
            "none",
        );
        return None;
    };
    let mut fields = Fields::new(section, faults);
    let generation = fields.required("generation", parse_generation);
    let change = fields.optional_or("change", 0, parse_change);
    fields.finish();
    Some(Header {
        generation: generation?,
        change: change?,
    })
}

/// Serializes change ids as hexadecimal strings; many JSON readers round 64-bit numbers.
mod hex {
    use serde::de::Error;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    pub(super) fn serialize<S: Serializer>(id: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{id:016x}"))
    }

    pub(super) fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        super::parse_change(&text).map_err(D::Error::custom)
    }
}

fn parse_generation(text: &str) -> Result<Generation, String> {
    let in_range = |generation: &Generation| *generation <= MAX_GENERATION;
    let generation = value::number(text).ok().filter(in_range);
    generation.ok_or_else(|| format!("a whole number up to {MAX_GENERATION}"))
}

fn parse_change(text: &str) -> Result<ChangeId, String> {
    let digits = text.chars().all(|c| c.is_ascii_hexdigit());
    let id = u64::from_str_radix(text, 16).ok().filter(|_| digits);
    id.ok_or_else(|| "a change id of up to 16 hexadecimal digits".into())
}

/// Reports a text that exceeds [`MAX_DOCUMENT_BYTES`]; returns whether it fits.
pub(crate) fn check_size(text: &str, faults: &mut FaultCollector) -> bool {
    if text.len() <= MAX_DOCUMENT_BYTES {
        return true;
    }
    let found = format!("{} bytes", text.len());
    let expected = format!("at most {MAX_DOCUMENT_BYTES} bytes");
    faults.report(FaultKind::BadValue, whole_document(), &expected, &found);
    false
}

/// Returns the location of a fault that concerns the document as a whole.
pub(crate) fn whole_document() -> Location<'static> {
    Location {
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
