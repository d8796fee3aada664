//! The document types that an [`ActiveDocument`](super::ActiveDocument) can hold.

use primrose_core::table::Table;

use crate::accounts::Accounts;
use crate::document::Document;
use crate::header::Header;
use crate::ini::Faults;

/// The parsed content of a document type.
pub trait DocumentContent: Sized {
    /// Parses and validates a document; every fault names it as `name`.
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
