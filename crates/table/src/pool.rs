//! Parses and formats the sections of the pools table.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::id::AccountId;
use primrose_core::table::Pool;
use primrose_core::table::QueueBounds;
use primrose_core::table::Selector;
use primrose_core::table::Server;
use primrose_core::table::SlotBounds;
use primrose_core::table::Weight;

use crate::ini::FaultCollector;
use crate::ini::Fields;
use crate::ini::Section;
use crate::row::Row;
use crate::value;

/// Section kind of a pool.
pub const KIND: &str = "pool";

/// Default target for the time to the first token.
const DEFAULT_FIRST_TOKEN: Duration = Duration::from_millis(1300);
/// Default target for the time between tokens.
const DEFAULT_INTER_TOKEN: Duration = Duration::from_millis(36);
/// Default limits of the queue on one router.
const DEFAULT_QUEUE: QueueBounds = QueueBounds {
    account_requests: 256,
    account_bytes: 8 << 20,
    total_requests: 4096,
    total_bytes: 64 << 20,
};
/// Default for the weight of accounts that the pool does not list.
const DEFAULT_WEIGHT: Weight = 1;
/// Maximum weight of an account.
const MAX_WEIGHT: Weight = 10_000;
/// Maximum slot limit of one server.
const MAX_SLOTS: u32 = 65_536;

/// Parses a `[pool NAME]` section; reports its faults and returns `None` if it is unusable.
pub fn parse(section: &Section<'_>, faults: &mut FaultCollector) -> Option<Pool> {
    let mut fields = Fields::new(section, faults);
    let name = fields.section_name();
    let kind = fields.required("kind", value::pool_kind);
    let servers = parse_servers(&mut fields);
    let slots = parse_slots(&mut fields);
    let first_token = fields.optional_or("first-token", DEFAULT_FIRST_TOKEN, value::duration);
    let inter_token = fields.optional_or("inter-token", DEFAULT_INTER_TOKEN, value::duration);
    let max_run_time = fields.required("longest-run", value::duration);
    let default_weight = fields.optional_or("default-weight", DEFAULT_WEIGHT, parse_weight);
    let weights = parse_weights(&mut fields);
    let queue = parse_queue(&mut fields);
    let checks_fencing = fields.optional_or("checks-orders", false, value::yes_no);
    let model_version = fields.optional_or("model-version", String::new(), value::word);
    fields.finish();
    Some(Pool {
        name: name?,
        kind: kind?,
        servers: servers?,
        slots: slots?,
        first_token: first_token?,
        inter_token: inter_token?,
        max_run_time: max_run_time?,
        weights,
        default_weight: default_weight?,
        queue: queue?,
        checks_fencing: checks_fencing?,
        model_version: model_version?,
    })
}

fn parse_servers(fields: &mut Fields<'_, '_>) -> Option<Selector> {
    let service = fields.optional("service", value::name);
    let listed = fields.prefixed("server.", "server.NAME");
    if fields.contains_key("service") {
        if let Some((_, entry)) = listed.first() {
            let expected = "either service or server.NAME lines";
            fields.bad_value(entry.line, entry.key, expected, "both");
        }
        return service.map(Selector::Service);
    }
    if listed.is_empty() {
        fields.missing_key("service", "service or server.NAME lines");
        return None;
    }
    let mut servers = Vec::new();
    for (suffix, entry) in listed {
        let id = fields.parse(entry, suffix, value::name);
        let zoned_addr = fields.parse(entry, entry.value, value::zoned_addr);
        if let (Some(id), Some(zoned_addr)) = (id, zoned_addr) {
            let value::ZonedAddr { zone, addr } = zoned_addr;
            servers.push(Server { id, zone, addr });
        }
    }
    Some(Selector::Listed(servers))
}

fn parse_slots(fields: &mut Fields<'_, '_>) -> Option<SlotBounds> {
    let min = fields.required("min-slots", parse_slot_limit);
    let max = fields.required("max-slots", parse_slot_limit);
    let (min, max) = (min?, max?);
    if min > max {
        let line = fields.line_of("max-slots");
        let expected = format!("at least min-slots, {min}");
        fields.bad_value(line, "max-slots", &expected, &max.to_string());
        return None;
    }
    Some(SlotBounds { min, max })
}

