//! The key-value service over Consul's HTTP API.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use ureq::http::Method;

use primrose_util::uri::percent_encode;

use super::client::undecodable;
use super::client::Call;
use super::client::CallKind;
use super::client::Client;
use super::client::Reply;
use super::wire;
use super::wire::NewSession;
use super::ConsulConfig;
use crate::store::check_key;
use crate::store::check_ops;
use crate::store::CommitResult;
use crate::store::Entry;
use crate::store::InvalidSnafu;
use crate::store::LeaseEndedSnafu;
use crate::store::LeaseId;
use crate::store::Op;
use crate::store::Result;
use crate::store::Store;
use crate::store::Version;

/// Pause after a watch that returned without a change; limits the rate of its calls.
const SPURIOUS_WAKEUP_PAUSE: Duration = Duration::from_millis(250);

/// HTTP status for an absent key or an ended session.
const NOT_FOUND: u16 = 404;

/// A [`Store`] over Consul's HTTP API.
#[derive(Clone)]
pub struct ConsulStore {
    client: Arc<Client>,
}

impl ConsulStore {
    /// Creates an adapter; connects at the first call.
    pub fn new(config: ConsulConfig) -> Self {
        let client = Arc::new(Client::new(config));
        Self { client }
    }

    fn read(&self, kind: CallKind, target: &str) -> Result<(Reply, Vec<Entry>)> {
        let reply = self.client.call(&Call {
            kind,
            method: Method::GET,
            target,
            body: Vec::new(),
        })?;
        if reply.status == NOT_FOUND {
            return Ok((reply, Vec::new()));
        }
        let entries = wire::decode_entries(&reply.body);
        let entries = entries.map_err(|detail| undecodable(kind, &detail))?;
        Ok((reply, entries))
    }

    fn read_key(&self, kind: CallKind, key: &str, query: &str) -> Result<(Reply, Option<Entry>)> {
        let target = format!("/v1/kv/{}?{query}", percent_encode(key));
        let (reply, entries) = self.read(kind, &target)?;
        let entry = entries.into_iter().next();
        match entry {
            Some(entry) if entry.key != key => {
                let detail = format!("requested key {key:?}, got {:?}", entry.key);
                InvalidSnafu { detail }.fail()
            }
            entry => Ok((reply, entry)),
        }
    }

    fn write(&self, target: &str, body: Vec<u8>) -> Result<Reply> {
        self.client.call(&Call {
            kind: CallKind::Write,
            method: Method::PUT,
            target,
            body,
        })
    }
}

impl Store for ConsulStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        check_key(key)?;
        let (_, entry) = self.read_key(CallKind::Read, key, "consistent")?;
        Ok(entry)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let target = format!("/v1/kv/{}?recurse&consistent", percent_encode(prefix));
        let (_, mut entries) = self.read(CallKind::Read, &target)?;
        entries.sort_by(|a, b| a.key.cmp(&b.key));
        Ok(entries)
    }

    fn commit(&self, ops: &[Op]) -> Result<CommitResult> {
        check_ops(ops)?;
        let txn: Vec<_> = ops.iter().map(wire::txn_op).collect();
        let reply = self.write("/v1/txn", json(&txn))?;
        let decoded = wire::decode_txn(&reply.body);
        match decoded.map_err(|detail| undecodable(CallKind::Write, &detail))? {
            CommitResult::Applied(_) if reply.status != 200 => {
                let detail = format!("status {} without a failed operation", reply.status);
                Err(undecodable(CallKind::Write, &detail))
            }
            result => Ok(result),
        }
    }

    fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Entry>> {
        check_key(key)?;
        let end = Instant::now() + wait;
        let mut index = after;
        // An absent key has no version to watch, so the first read returns at once.
        if index == 0 {
            let (reply, entry) = self.read_key(CallKind::Read, key, "consistent")?;
            if entry.is_some() || wait.is_zero() {
                return Ok(entry);
            }
            index = reply.index.max(1);
        }
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let query = format!("index={index}&wait={}ms", left.as_millis().max(1));
            let (reply, entry) = self.read_key(CallKind::Watch(left), key, &query)?;
            let version = entry.as_ref().map_or(0, |found| found.version);
            let left = end.saturating_duration_since(Instant::now());
            if version != after || left.is_zero() {
                return Ok(entry);
            }
            // Also resets an index that went back, as after a restore from a backup.
            index = reply.index.max(1);
            thread::sleep(left.min(SPURIOUS_WAKEUP_PAUSE));
        }
    }

    fn lease(&self, ttl: Duration) -> Result<LeaseId> {
        let session = NewSession {
            name: "primrosehall",
            ttl: format!("{}ms", ttl.as_millis()),
            behavior: "release",
            lock_delay: "0s",
            node_checks: [],
        };
        let reply = self.write("/v1/session/create", json(&session))?;
        let lease = wire::decode_lease(&reply.body);
        lease.map_err(|detail| undecodable(CallKind::Write, &detail))
    }

    fn renew(&self, lease: &str) -> Result<()> {
        let target = format!("/v1/session/renew/{}", percent_encode(lease));
        let reply = self.write(&target, Vec::new())?;
        if reply.status == NOT_FOUND {
            return LeaseEndedSnafu { lease }.fail();
        }
        Ok(())
    }

    fn revoke(&self, lease: &str) -> Result<()> {
        let target = format!("/v1/session/destroy/{}", percent_encode(lease));
        self.write(&target, Vec::new())?;
        Ok(())
    }
}

fn json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("requests are plain data with string keys")
}
