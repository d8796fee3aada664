//! The HTTP interface of the key-value service.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use primrose_store::memory::MemoryStore;
use primrose_store::store::CommitResult;
use primrose_store::store::Entry;
use primrose_store::store::Op;
use primrose_store::store::Store;
use primrose_store::store::StoreError;
use primrose_store::store::Version;
use tokio::sync::watch;

use super::progress::Signal;
use super::wire;
use super::wire::Pair;
use super::wire::TxnReply;
use super::KvConfig;
use crate::hosts;
use crate::http;
use crate::http::Reply;
use crate::server::ReplyFuture;
use crate::server::Service;

/// Time that a blocking query waits if it has no `wait` parameter.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

/// State that the handle and the request handlers share.
pub(super) struct Core {
    config: KvConfig,
    store: Arc<MemoryStore>,
    signal: Signal,
    stalled: watch::Sender<bool>,
    /// Number of times that the pending requests were silenced.
    silenced: AtomicU32,
}

impl Core {
    pub(super) fn new(config: KvConfig) -> Arc<Self> {
        let store = Arc::new(MemoryStore::new(config.clock.clone()));
        Arc::new(Self {
            signal: Signal::new(store.peek_state_version()),
            stalled: watch::Sender::new(false),
            silenced: AtomicU32::new(0),
            store,
            config,
        })
    }

    pub(super) fn store(&self) -> &Arc<MemoryStore> {
        &self.store
    }

    pub(super) fn stall(&self, stalled: bool) {
        self.stalled.send_replace(stalled);
    }

    pub(super) fn silence_pending(&self) {
        self.silenced.fetch_add(1, Ordering::SeqCst);
    }

    /// Wakes blocking queries if the state has changed since the last call.
    pub(super) fn notify_if_changed(&self) {
        let version = self.store.peek_state_version();
        self.signal.send_if_modified(|seen| {
            let changed = *seen != version;
            *seen = version;
            changed
        });
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Reply> {
        let request = match http::read_request(request).await {
            Ok(request) => request,
            Err(reply) => return Some(reply),
        };
        if request.method() == Method::GET {
            return self.process(request).await;
        }
        // A write is applied even if its client disconnects in the meantime.
        tokio::spawn(self.process(request)).await.ok()?
    }

    async fn process(self: Arc<Self>, request: Request<Bytes>) -> Option<Reply> {
        let received = self.silenced.load(Ordering::SeqCst);
        let mut stalled = self.stalled.subscribe();
        // `self` owns the sender, so waiting cannot fail.
        let _ = stalled.wait_for(|stalled| !stalled).await;
        let answer = self.route(request).await;
        self.notify_if_changed();
        if self.silenced.load(Ordering::SeqCst) != received {
            std::future::pending::<()>().await;
        }
        match answer {
            Ok(reply) => Some(reply),
            Err(StoreError::Lost { .. }) => None,
            Err(error) => Some(error_reply(&error)),
        }
    }

    async fn route(&self, request: Request<Bytes>) -> Result<Reply, StoreError> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            let Some(key) = http::percent_decode(key) else {
                return Ok(bad_request("invalid percent-encoding in key"));
            };
            return match method {
                Method::GET => self.read(&key, &request).await,
                Method::PUT => self.put(key, request),
                Method::DELETE => self.delete(key, &request),
                _ => Ok(not_supported()),
            };
        }
        if let Some(service) = path.strip_prefix("/v1/health/service/") {
            return match &self.config.hosts {
                Some(registry) => Ok(hosts::respond(registry, service, &request).await),
                None => Ok(not_supported()),
            };
        }
        if method != Method::PUT {
            return Ok(not_supported());
        }
        if path == "/v1/txn" {
            return self.transact(&request);
        }
        if path == "/v1/session/create" {
            return self.create_session(&request);
        }
        if let Some(lease) = path.strip_prefix("/v1/session/renew/") {
            self.store.renew(lease)?;
            let id = lease.to_owned();
            return Ok(http::json(StatusCode::OK, &[wire::Session { id }]));
        }
        if let Some(lease) = path.strip_prefix("/v1/session/destroy/") {
            self.store.revoke(lease)?;
            return Ok(http::json(StatusCode::OK, &true));
        }
        Ok(not_supported())
    }

    async fn read(&self, key: &str, request: &Request<Bytes>) -> Result<Reply, StoreError> {
        if http::query_param(request, "recurse").is_some() {
            let entries = self.store.list(key)?;
            return Ok(pairs_reply(entries, self.store.peek_state_version().index));
        }
        let index = http::query_param(request, "index").and_then(|text| text.parse().ok());
        let entry = match index {
            None | Some(0) => self.store.get(key)?,
            Some(index) => {
                // Read before the call is counted: a test that has seen the count may restore a backup,
                // and the query must notice it.
                let restored = self.store.peek_state_version().restores;
                self.store.begin_watch()?;
                let wait = http::query_param(request, "wait").and_then(parse_duration);
                let changed = self.wait_for_change(key, index, restored);
                // A query that times out returns the current value.
                let _ = tokio::time::timeout(wait.unwrap_or(DEFAULT_WAIT), changed).await;
                self.store.peek(key)
            }
        };
        let changed = self.store.peek_last_change(key);
        Ok(pairs_reply(entry.into_iter().collect(), changed.max(1)))
    }

    /// Waits until the key has changed after `index`, or a backup has been restored.
    async fn wait_for_change(&self, key: &str, index: Version, restored: u64) {
        let mut signal = self.signal.subscribe();
        let unchanged = || {
            let same = self.store.peek_state_version().restores == restored;
            same && self.store.peek_last_change(key) <= index
        };
        while unchanged() {
            // `self` owns the sender, so waiting cannot fail.
            let _ = signal.changed().await;
        }
    }

    fn put(&self, key: String, request: Request<Bytes>) -> Result<Reply, StoreError> {
        let text = |name| http::query_param(&request, name).map(str::to_owned);
        let cas = text("cas").and_then(|text| text.parse().ok());
        let (acquire, release) = (text("acquire"), text("release"));
        let value = request.into_body().to_vec();
        let op = match (cas, acquire, release) {
            (Some(0), ..) => Op::Create { key, value },
            (Some(version), ..) => Op::Swap {
                key,
                value,
                version,
            },
            (None, Some(lease), _) => Op::Hold { key, value, lease },
            (None, None, Some(lease)) => Op::Release { key, value, lease },
            (None, None, None) => Op::Put { key, value },
        };
        self.commit_one(&op)
    }

    fn delete(&self, key: String, request: &Request<Bytes>) -> Result<Reply, StoreError> {
        let cas = http::query_param(request, "cas").and_then(|text| text.parse().ok());
        let Some(version) = cas else {
            return Ok(bad_request("delete requires the cas parameter"));
        };
        self.commit_one(&Op::Delete { key, version })
    }

    fn commit_one(&self, op: &Op) -> Result<Reply, StoreError> {
        let result = self.store.commit(std::slice::from_ref(op))?;
        let applied = matches!(result, CommitResult::Applied(_));
        Ok(http::json(StatusCode::OK, &applied))
    }

    fn transact(&self, request: &Request<Bytes>) -> Result<Reply, StoreError> {
        let parsed: Result<Vec<wire::TxnOp>, _> = serde_json::from_slice(request.body());
        let ops = match parsed {
            Ok(ops) => ops,
            Err(error) => return Ok(bad_request(&error.to_string())),
        };
        let ops: Result<Vec<Op>, String> = ops.into_iter().map(wire::TxnOp::into_op).collect();
        let ops = match ops {
            Ok(ops) => ops,
            Err(error) => return Ok(bad_request(&error)),
        };
        Ok(match self.store.commit(&ops)? {
            CommitResult::Applied(written) => {
                http::json(StatusCode::OK, &TxnReply::applied(written))
            }
            CommitResult::Conflict(conflict) => {
                http::json(StatusCode::CONFLICT, &TxnReply::conflict(conflict))
            }
        })
    }

    fn create_session(&self, request: &Request<Bytes>) -> Result<Reply, StoreError> {
        let parsed: Result<wire::NewSession, _> = serde_json::from_slice(request.body());
        let ttl = parsed.ok().and_then(|session| parse_duration(&session.ttl));
        match ttl {
            Some(ttl) if ttl >= self.config.min_ttl => {
                let id = self.store.lease(ttl)?;
                Ok(http::json(StatusCode::OK, &wire::Session { id }))
            }
            _ => Ok(bad_request("invalid session TTL")),
        }
    }
}

