//! Parses INI text into sections and reports every fault with its location.
//!
//! The text is tokenized by `ini_core`. This module adds what an operator needs to correct a
//! document: line numbers, detection of duplicates, and [`Fields`], which parses typed values,
//! reports faults as it goes, and at the end reports unknown keys.
//!
//! A section header is `[kind]` or `[kind name]`. A comment is a line that begins with `;`. A
//! comment cannot follow a value, because values may contain a `;`.

mod fault;
mod fields;

use std::collections::HashMap;

use ini_core::Item;
use ini_core::Parser;

pub use fault::Fault;
pub use fault::FaultKind;
pub use fault::Faults;
pub use fields::Fields;
pub use fields::Parse;

/// One `key = value` line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry<'a> {
    /// Line number, from 1.
    pub line: u32,
    /// Key, without white space around it.
    pub key: &'a str,
    /// Value, without white space around it.
    pub value: &'a str,
}

/// One section with its entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section<'a> {
    /// Line number of the header, from 1.
    pub line: u32,
    /// First word of the header.
    pub kind: &'a str,
    /// Rest of the header; empty if there is none.
    pub name: &'a str,
    /// Entries in the order of the text; keys are unique.
    pub entries: Vec<Entry<'a>>,
}

impl Section<'_> {
    /// Returns the header as written between the brackets.
    pub fn header(&self) -> String {
        if self.name.is_empty() {
            self.kind.to_owned()
        } else {
            format!("{} {}", self.kind, self.name)
        }
    }
}

/// Collects the faults of one document.
#[derive(Debug)]
pub struct FaultCollector {
    file: String,
    faults: Vec<Fault>,
}

impl FaultCollector {
    /// Creates an empty collector; every fault names the document as `file`.
    pub fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            faults: Vec::new(),
        }
    }

    /// Records a fault.
    pub fn report(&mut self, kind: FaultKind, location: Location<'_>, expected: &str, found: &str) {
        self.faults.push(Fault {
            kind,
            file: self.file.clone(),
            line: location.line,
            section: location.section.to_owned(),
            key: location.key.to_owned(),
            expected: expected.to_owned(),
            found: found.to_owned(),
        });
    }

    /// Returns the value if there is one and no fault was recorded, or all faults by line.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T, Faults> {
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => {
                self.faults.sort_by_key(|fault| fault.line);
                Err(Faults(self.faults))
            }
        }
    }
}

/// The location of a fault in a document.
#[derive(Debug, Clone, Copy)]
pub struct Location<'a> {
    /// Line number, from 1; 0 for the document as a whole.
    pub line: u32,
    /// Header of the section; empty outside of all sections.
    pub section: &'a str,
    /// Key; empty if the fault does not concern one key.
    pub key: &'a str,
}

/// Parses a text into sections; invalid lines are reported and left out.
pub fn read<'a>(text: &'a str, faults: &mut FaultCollector) -> Vec<Section<'a>> {
    let mut reader = Reader {
        sections: Vec::new(),
        header_lines: HashMap::new(),
        key_lines: HashMap::new(),
        skip_entries: false,
        faults,
    };
    let mut parser = Parser::new(text).auto_trim(true);
    loop {
        let line = parser.line() + 1;
        let Some(item) = parser.next() else {
            return reader.sections;
        };
        reader.process(line, item);
    }
}

/// State of parsing one text.
struct Reader<'a, 'r> {
    sections: Vec<Section<'a>>,
    /// Line of each header, by kind and name.
    header_lines: HashMap<(&'a str, &'a str), u32>,
    /// Line of each key of the current section.
    key_lines: HashMap<&'a str, u32>,
    /// Set after an invalid section header; the entries below it are left out with it.
    skip_entries: bool,
    faults: &'r mut FaultCollector,
}

impl<'a> Reader<'a, '_> {
    fn process(&mut self, line: u32, item: Item<'a>) {
        match item {
            Item::Blank | Item::Comment(_) | Item::SectionEnd => {}
            Item::Error(found) => {
                self.skip_entries = true;
                self.report_syntax(line, "", "a section header such as [route chat]", found);
            }
            Item::Section(header) => self.skip_entries = !self.start_section(header, line),
            Item::Property(_, _) if self.skip_entries => {}
            Item::Property(key, value) => self.add_entry(key, value, line),
        }
    }

    /// Starts a section; returns whether its header is valid.
    fn start_section(&mut self, header: &'a str, line: u32) -> bool {
        let (kind, name) = header
            .split_once(|c: char| c.is_ascii_whitespace())
            .unwrap_or((header, ""));
        let name = name.trim();
        if kind.is_empty() {
            self.report_syntax(line, "", "a section header such as [route chat]", "[]");
            return false;
        }
        if let Some(earlier) = self.header_lines.insert((kind, name), line) {
            self.report_duplicate(line, header, "", "each section once", earlier);
            return false;
        }
        self.key_lines.clear();
        self.sections.push(Section {
            line,
            kind,
            name,
            entries: Vec::new(),
        });
        true
    }

    fn add_entry(&mut self, key: &'a str, value: Option<&'a str>, line: u32) {
        let Some(section) = self.sections.last_mut() else {
            self.report_syntax(line, "", "a section header before the first key", key);
            return;
        };
        let header = section.header();
        let Some(value) = value.filter(|_| !key.is_empty()) else {
            let expected = "key = value, or a comment that begins with ;";
            self.report_syntax(line, &header, expected, key);
            return;
        };
        match self.key_lines.insert(key, line) {
            None => section.entries.push(Entry { line, key, value }),
            Some(earlier) => self.report_duplicate(line, &header, key, "each key once", earlier),
        }
    }

    fn report_syntax(&mut self, line: u32, section: &str, expected: &str, found: &str) {
        let key = "";
        let location = Location { line, section, key };
        let found = fields::quoted(found);
        self.faults
            .report(FaultKind::Syntax, location, expected, &found);
    }

    fn report_duplicate(
        &mut self,
        line: u32,
        section: &str,
        key: &str,
        expected: &str,
        earlier: u32,
    ) {
        let location = Location { line, section, key };
        let found = format!("a duplicate of line {earlier}");
        self.faults
            .report(FaultKind::Duplicate, location, expected, &found);
    }
}
