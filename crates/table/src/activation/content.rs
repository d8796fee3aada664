//! The kinds of documents that can be in force.

use primrose_core::table::Table;

use crate::accounts::Accounts;
use crate::document::Document;
use crate::header::Header;
use crate::ini::Faults;

/// What a document holds.
pub trait DocumentContent: Sized {
    /// Reads and checks a document; `name` is named in every fault.
    fn parse(name: &str, text: &str) -> Result<(Header, Self), Faults>;
}

impl DocumentContent for Table {
    fn parse(name: &str, text: &str) -> Result<(Header, Self), Faults> {
        let document = Document::parse(name, text)?;
        Ok((document.header(), document.table))
    }
}

impl DocumentContent for Accounts {
    fn parse(name: &str, text: &str) -> Result<(Header, Self), Faults> {
        let accounts = Self::parse(name, text)?;
        Ok((accounts.header, accounts))
    }
}
