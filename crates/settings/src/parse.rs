//! Parses the sections of the settings.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use primrose_table::ini;
use primrose_table::ini::FaultCollector;
use primrose_table::ini::FaultKind;
use primrose_table::ini::Faults;
use primrose_table::ini::Fields;
use primrose_table::ini::Location;
use primrose_table::ini::Section;
use primrose_table::value;

use crate::Day;
use crate::Limits;
use crate::Listen;
use crate::Peers;
use crate::Platform;
use crate::Router;
use crate::Security;
use crate::Seed;
use crate::Settings;

/// Sections of a settings file.
const SECTIONS: [&str; 7] = [
    "router", "listen", "peers", "platform", "security", "limits", "day",
];

/// Default prefix of the keys of one deployment.
pub(crate) const DEFAULT_PREFIX: &str = "primrosehall";
/// Default time zone.
const DEFAULT_TIME_ZONE: &str = "UTC";

/// Default limits.
const DEFAULT_LIMITS: Limits = Limits {
    header_bytes: 16 << 10,
    body_bytes: 4 << 20,
    buffered_bytes: 256 << 20,
    connections: 4096,
    header_timeout: Duration::from_secs(10),
    first_byte_timeout: Duration::from_secs(60),
    shutdown_timeout: Duration::from_secs(60),
};

/// Minimum header limit, in bytes: enough for a bearer key, a trace header and an idempotency key.
const MIN_HEADER_BYTES: usize = 1 << 10;

pub(crate) fn parse(file: &str, text: &str) -> Result<Settings, Faults> {
    let mut faults = FaultCollector::new(file);
    let sections = ini::read(text, &mut faults);
    report_unknown_sections(&sections, &SECTIONS, &mut faults);
    let mut reader = SectionReader::new(&sections, &mut faults);
    let router = reader.required("router", parse_router);
    let listen = reader.required("listen", parse_listen);
    let peers = reader.optional("peers", parse_peers);
    let platform = reader.required("platform", parse_platform);
    let security = reader.required("security", parse_security);
    let limits = reader.optional("limits", parse_limits);
    let day = reader.optional("day", parse_day);
    let settings = || {
        Some(Settings {
            router: router?,
            listen: listen?,
            peers: peers?,
            platform: platform?,
            security: security?,
            limits: limits?,
            day: day?,
        })
    };
    faults.finish(settings())
}

/// Reports every section that is not in `known`.
pub(crate) fn report_unknown_sections(
    sections: &[Section<'_>],
    known: &[&str],
    faults: &mut FaultCollector,
) {
    let expected = format!("one of the sections {}", known.join(", "));
    for section in sections {
        if section.name.is_empty() && known.contains(&section.kind) {
            continue;
        }
        let header = section.header();
        let location = Location {
            line: section.line,
            section: &header,
            key: "",
        };
        let found = "an unknown section";
        faults.report(FaultKind::UnknownSection, location, &expected, found);
    }
}

/// Parses sections by kind.
pub(crate) struct SectionReader<'a, 'r> {
    sections: &'r [Section<'a>],
    faults: &'r mut FaultCollector,
}

impl<'a, 'r> SectionReader<'a, 'r> {
    pub(crate) fn new(sections: &'r [Section<'a>], faults: &'r mut FaultCollector) -> Self {
        Self { sections, faults }
    }

    fn required<T>(
        &mut self,
        kind: &'static str,
        parse: fn(&mut Fields<'_, '_>) -> Option<T>,
    ) -> Option<T> {
        if self.find(kind).is_none() {
            let location = Location {
                line: 0,
                section: kind,
                key: "",
            };
            let expected = format!("a [{kind}] section");
            self.faults
                .report(FaultKind::MissingSection, location, &expected, "none");
            return None;
        }
        self.optional(kind, parse)
    }

    /// Parses a section; a missing section is parsed as an empty one, which gives its defaults.
    pub(crate) fn optional<T>(
        &mut self,
        kind: &'static str,
        parse: fn(&mut Fields<'_, '_>) -> Option<T>,
    ) -> Option<T> {
        let empty = Section {
            line: 0,
            kind,
            name: "",
            entries: Vec::new(),
        };
        let section = self.find(kind).unwrap_or(&empty);
        let mut fields = Fields::new(section, self.faults);
        let value = parse(&mut fields);
        fields.finish();
        value
    }

    fn find(&self, kind: &str) -> Option<&'r Section<'a>> {
        let mut sections = self.sections.iter();
        sections.find(|section| section.kind == kind && section.name.is_empty())
    }
}

fn parse_router(fields: &mut Fields<'_, '_>) -> Option<Router> {
    let host = fields.required("host", value::name);
    let zone = fields.required("zone", value::name);
    let region = fields.required("region", value::name);
    Some(Router {
        host: host?,
        zone: zone?,
        region: region?,
    })
}

