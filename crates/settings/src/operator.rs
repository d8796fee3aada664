//! Settings of the operators' command line: where the platform and the routers are.
//!
//! ```
//! use primrose_settings::operator::OperatorSettings;
//! let text = "[platform]\naddresses = 10.0.0.9:2379\n[routers]\naddresses = 10.0.0.1:82\n";
//! let operator = OperatorSettings::parse("primrosectl.ini", text).unwrap();
//! assert_eq!(operator.routers.len(), 1);
//! ```

use std::net::SocketAddr;

use primrose_table::ini;
use primrose_table::ini::FaultCollector;
use primrose_table::ini::Faults;
use primrose_table::value;

use crate::parse::parse_addresses;
use crate::parse::report_unknown_sections;
use crate::parse::SectionReader;
use crate::parse::DEFAULT_PREFIX;

/// Sections that the file may have.
const SECTIONS: [&str; 2] = ["platform", "routers"];

/// Where the platform and the routers are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Addresses of the key-value service; may be empty.
    pub addresses: Vec<SocketAddr>,
    /// What every key begins with.
    pub prefix: String,
    /// Operator listeners of the routers; may be empty.
    pub routers: Vec<SocketAddr>,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            prefix: DEFAULT_PREFIX.to_owned(),
            routers: Vec::new(),
        }
    }
}

impl OperatorSettings {
    /// Reads settings; `file` is named in every fault.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut out = FaultCollector::new(file);
        let sections = ini::read(text, &mut out);
        report_unknown_sections(&sections, &SECTIONS, &mut out);
        let mut reader = SectionReader::new(&sections, &mut out);
        let platform = reader.optional("platform", |fields| {
            let addresses = fields.optional_or("addresses", Vec::new(), parse_addresses);
            let prefix = fields.optional_or("prefix", DEFAULT_PREFIX.to_owned(), value::name);
            Some((addresses?, prefix?))
        });
        let routers = reader.optional("routers", |fields| {
            fields.optional_or("addresses", Vec::new(), parse_addresses)
        });
        let operator = platform.zip(routers);
        let operator = operator.map(|((addresses, prefix), routers)| Self {
            addresses,
            prefix,
            routers,
        });
        out.finish(operator)
    }
}
