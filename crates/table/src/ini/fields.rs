//! Hands out the typed values of one section and gathers its faults.

use super::Entry;
use super::FaultCollector;
use super::FaultKind;
use super::Place;
use super::Section;
use crate::value;

/// Reads a value; the error says what was expected.
pub type Parse<T> = fn(&str) -> Result<T, String>;

/// The values of one section, asked for by key.
#[derive(Debug)]
pub struct Fields<'a, 'r> {
    section: &'r Section<'a>,
    header: String,
    known_keys: Vec<&'static str>,
    out: &'r mut FaultCollector,
}

impl<'a, 'r> Fields<'a, 'r> {
    /// Starts to read a section.
    pub fn new(section: &'r Section<'a>, out: &'r mut FaultCollector) -> Self {
        Self {
            section,
            header: section.header(),
            known_keys: Vec::new(),
            out,
        }
    }

    /// Returns the name behind the kind of the section; `None` once a fault has been reported.
    pub fn section_name(&mut self) -> Option<String> {
        match value::name(self.section.name) {
            Ok(name) => Some(name),
            Err(expected) => {
                let found = quoted(self.section.name);
                self.bad_value(self.section.line, "", &expected, &found);
                None
            }
        }
    }

    /// Returns a value that must be there; `None` once its absence or fault has been reported.
    pub fn required<T>(&mut self, key: &'static str, parse: Parse<T>) -> Option<T> {
        match self.look_up(key) {
            Some(entry) => self.parse(entry, entry.value, parse),
            None => {
                self.missing_key(key, "a value");
                None
            }
        }
    }

    /// Returns a value or its default; `None` once a fault has been reported.
    pub fn optional_or<T>(&mut self, key: &'static str, default: T, parse: Parse<T>) -> Option<T> {
        match self.look_up(key) {
            Some(entry) => self.parse(entry, entry.value, parse),
            None => Some(default),
        }
    }

    /// Returns a value if the key is there.
    pub fn optional<T>(&mut self, key: &'static str, parse: Parse<T>) -> Option<T> {
        let entry = self.look_up(key)?;
        self.parse(entry, entry.value, parse)
    }

    /// Returns whether the key is there; does not ask for it.
    pub fn contains_key(&self, key: &str) -> bool {
        self.section.entries.iter().any(|entry| entry.key == key)
    }

    /// Returns the entries whose key begins with a prefix, with the rest of the key.
    ///
    /// `shown` is how such a key is named to an operator, such as `weight.ACCOUNT`.
    pub fn prefixed(&mut self, prefix: &str, shown: &'static str) -> Vec<(&'a str, Entry<'a>)> {
        self.known_keys.push(shown);
        let entries = self.section.entries.iter();
        entries
            .filter_map(|entry| Some((entry.key.strip_prefix(prefix)?, *entry)))
            .collect()
    }

    /// Reads part of an entry; `None` once a fault has been reported.
    pub fn parse<T>(&mut self, entry: Entry<'_>, text: &str, parse: Parse<T>) -> Option<T> {
        match parse(text) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.bad_value(entry.line, entry.key, &expected, &quoted(text));
                None
            }
        }
    }

    /// Returns the line of a key, or of the header if the key is not there.
    pub fn line_of(&self, key: &str) -> u32 {
        let entry = self.section.entries.iter().find(|entry| entry.key == key);
        entry.map_or(self.section.line, |entry| entry.line)
    }

    /// Reports a value that is out of bounds.
    pub fn bad_value(&mut self, line: u32, key: &str, expected: &str, found: &str) {
        self.report(FaultKind::BadValue, line, key, expected, found);
    }

    /// Reports a key that must be there.
    pub fn missing_key(&mut self, key: &str, expected: &str) {
        let line = self.section.line;
        self.report(FaultKind::MissingKey, line, key, expected, "none");
    }

    /// Reports any fault of this section.
    pub fn report(&mut self, kind: FaultKind, line: u32, key: &str, expected: &str, found: &str) {
        let section = &self.header;
        let place = Place { line, section, key };
        self.out.report(kind, place, expected, found);
    }

    /// Reports every key that nobody asked for.
    pub fn finish(mut self) {
        let expected = format!("one of {}", self.known_keys.join(", "));
        let unknown: Vec<Entry<'a>> = self
            .section
            .entries
            .iter()
            .filter(|entry| !self.is_known_key(entry.key))
            .copied()
            .collect();
        for entry in unknown {
            let found = "an unknown key";
            self.report(
                FaultKind::UnknownKey,
                entry.line,
                entry.key,
                &expected,
                found,
            );
        }
    }

    fn is_known_key(&self, key: &str) -> bool {
        self.known_keys.iter().any(|known| {
            let known_prefix = known.split_once('.').map(|(prefix, _)| prefix);
            match (known_prefix, key.split_once('.')) {
                (Some(prefix), Some((given, _))) => prefix == given,
                _ => *known == key,
            }
        })
    }

    fn look_up(&mut self, key: &'static str) -> Option<Entry<'a>> {
        self.known_keys.push(key);
        let mut entries = self.section.entries.iter();
        entries.find(|entry| entry.key == key).copied()
    }
}

/// Quotes a value for a message, cut to a readable length.
pub(crate) fn quoted(text: &str) -> String {
    /// Longest part of a value that a message repeats, in characters.
    const MAX_QUOTED_CHARS: usize = 80;
    if text.chars().count() <= MAX_QUOTED_CHARS {
        return format!("{text:?}");
    }
    let start: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    format!("{start:?}...")
}
