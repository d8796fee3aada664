//! Encoding of requests and decoding of replies.
//!
//! A decoder never panics: for any bytes it returns a value or an error message.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use primrose_core::host::Host;
use primrose_core::host::HostState;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::store::CommitResult;
use crate::store::Conflict;
use crate::store::Entry;
use crate::store::LeaseId;
use crate::store::Op;
use crate::store::Written;

/// Prefixes of the ids of checks that put a service or a whole node into maintenance.
const MAINTENANCE_CHECKS: [&str; 2] = ["_service_maintenance", "_node_maintenance"];

/// Status of a failed check.
const CRITICAL: &str = "critical";

/// A key in a reply.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Pair {
    key: String,
    #[serde(default)]
    value: Option<String>,
    modify_index: u64,
    #[serde(default)]
    lock_index: u64,
    #[serde(default)]
    session: Option<String>,
}

/// Decodes the reply to a read of one key or of a prefix.
pub fn decode_entries(bytes: &[u8]) -> Result<Vec<Entry>, String> {
    let pairs: Vec<Pair> = parse(bytes)?;
    pairs.into_iter().map(decode_entry).collect()
}

fn decode_entry(pair: Pair) -> Result<Entry, String> {
    let encoded = pair.value.unwrap_or_default();
    let value = STANDARD
        .decode(encoded)
        .map_err(|error| format!("value of {:?}: {error}", pair.key))?;
    Ok(Entry {
        key: pair.key,
        value,
        version: pair.modify_index,
        lease: pair.session.filter(|session| !session.is_empty()),
        fence: pair.lock_index,
    })
}

/// One operation of a transaction.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct TxnOp<'a> {
    #[serde(rename = "KV")]
    operation: TxnKv<'a>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct TxnKv<'a> {
    verb: &'static str,
    key: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    index: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<&'a str>,
}

/// Encodes one operation.
pub(crate) fn txn_op(op: &Op) -> TxnOp<'_> {
    let (verb, index, session) = match op {
        Op::Create { .. } => ("cas", Some(0), None),
        Op::Swap { version, .. } => ("cas", Some(*version), None),
        Op::Put { .. } => ("set", None, None),
        Op::Delete { version, .. } => ("delete-cas", Some(*version), None),
        Op::Hold { lease, .. } => ("lock", None, Some(lease.as_str())),
        Op::Release { lease, .. } => ("unlock", None, Some(lease.as_str())),
        Op::Check { version: 0, .. } => ("check-not-exists", None, None),
        Op::Check { version, .. } => ("check-index", Some(*version), None),
    };
    TxnOp {
        operation: TxnKv {
            verb,
            key: op.key(),
            value: op.value().map(|value| STANDARD.encode(value)),
            index,
            session,
        },
    }
}

/// Reply to a transaction.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawTxn {
    #[serde(default)]
    results: Option<Vec<RawResult>>,
    #[serde(default)]
    errors: Option<Vec<RawError>>,
}

#[derive(Debug, Deserialize)]
struct RawResult {
    #[serde(rename = "KV")]
    pair: Option<Pair>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawError {
    op_index: usize,
    #[serde(default)]
    what: String,
}

/// Decodes the reply to a transaction, whether it was applied or not.
pub fn decode_txn(bytes: &[u8]) -> Result<CommitResult, String> {
    let raw: RawTxn = parse(bytes)?;
    let errors = raw.errors.unwrap_or_default();
    if let Some(first) = errors.into_iter().min_by_key(|error| error.op_index) {
        return Ok(CommitResult::Conflict(Conflict {
            op: first.op_index,
            detail: first.what,
        }));
    }
    let results = raw.results.unwrap_or_default();
    let written = results.into_iter().filter_map(|result| result.pair);
    Ok(CommitResult::Applied(
        written
            .map(|pair| Written {
                key: pair.key,
                version: pair.modify_index,
                fence: pair.lock_index,
            })
            .collect(),
    ))
}

/// Request to create a session.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct NewSession {
    pub(crate) name: &'static str,
    #[serde(rename = "TTL")]
    pub(crate) ttl: String,
    pub(crate) behavior: &'static str,
    pub(crate) lock_delay: &'static str,
    /// Health checks that end the session; empty, so that only the time to live ends it.
    pub(crate) node_checks: [&'static str; 0],
}

#[derive(Debug, Deserialize)]
struct SessionId {
    #[serde(rename = "ID")]
    id: LeaseId,
}

/// Decodes the reply to the creation of a session.
pub fn decode_lease(bytes: &[u8]) -> Result<LeaseId, String> {
    let session: SessionId = parse(bytes)?;
    if session.id.is_empty() {
        return Err("session without an id".into());
    }
    Ok(session.id)
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HealthInstance {
    node: Node,
    service: Service,
    #[serde(default)]
    checks: Option<Vec<Check>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Node {
    node: String,
    #[serde(default)]
    address: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    service: String,
    #[serde(default)]
    address: String,
    port: u16,
    #[serde(default)]
    meta: Option<BTreeMap<String, String>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Check {
    #[serde(default, rename = "CheckID")]
    id: String,
    #[serde(default)]
    status: String,
}

/// Decodes the reply to a health query into hosts sorted by id.
///
/// An instance that fails a check is skipped; one in maintenance is leaving. An instance that
/// cannot be decoded is skipped with a warning, so that one bad registration does not hide others.
pub fn decode_hosts(bytes: &[u8]) -> Result<Vec<Host>, String> {
    // Raw, since an instance with deep nesting or a number too large fails to parse as any value.
    let instances: Vec<&RawValue> = parse(bytes)?;
    let mut hosts = Vec::new();
    for instance in instances {
        match serde_json::from_str(instance.get()) {
            Ok(health) => hosts.extend(decode_host(health)),
            Err(error) => log::warn!("skipping an invalid entry of the host list: {error}"),
        }
    }
    hosts.sort_by(|a, b| a.id.cmp(&b.id));
    Ok(hosts)
}

fn decode_host(health: HealthInstance) -> Option<Host> {
    let checks = health.checks.unwrap_or_default();
    let is_maintenance = |check: &Check| {
        let has_prefix = |prefix: &&str| check.id.starts_with(*prefix);
        MAINTENANCE_CHECKS.iter().any(has_prefix)
    };
    let is_failed = |check: &&Check| check.status == CRITICAL;
    let (maintenance, failing): (Vec<&Check>, Vec<&Check>) = checks
        .iter()
        .filter(is_failed)
        .partition(|check| is_maintenance(check));
    if !failing.is_empty() {
        return None;
    }
    let Node { node, address } = health.node;
    let service = health.service;
    let host_address = if service.address.is_empty() {
        address
    } else {
        service.address
    };
    let Ok(ip) = host_address.parse::<IpAddr>() else {
        log::warn!("skipping host {node} of the host list: {host_address:?} is not an IP address");
        return None;
    };
    let meta = service.meta.unwrap_or_default();
    let meta_value = |name: &str| meta.get(name).map(String::as_str).unwrap_or_default();
    let leaving = meta_value("state") == "leaving" || !maintenance.is_empty();
    Some(Host {
        id: node,
        zone: meta_value("zone").to_owned(),
        service: service.service,
        addr: SocketAddr::new(ip, service.port),
        state: if leaving {
            HostState::Leaving
        } else {
            HostState::Live
        },
        incarnation: meta_value("incarnation").parse().unwrap_or(0),
    })
}

fn parse<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, String> {
    serde_json::from_slice(bytes).map_err(|error| error.to_string())
}
