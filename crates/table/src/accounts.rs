//! The client accounts and the hashes of their bearer keys.
//!
//! The accounts have their own document, under its own key of the key-value service: keys are
//! added and removed at different times than routes and pools, often by different people, and a
//! table that is shown or sent around should not contain even hashes of keys. An account may have
//! several keys, each with a label, so that a new key can be issued before the old one is removed.
//!
//! ```ini
//! [document]
//! generation = 4
//! [account temple-kazipara]
//! key-sha256.spring = 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae
//! ```
//!
//! A key is 256 random bits, so a plain SHA-256 cannot be reversed by brute force; a slow password
//! hash would only add time to every request. [`Accounts::find`] looks up the digest in a hash map.
//! The lookup is not constant-time and need not be: its timing could reveal only part of a digest,
//! and a caller cannot choose the digest of a guess.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;

use primrose_core::id::AccountId;
use sha2::Digest;
use sha2::Sha256;

use crate::header;
use crate::header::write_section;
use crate::header::Header;
use crate::header::HEADER;
use crate::ini;
use crate::ini::FaultCollector;
use crate::ini::FaultKind;
use crate::ini::Faults;
use crate::ini::Fields;
use crate::ini::Location;
use crate::ini::Section;
use crate::row::Row;
use crate::value;

/// Section kind of an account.
const KIND: &str = "account";
/// Prefix of the INI keys that hold hashes.
const HASH_PREFIX: &str = "key-sha256.";
/// Length of a SHA-256 hash, in bytes.
const HASH_BYTES: usize = 32;

/// Name of a bearer key within its account.
pub type KeyLabel = String;

/// SHA-256 of a bearer key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Computes the hash of a bearer key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(out, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "KeyHash({self})")
    }
}

/// The keys of one account, by label.
pub type Keys = BTreeMap<KeyLabel, KeyHash>;

/// All client accounts with the hashes of their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Accounts {
    /// Generation and change id of the document.
    pub header: Header,
    accounts: BTreeMap<AccountId, Keys>,
    index: HashMap<KeyHash, AccountId>,
}

impl Accounts {
    /// Parses and validates a document; every fault names it as `file`.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut faults = FaultCollector::new(file);
        if !header::check_size(text, &mut faults) {
            return faults.finish(None);
        }
        let sections = ini::read(text, &mut faults);
        let mut accounts = Self::default();
        let header = header::parse(&sections, &mut faults);
        for section in &sections {
            match section.kind {
                KIND => accounts.add_section(section, &mut faults),
                HEADER if section.name.is_empty() => {}
                _ => report_unknown_section(section, &mut faults),
            }
        }
        let accounts = header.map(|header| Self { header, ..accounts });
        faults.finish(accounts)
    }

    /// Renders the document; parsing the result gives the same value.
    pub fn render(&self) -> String {
        let mut text = String::new();
        write_section(&mut text, HEADER, &self.header.rows());
        for (account, keys) in &self.accounts {
            let rows: Vec<Row> = keys
                .iter()
                .map(|(label, hash)| Row::new(format!("{HASH_PREFIX}{label}"), hash.to_string()))
                .collect();
            write_section(&mut text, &format!("{KIND} {account}"), &rows);
        }
        text
    }

    /// Returns the account that a bearer key belongs to.
    pub fn find(&self, key: &[u8]) -> Option<&AccountId> {
        self.index.get(&KeyHash::of(key))
    }

    /// Returns all accounts with their keys.
    pub fn list(&self) -> &BTreeMap<AccountId, Keys> {
        &self.accounts
    }

    /// Adds a key, and the account if it is new; returns whether label and hash were unused.
    pub fn add_key(&mut self, account: &str, label: &str, hash: KeyHash) -> bool {
        let keys = self.accounts.get(account);
        let label_used = keys.is_some_and(|keys| keys.contains_key(label));
        if label_used || self.index.contains_key(&hash) {
            return false;
        }
        self.index.insert(hash, account.to_owned());
        let keys = self.accounts.entry(account.to_owned()).or_default();
        keys.insert(label.to_owned(), hash);
        true
    }

    /// Removes one key; returns whether it existed. The account stays even without keys.
    pub fn remove_key(&mut self, account: &str, label: &str) -> bool {
        let keys = self.accounts.get_mut(account);
        let hash = keys.and_then(|keys| keys.remove(label));
        hash.is_some_and(|hash| self.index.remove(&hash).is_some())
    }

    /// Removes an account with its keys; returns whether it existed.
    pub fn remove_account(&mut self, account: &str) -> bool {
        let keys = self.accounts.remove(account);
        for hash in keys.iter().flat_map(BTreeMap::values) {
            self.index.remove(hash);
        }
        keys.is_some()
    }

    fn add_section(&mut self, section: &Section<'_>, faults: &mut FaultCollector) {
        let mut fields = Fields::new(section, faults);
        let account = fields.section_name();
        let keys = fields.prefixed(HASH_PREFIX, "key-sha256.LABEL");
        if let Some(account) = &account {
            self.accounts.entry(account.clone()).or_default();
        }
        for (suffix, entry) in keys {
            let label = fields.parse(entry, suffix, value::name);
            let hash = fields.parse(entry, entry.value, parse_hash);
            let (Some(account), Some(label), Some(hash)) = (&account, label, hash) else {
                continue;
            };
            if !self.add_key(account, &label, hash) {
                let other = self.index.get(&hash).map_or("", String::as_str);
                let found = format!("the hash of a key of {other}");
                let expected = "a key that no other label or account has";
                fields.report(
                    FaultKind::Duplicate,
                    entry.line,
                    entry.key,
                    expected,
                    &found,
                );
            }
        }
        fields.finish();
    }
}

fn report_unknown_section(section: &Section<'_>, faults: &mut FaultCollector) {
    let header = section.header();
    let location = Location {
        line: section.line,
        section: &header,
        key: "",
    };
    let expected = "[document] or [account NAME]";
    faults.report(
        FaultKind::UnknownSection,
        location,
        expected,
        "an unknown section",
    );
}

fn parse_hash(text: &str) -> Result<KeyHash, String> {
    let mut hash = [0; HASH_BYTES];
    let pairs = text.as_bytes().chunks(2);
    let has_full_length = text.len() == 2 * HASH_BYTES;
    let parsed = has_full_length
        && hash
            .iter_mut()
            .zip(pairs)
            .all(|(byte, pair)| parse_byte(pair, byte));
    if !parsed {
        return Err("the SHA-256 of a key, 64 hexadecimal digits".into());
    }
    Ok(KeyHash(hash))
}

fn parse_byte(pair: &[u8], byte: &mut u8) -> bool {
    let digit = |c: &u8| char::from(*c).to_digit(16);
    let digits: Vec<u32> = pair.iter().filter_map(digit).collect();
    let [high, low] = digits[..] else {
        return false;
    };
    match u8::try_from(high * 16 + low) {
        Ok(value) => {
            *byte = value;
            true
        }
        Err(_) => false,
    }
}
