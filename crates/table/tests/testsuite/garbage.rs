//! Parsing arbitrary input returns a document or faults and never panics.

use primrose_support::seeded::checker;
use primrose_table::document::Document;
use primrose_table::ini::Faults;

use crate::support::VALID;

fn is_valid_or_has_faults(result: Result<Document, Faults>) -> bool {
    result.map_or_else(|faults| !faults.0.is_empty(), |_| true)
}

#[test]
fn arbitrary_text_never_panics() {
    fn holds(text: String) -> bool {
        is_valid_or_has_faults(Document::parse("t.ini", &text))
    }
    checker().quickcheck(holds as fn(String) -> bool);
}

#[test]
fn an_arbitrary_value_on_any_line_never_panics() {
    fn holds(line: usize, value: String) -> bool {
        let count = VALID.lines().count();
        let mut lines: Vec<String> = VALID.lines().map(str::to_owned).collect();
        let target = &mut lines[line % count];
        let key = target.split('=').next().unwrap_or_default();
        *target = format!("{key}={value}");
        is_valid_or_has_faults(Document::parse("t.ini", &lines.join("\n")))
    }
    checker().quickcheck(holds as fn(usize, String) -> bool);
}

#[test]
fn a_changed_byte_never_panics() {
    fn holds(at: usize, byte: u8) -> bool {
        let mut bytes = VALID.as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        let text = String::from_utf8_lossy(&bytes);
        is_valid_or_has_faults(Document::parse("t.ini", &text))
    }
    checker().quickcheck(holds as fn(usize, u8) -> bool);
}

#[test]
fn a_truncated_document_never_panics() {
    fn holds(at: usize) -> bool {
        is_valid_or_has_faults(Document::parse("t.ini", &VALID[..at % VALID.len()]))
    }
    checker().quickcheck(holds as fn(usize) -> bool);
}