impl Service for Core {
    fn call(self: Arc<Self>, request: Request<Incoming>) -> ReplyFuture {
        Box::pin(self.handle(request))
    }
}

fn pairs_reply(entries: Vec<Entry>, index: Version) -> Reply {
    let status = if entries.is_empty() {
        StatusCode::NOT_FOUND
    } else {
        StatusCode::OK
    };
    let pairs: Vec<Pair> = entries.into_iter().map(Pair::from).collect();
    let mut reply = http::json(status, &pairs);
    set_index(&mut reply, index);
    reply
}

/// Sets the header with the index of the state that a reply represents.
pub(crate) fn set_index(reply: &mut Reply, index: u64) {
    reply
        .headers_mut()
        .insert("x-consul-index", HeaderValue::from(index));
}

fn error_reply(error: &StoreError) -> Reply {
    let status = match error {
        StoreError::Unavailable { .. } => StatusCode::TOO_MANY_REQUESTS,
        StoreError::LeaseEnded { .. } => StatusCode::NOT_FOUND,
        StoreError::Invalid { .. } | StoreError::Lost { .. } => StatusCode::BAD_REQUEST,
    };
    http::error(status, &error.to_string())
}

fn bad_request(message: &str) -> Reply {
    http::error(StatusCode::BAD_REQUEST, message)
}

/// Creates the reply to an unsupported request; 404 would mean an absent key.
fn not_supported() -> Reply {
    http::error(StatusCode::METHOD_NOT_ALLOWED, "unsupported request")
}

/// Parses a duration such as `10s` or `250ms`.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    if let Some(ms) = text.strip_suffix("ms") {
        return ms.parse().ok().map(Duration::from_millis);
    }
    if let Some(minutes) = text.strip_suffix('m') {
        let minutes: u64 = minutes.parse().ok()?;
        return Some(Duration::from_secs(minutes.checked_mul(60)?));
    }
    let seconds = text.strip_suffix('s')?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}
