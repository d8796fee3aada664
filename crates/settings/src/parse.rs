//! Reads each section of the settings.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use primrose_table::ini;
use primrose_table::ini::FaultCollector;
use primrose_table::ini::FaultKind;
use primrose_table::ini::Faults;
use primrose_table::ini::Fields;
use primrose_table::ini::Place;
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

/// Sections that a settings file may have.
const SECTIONS: [&str; 7] = [
    "router", "listen", "peers", "platform", "security", "limits", "day",
];

/// What the keys of one deployment begin with, if the settings do not say.
pub(crate) const DEFAULT_PREFIX: &str = "primrosehall";
/// Time zone, if the settings do not say.
const DEFAULT_TIME_ZONE: &str = "UTC";

/// Limits, if the settings do not say.
const DEFAULT_LIMITS: Limits = Limits {
    header_bytes: 16 << 10,
    body_bytes: 4 << 20,
    connections: 4096,
    header_timeout: Duration::from_secs(10),
    first_byte_timeout: Duration::from_secs(60),
    shutdown_timeout: Duration::from_secs(60),
};

/// Smallest header limit, in bytes: room for a bearer key, a trace and an idempotency key.
const MIN_HEADER_BYTES: usize = 1 << 10;

pub(crate) fn parse(file: &str, text: &str) -> Result<Settings, Faults> {
    let mut out = FaultCollector::new(file);
    let sections = ini::read(text, &mut out);
    report_unknown_sections(&sections, &SECTIONS, &mut out);
    let mut reader = SectionReader::new(&sections, &mut out);
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
    out.finish(settings())
}

/// Reports every section that is not among the known ones.
pub(crate) fn report_unknown_sections(
    sections: &[Section<'_>],
    known: &[&str],
    out: &mut FaultCollector,
) {
    let expected = format!("one of the sections {}", known.join(", "));
    for section in sections {
        if section.name.is_empty() && known.contains(&section.kind) {
            continue;
        }
        let header = section.header();
        let place = Place {
            line: section.line,
            section: &header,
            key: "",
        };
        let found = "an unknown section";
        out.report(FaultKind::UnknownSection, place, &expected, found);
    }
}

/// Reads sections by name.
pub(crate) struct SectionReader<'a, 'r> {
    sections: &'r [Section<'a>],
    out: &'r mut FaultCollector,
}

impl<'a, 'r> SectionReader<'a, 'r> {
    pub(crate) fn new(sections: &'r [Section<'a>], out: &'r mut FaultCollector) -> Self {
        Self { sections, out }
    }

    fn required<T>(
        &mut self,
        kind: &'static str,
        parse: fn(&mut Fields<'_, '_>) -> Option<T>,
    ) -> Option<T> {
        if self.find(kind).is_none() {
            let place = Place {
                line: 0,
                section: kind,
                key: "",
            };
            let expected = format!("a [{kind}] section");
            self.out
                .report(FaultKind::MissingSection, place, &expected, "none");
            return None;
        }
        self.optional(kind, parse)
    }

    /// Reads a section; one that is not there is read as empty, for its defaults.
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
        let mut fields = Fields::new(section, self.out);
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
    // Port 0 lets the operating system choose; two such listeners do not collide.
    let same = |one: SocketAddr, other: SocketAddr| one == other && one.port() != 0;
    let expected = "an address that no other listener has";
    if same(listen.peers, listen.callers) {
        let line = fields.line_of("peers");
        fields.bad_value(line, "peers", expected, "the one of callers");
    }
    if same(listen.operators, listen.callers) || same(listen.operators, listen.peers) {
        let line = fields.line_of("operators");
        fields.bad_value(line, "operators", expected, "the one of callers or peers");
    }
    Some(listen)
}

fn parse_peers(fields: &mut Fields<'_, '_>) -> Option<Peers> {
    let seeds = fields.optional_or("seeds", Vec::new(), parse_seeds)?;
    for (index, seed) in seeds.iter().enumerate() {
        let same_host_or_addr = |other: &Seed| other.host == seed.host || other.addr == seed.addr;
        if seeds[..index].iter().any(same_host_or_addr) {
            let line = fields.line_of("seeds");
            let found = format!("{} again or its address", seed.host);
            fields.bad_value(line, "seeds", "each host and address once", &found);
        }
    }
    Some(Peers { seeds })
}

fn parse_seeds(text: &str) -> Result<Vec<Seed>, String> {
    list(text, parse_seed)
}

fn parse_seed(text: &str) -> Result<Seed, String> {
    let parts = text.split_once('=');
    let seed = parts.and_then(|(host, place)| {
        let value::ZonedAddr { zone, addr } = value::zoned_addr(place.trim()).ok()?;
        let host = value::name(host.trim()).ok()?;
        Some(Seed { host, zone, addr })
    });
    seed.ok_or_else(|| "HOST=ZONE@IP:PORT, several parted by commas".into())
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
    let expected = "addresses by IP number with a port, parted by commas";
    list(text, value::addr).map_err(|_| expected.into())
}

/// Reads what stands between commas; at least one.
fn list<T>(text: &str, parse: fn(&str) -> Result<T, String>) -> Result<Vec<T>, String> {
    text.split(',').map(|part| parse(part.trim())).collect()
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