fn parse_slot_limit(text: &str) -> Result<u32, String> {
    value::positive_u32(text)
        .ok()
        .filter(|limit| *limit <= MAX_SLOTS)
        .ok_or_else(|| format!("a whole number from 1 to {MAX_SLOTS}"))
}

fn parse_weight(text: &str) -> Result<Weight, String> {
    value::positive_u32(text)
        .ok()
        .filter(|weight| *weight <= MAX_WEIGHT)
        .ok_or_else(|| format!("a whole number from 1 to {MAX_WEIGHT}"))
}

fn parse_weights(fields: &mut Fields<'_, '_>) -> BTreeMap<AccountId, Weight> {
    let mut weights = BTreeMap::new();
    for (suffix, entry) in fields.prefixed("weight.", "weight.ACCOUNT") {
        let account = fields.parse(entry, suffix, value::name);
        let weight = fields.parse(entry, entry.value, parse_weight);
        if let (Some(account), Some(weight)) = (account, weight) {
            weights.insert(account, weight);
        }
    }
    weights
}

fn parse_queue(fields: &mut Fields<'_, '_>) -> Option<QueueBounds> {
    let account_requests = fields.optional_or(
        "queue-account-requests",
        DEFAULT_QUEUE.account_requests,
        value::positive_usize,
    );
    let account_bytes = fields.optional_or(
        "queue-account-size",
        DEFAULT_QUEUE.account_bytes,
        value::size,
    );
    let total_requests = fields.optional_or(
        "queue-total-requests",
        DEFAULT_QUEUE.total_requests,
        value::positive_usize,
    );
    let total_bytes =
        fields.optional_or("queue-total-size", DEFAULT_QUEUE.total_bytes, value::size);
    let queue = QueueBounds {
        account_requests: account_requests?,
        account_bytes: account_bytes?,
        total_requests: total_requests?,
        total_bytes: total_bytes?,
    };
    if queue.account_requests > queue.total_requests {
        let key = "queue-total-requests";
        let expected = "at least what one account may queue";
        fields.bad_value(
            fields.line_of(key),
            key,
            expected,
            &queue.total_requests.to_string(),
        );
    }
    if queue.account_bytes > queue.total_bytes {
        let key = "queue-total-size";
        let expected = "at least what one account may queue";
        fields.bad_value(
            fields.line_of(key),
            key,
            expected,
            &value::format_size(queue.total_bytes),
        );
    }
    Some(queue)
}

/// Returns the rows of a pool's section.
pub fn rows(pool: &Pool) -> Vec<Row> {
    let mut rows = vec![Row::new("kind", pool.kind.to_string())];
    match &pool.servers {
        Selector::Service(service) => rows.push(Row::new("service", service)),
        Selector::Listed(servers) => rows.extend(servers.iter().map(server_row)),
    }
    rows.extend([
        Row::new("min-slots", pool.slots.min.to_string()),
        Row::new("max-slots", pool.slots.max.to_string()),
        Row::new("first-token", value::format_duration(pool.first_token)),
        Row::new("inter-token", value::format_duration(pool.inter_token)),
        Row::new("longest-run", value::format_duration(pool.max_run_time)),
        Row::new("default-weight", pool.default_weight.to_string()),
    ]);
    for (account, weight) in &pool.weights {
        rows.push(Row::new(format!("weight.{account}"), weight.to_string()));
    }
    rows.extend(queue_rows(&pool.queue));
    let checks = value::format_yes_no(pool.checks_fencing);
    rows.push(Row::new("checks-orders", checks));
    if !pool.model_version.is_empty() {
        rows.push(Row::new("model-version", &pool.model_version));
    }
    rows
}

fn server_row(server: &Server) -> Row {
    let zoned_addr = format!("{}@{}", server.zone, server.addr);
    Row::new(format!("server.{}", server.id), zoned_addr)
}

fn queue_rows(queue: &QueueBounds) -> [Row; 4] {
    [
        Row::new("queue-account-requests", queue.account_requests.to_string()),
        Row::new(
            "queue-account-size",
            value::format_size(queue.account_bytes),
        ),
        Row::new("queue-total-requests", queue.total_requests.to_string()),
        Row::new("queue-total-size", value::format_size(queue.total_bytes)),
    ]
}