fn parse_listen(fields: &mut Fields<'_, '_>) -> Option<Listen> {
    let callers = fields.required("callers", value::addr);
    let peers = fields.required("peers", value::addr);
    let operators = fields.required("operators", value::addr);
    let listen = Listen {
        callers: callers?,
        peers: peers?,
        operators: operators?,
    };
    // With port 0 the operating system chooses the port, so two such listeners do not collide.
    let collide = |one: SocketAddr, other: SocketAddr| one == other && one.port() != 0;
    let expected = "an address that no other listener has";
    if collide(listen.peers, listen.callers) {
        let line = fields.line_of("peers");
        fields.bad_value(line, "peers", expected, "the address of callers");
    }
    if collide(listen.operators, listen.callers) || collide(listen.operators, listen.peers) {
        let line = fields.line_of("operators");
        fields.bad_value(
            line,
            "operators",
            expected,
            "the address of callers or peers",
        );
    }
    Some(listen)
}

fn parse_peers(fields: &mut Fields<'_, '_>) -> Option<Peers> {
    let seeds = fields.optional_or("seeds", Vec::new(), parse_seeds)?;
    for (index, seed) in seeds.iter().enumerate() {
        let same_host_or_addr = |other: &Seed| other.host == seed.host || other.addr == seed.addr;
        if seeds[..index].iter().any(same_host_or_addr) {
            let line = fields.line_of("seeds");
            let found = format!("host {} or its address twice", seed.host);
            fields.bad_value(line, "seeds", "each host and address once", &found);
        }
    }
    Some(Peers { seeds })
}

fn parse_seeds(text: &str) -> Result<Vec<Seed>, String> {
    parse_list(text, parse_seed)
}

fn parse_seed(text: &str) -> Result<Seed, String> {
    let parts = text.split_once('=');
    let seed = parts.and_then(|(host, zoned_addr)| {
        let value::ZonedAddr { zone, addr } = value::zoned_addr(zoned_addr.trim()).ok()?;
        let host = value::name(host.trim()).ok()?;
        Some(Seed { host, zone, addr })
    });
    seed.ok_or_else(|| "HOST=ZONE@IP:PORT, several separated by commas".into())
}

fn parse_platform(fields: &mut Fields<'_, '_>) -> Option<Platform> {
    let addresses = fields.required("addresses", parse_addresses);
    let hosts = fields.optional_or("hosts", Vec::new(), parse_addresses);
    let prefix = fields.optional_or("prefix", DEFAULT_PREFIX.to_owned(), value::name);
    Some(Platform {
        addresses: addresses?,
        hosts: hosts?,
        prefix: prefix?,
    })
}

pub(crate) fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let expected = "addresses by IP number with a port, separated by commas";
    parse_list(text, value::addr).map_err(|_| expected.into())
}

/// Parses a comma-separated list of at least one element.
fn parse_list<T>(text: &str, parse: fn(&str) -> Result<T, String>) -> Result<Vec<T>, String> {
    text.split(',')
        .map(|element| parse(element.trim()))
        .collect()
}

fn parse_security(fields: &mut Fields<'_, '_>) -> Option<Security> {
    let peer_key_file = fields.required("peer-key-file", parse_file_path);
    Some(Security {
        peer_key_file: peer_key_file?,
    })
}

fn parse_file_path(text: &str) -> Result<PathBuf, String> {
    if text.is_empty() || text.contains('\0') {
        return Err("the path of a file".into());
    }
    Ok(PathBuf::from(text))
}

fn parse_limits(fields: &mut Fields<'_, '_>) -> Option<Limits> {
    let header_bytes = fields.optional_or(
        "header-size",
        DEFAULT_LIMITS.header_bytes,
        parse_header_size,
    );
    let body_bytes = fields.optional_or("body-size", DEFAULT_LIMITS.body_bytes, value::size);
    let buffered_bytes =
        fields.optional_or("buffered-size", DEFAULT_LIMITS.buffered_bytes, value::size);
    let connections = fields.optional_or(
        "connections",
        DEFAULT_LIMITS.connections,
        value::positive_usize,
    );
    let header_timeout = fields.optional_or(
        "header-timeout",
        DEFAULT_LIMITS.header_timeout,
        value::duration,
    );
    let first_byte_timeout = fields.optional_or(
        "first-byte-timeout",
        DEFAULT_LIMITS.first_byte_timeout,
        value::duration,
    );
    let shutdown_timeout = fields.optional_or(
        "shutdown-limit",
        DEFAULT_LIMITS.shutdown_timeout,
        value::duration,
    );
    Some(Limits {
        header_bytes: header_bytes?,
        body_bytes: body_bytes?,
        buffered_bytes: buffered_bytes?,
        connections: connections?,
        header_timeout: header_timeout?,
        first_byte_timeout: first_byte_timeout?,
        shutdown_timeout: shutdown_timeout?,
    })
}

fn parse_header_size(text: &str) -> Result<usize, String> {
    let size = value::size(text)
        .ok()
        .filter(|size| *size >= MIN_HEADER_BYTES);
    size.ok_or_else(|| {
        format!(
            "a size of at least {}",
            value::format_size(MIN_HEADER_BYTES)
        )
    })
}

fn parse_day(fields: &mut Fields<'_, '_>) -> Option<Day> {
    let time_zone = fields.optional_or("time-zone", DEFAULT_TIME_ZONE.to_owned(), parse_time_zone);
    Some(Day {
        time_zone: time_zone?,
    })
}

fn parse_time_zone(text: &str) -> Result<String, String> {
    match jiff::tz::TimeZone::get(text) {
        Ok(_) => Ok(text.to_owned()),
        Err(_) => Err("a time zone by its IANA name, such as Asia/Kolkata".into()),
    }
}
