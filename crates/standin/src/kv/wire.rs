//! JSON messages of Consul's HTTP protocol, from the side of the server.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use primrose_store::store::Conflict;
use primrose_store::store::Entry;
use primrose_store::store::Op;
use primrose_store::store::Written;
use serde::Deserialize;
use serde::Serialize;

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Pair {
    key: String,
    flags: u64,
    value: Option<String>,
    lock_index: u64,
    modify_index: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<String>,
}

impl From<Entry> for Pair {
    fn from(entry: Entry) -> Self {
        let value = (!entry.value.is_empty()).then(|| STANDARD.encode(&entry.value));
        Self {
            key: entry.key,
            flags: 0,
            value,
            lock_index: entry.fence,
            modify_index: entry.version,
            session: entry.lease,
        }
    }
}

impl From<Written> for Pair {
    fn from(written: Written) -> Self {
        Self {
            key: written.key,
            flags: 0,
            value: None,
            lock_index: written.fence,
            modify_index: written.version,
            session: None,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct TxnOp {
    #[serde(rename = "KV")]
    operation: TxnKv,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TxnKv {
    verb: String,
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    index: u64,
    #[serde(default)]
    session: String,
}

impl TxnOp {
    /// Converts the operation to a store operation; fails for an unsupported verb.
    pub(super) fn into_op(self) -> Result<Op, String> {
        let TxnKv {
            verb,
            key,
            value,
            index: version,
            session: lease,
        } = self.operation;
        let value = STANDARD.decode(value).map_err(|error| error.to_string())?;
        Ok(match verb.as_str() {
            "cas" if version == 0 => Op::Create { key, value },
            "cas" => Op::Swap {
                key,
                value,
                version,
            },
            "set" => Op::Put { key, value },
            "delete-cas" => Op::Delete { key, version },
            "lock" => Op::Hold { key, value, lease },
            "unlock" => Op::Release { key, value, lease },
            "check-not-exists" => Op::Check { key, version: 0 },
            "check-index" => Op::Check { key, version },
            other => return Err(format!("unsupported verb {other:?}")),
        })
    }
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct TxnReply {
    results: Option<Vec<TxnResult>>,
    errors: Option<Vec<TxnError>>,
}

#[derive(Serialize)]
struct TxnResult {
    #[serde(rename = "KV")]
    pair: Pair,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct TxnError {
    op_index: usize,
    what: String,
}

impl TxnReply {
    pub(super) fn applied(written: Vec<Written>) -> Self {
        let results = written
            .into_iter()
            .map(|pair| TxnResult { pair: pair.into() });
        Self {
            results: Some(results.collect()),
            errors: None,
        }
    }

    pub(super) fn conflict(conflict: Conflict) -> Self {
        let error = TxnError {
            op_index: conflict.op,
            what: conflict.detail,
        };
        Self {
            results: None,
            errors: Some(vec![error]),
        }
    }
}

#[derive(Deserialize)]
pub(super) struct NewSession {
    #[serde(rename = "TTL")]
    pub(super) ttl: String,
}

#[derive(Serialize)]
pub(super) struct Session {
    #[serde(rename = "ID")]
    pub(super) id: String,
}
