//! Typed access to the values of one section.

use super::Entry;
use super::FaultCollector;
use super::FaultKind;
use super::Location;
use super::Section;
use crate::value;

/// Parses a value; the error describes the expected value.
pub type Parse<T> = fn(&str) -> Result<T, String>;

/// Parses the values of one section by key and reports its faults.
///
/// Every key that is requested becomes a known key; [`Fields::finish`] reports all others.
#[derive(Debug)]
pub struct Fields<'a, 'r> {
    section: &'r Section<'a>,
    header: String,
    known_keys: Vec<&'static str>,
    faults: &'r mut FaultCollector,
}

impl<'a, 'r> Fields<'a, 'r> {
    /// Starts parsing a section.
    pub fn new(section: &'r Section<'a>, faults: &'r mut FaultCollector) -> Self {
        Self {
            section,
            header: section.header(),
            known_keys: Vec::new(),
            faults,
        }
    }

    /// Returns the name in the section header, or reports a fault and returns `None`.
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

    /// Returns a required value, or reports that it is missing or invalid and returns `None`.
    pub fn required<T>(&mut self, key: &'static str, parse: Parse<T>) -> Option<T> {
        match self.look_up(key) {
            Some(entry) => self.parse(entry, entry.value, parse),
            None => {
                self.missing_key(key, "a value");
                None
            }
        }
    }

    /// Returns a value or its default, or reports an invalid value and returns `None`.
    pub fn optional_or<T>(&mut self, key: &'static str, default: T, parse: Parse<T>) -> Option<T> {
        match self.look_up(key) {
            Some(entry) => self.parse(entry, entry.value, parse),
            None => Some(default),
        }
    }

    /// Returns a value if the key is present and valid; reports an invalid value.
    pub fn optional<T>(&mut self, key: &'static str, parse: Parse<T>) -> Option<T> {
        let entry = self.look_up(key)?;
        self.parse(entry, entry.value, parse)
    }

    /// Returns whether the key is present, without making it a known key.
    pub fn contains_key(&self, key: &str) -> bool {
        self.section.entries.iter().any(|entry| entry.key == key)
    }

    /// Returns the entries whose key begins with a prefix, with the rest of the key.
    ///
    /// `pattern` stands for such keys in messages, such as `weight.ACCOUNT`.
    pub fn prefixed(&mut self, prefix: &str, pattern: &'static str) -> Vec<(&'a str, Entry<'a>)> {
        self.known_keys.push(pattern);
        let entries = self.section.entries.iter();
        entries
            .filter_map(|entry| Some((entry.key.strip_prefix(prefix)?, *entry)))
            .collect()
    }

    /// Parses part of an entry, or reports a fault and returns `None`.
    pub fn parse<T>(&mut self, entry: Entry<'_>, text: &str, parse: Parse<T>) -> Option<T> {
        match parse(text) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.bad_value(entry.line, entry.key, &expected, &quoted(text));
                None
            }
        }
    }

    /// Returns the line of a key, or of the section header if the key is absent.
    pub fn line_of(&self, key: &str) -> u32 {
        let entry = self.section.entries.iter().find(|entry| entry.key == key);
        entry.map_or(self.section.line, |entry| entry.line)
    }

    /// Reports an invalid value.
    pub fn bad_value(&mut self, line: u32, key: &str, expected: &str, found: &str) {
        self.report(FaultKind::BadValue, line, key, expected, found);
    }

    /// Reports a missing required key.
    pub fn missing_key(&mut self, key: &str, expected: &str) {
        let line = self.section.line;
        self.report(FaultKind::MissingKey, line, key, expected, "none");
    }

    /// Reports a fault of this section.
    pub fn report(&mut self, kind: FaultKind, line: u32, key: &str, expected: &str, found: &str) {
        let section = &self.header;
        let location = Location { line, section, key };
        self.faults.report(kind, location, expected, found);
    }

    /// Reports every key that was never requested.
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

/// Quotes a value for a message, truncated to a readable length.
pub(crate) fn quoted(text: &str) -> String {
    /// Maximum length of a quoted value, in characters.
    const MAX_QUOTED_CHARS: usize = 80;
    if text.chars().count() <= MAX_QUOTED_CHARS {
        return format!("{text:?}");
    }
    let start: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    format!("{start:?}...")
}
