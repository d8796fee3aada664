//! Parses and formats the sections of the routes table.

use std::time::Duration;

use primrose_core::cost::Service;
use primrose_core::table::Matcher;
use primrose_core::table::Route;

use crate::ini::FaultCollector;
use crate::ini::Fields;
use crate::ini::Section;
use crate::row::Row;
use crate::value;

/// Section kind of a route.
pub const KIND: &str = "route";

/// Paths that the router serves itself.
const RESERVED_PATHS: [&str; 3] = ["/v1/chat/completions", "/healthz", "/readyz"];

/// Parses a `[route NAME]` section; reports its faults and returns `None` if it is unusable.
pub fn parse(section: &Section<'_>, faults: &mut FaultCollector) -> Option<Route> {
    let mut fields = Fields::new(section, faults);
    let name = fields.section_name();
    let matcher = parse_matcher(&mut fields);
    let pool = fields.required("pool", value::name);
    let deadline: Option<Duration> = fields.required("deadline", value::duration);
    let idempotent = fields.required("idempotent", value::yes_no);
    let cost: Option<Service> = fields.required("cost", value::number);
    if cost == Some(0) {
        let line = fields.line_of("cost");
        fields.bad_value(line, "cost", "a whole number from 1", "0");
    }
    fields.finish();
    Some(Route {
        name: name?,
        matcher: matcher?,
        pool: pool?,
        deadline: deadline?,
        idempotent: idempotent?,
        cost: cost?,
    })
}

fn parse_matcher(fields: &mut Fields<'_, '_>) -> Option<Matcher> {
    let both = fields.contains_key("model") && fields.contains_key("path");
    let model = fields.optional("model", value::word);
    let path = fields.optional("path", parse_path);
    if both {
        let line = fields.line_of("path");
        fields.bad_value(line, "path", "either model or path", "both");
        return None;
    }
    if !fields.contains_key("model") && !fields.contains_key("path") {
        fields.missing_key("model", "either model or path");
    }
    model.map(Matcher::Model).or(path.map(Matcher::Path))
}

fn parse_path(text: &str) -> Result<String, String> {
    let path = value::path(text)?;
    if RESERVED_PATHS.contains(&path.as_str()) {
        return Err("a path that the router does not answer itself".into());
    }
    Ok(path)
}

/// Returns the rows of a route's section.
pub fn rows(route: &Route) -> Vec<Row> {
    let matcher = match &route.matcher {
        Matcher::Model(model) => Row::new("model", model),
        Matcher::Path(path) => Row::new("path", path),
    };
    vec![
        matcher,
        Row::new("pool", &route.pool),
        Row::new("deadline", value::format_duration(route.deadline)),
        Row::new("idempotent", value::format_yes_no(route.idempotent)),
        Row::new("cost", route.cost.to_string()),
    ]
}
