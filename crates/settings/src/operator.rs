//! Settings of the operators' command line: addresses of the platform and of the routers.
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

/// Sections of the file.
const SECTIONS: [&str; 2] = ["platform", "routers"];

/// Addresses of the platform and of the routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Addresses of the key-value service; may be empty.
    pub addresses: Vec<SocketAddr>,
    /// Prefix of every key in the key-value service.
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
    /// Parses and validates settings; every fault names the document as `file`.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut faults = FaultCollector::new(file);
        let sections = ini::read(text, &mut faults);
        report_unknown_sections(&sections, &SECTIONS, &mut faults);
        let mut reader = SectionReader::new(&sections, &mut faults);
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
        faults.finish(operator)
    }
}
