//! Exchange of state with the other gateways.
//!
//! Each gateway publishes a digest of its state to all others at short intervals over UDP. If
//! another gateway's digest shows newer tables or servers, its snapshot is fetched over HTTP.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http_body_util::BodyExt;
use primrose_conn::RequestBody;
use primrose_fleet::digest::Digest;
use primrose_fleet::digest::MAX_COMBINED_BYTES;
use primrose_fleet::snapshot::Snapshot;
use primrose_fleet::SnapshotScope;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

use crate::control::SNAPSHOT_PATH;
use crate::evacuation;
use crate::feed::adopt_tables;
use crate::quarantine::report_changes;
use crate::shared::Shared;

/// How often it is checked whether another gateway has newer state.
const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout for fetching a snapshot. A fetch takes several rounds of this gateway's thread, and a round
/// may take some 0.3 s while the gateway does not keep up.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which a snapshot is fetched from another gateway, too.
const NEXT_SOURCE_DELAY: Duration = Duration::from_millis(600);
/// Consecutive fetches without an answer after which the platform is read instead.
const MAX_UNANSWERED: u32 = 3;
/// Maximum length of a snapshot; it holds some hundred routes and servers.
const MAX_SNAPSHOT_BYTES: usize = 4 << 20;

/// Publishes digests until the process ends.
pub(crate) async fn publish_digests(shared: Rc<Shared>, socket: Rc<UdpSocket>, port: u16) {
    loop {
        let now = shared.now();
        let outgoing = {
            let mut fleet = shared.fleet.borrow_mut();
            let changes = fleet.expire(now);
            fleet.set_overloaded(shared.shedder.fraction() > 0.0);
            let outgoing = fleet.outgoing(now);
            drop(fleet);
            shared.log_changes(&changes, "return time over");
            evacuation::log_changes(&shared);
            report_changes(&shared);
            shared.log_cold_servers();
            outgoing
        };
        for out in outgoing.iter().filter(|out| !out.receivers.is_empty()) {
            match out.digest.encode() {
                Ok(bytes) => {
                    for ip in &out.receivers {
                        // The next digest makes up for a lost one.
                        let _ = socket.try_send_to(&bytes, SocketAddr::new(*ip, port));
                    }
                }
                Err(error) => ::log::error!("{}", snafu::Report::from_error(error)),
            }
        }
        let interval = shared.fleet.borrow().send_interval(&outgoing);
        tokio::time::sleep(interval).await;
    }
}

/// Receives and merges digests until the process ends.
pub(crate) async fn receive_digests(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut bytes = vec![0; MAX_COMBINED_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(error) => {
                // An earlier datagram reached a closed port; receiving can continue.
                ::log::debug!("failed to receive a digest: {error}");
                tokio::task::yield_now().await;
                continue;
            }
        };
        match Digest::decode(&bytes[..length]) {
            Ok(digest) => {
                let now = shared.now();
                let changes = shared.fleet.borrow_mut().merge(digest, from.ip(), now);
                shared.log_changes(&changes, "gateway");
                evacuation::log_changes(&shared);
            }
            Err(error) => ::log::debug!("dropped a datagram from {from}: {error}"),
        }
    }
}

/// Fetches tables and servers from gateways with newer state until the process ends.
pub(crate) async fn fetch_snapshots(shared: Rc<Shared>) {
    let mut fetches = JoinSet::new();
    let mut last_begun = None;
    let mut unanswered = 0;
    loop {
        tokio::select! {
            () = tokio::time::sleep(SNAPSHOT_CHECK_INTERVAL) => {}
            Some(ended) = fetches.join_next() => {
                if let Ok(Some(snapshot)) = ended {
                    unanswered = 0;
                    shared.snapshots_unavailable.set(false);
                    apply_snapshot(&shared, snapshot, snapshot_scope(&shared));
                }
            }
        }
        let source = shared
            .fleet
            .borrow()
            .snapshot_source(snapshot_scope(&shared));
        let Some(ip) = source else {
            unanswered = 0;
            fetches.abort_all();
            continue;
        };
        let now = shared.now();
        let pause = if fetches.is_empty() {
            SNAPSHOT_CHECK_INTERVAL
        } else {
            NEXT_SOURCE_DELAY
        };
        if last_begun.is_none_or(|at| now.saturating_sub(at) >= pause) {
            last_begun = Some(now);
            unanswered += 1;
            shared
                .snapshots_unavailable
                .set(unanswered > MAX_UNANSWERED);
            fetches.spawn_local(fetch_in_time(Rc::clone(&shared), ip));
        }
    }
}

/// Fetches the snapshot of one gateway; none if that fails or takes too long.
async fn fetch_in_time(shared: Rc<Shared>, ip: IpAddr) -> Option<Snapshot> {
    let fetched = tokio::time::timeout(SNAPSHOT_TIMEOUT, fetch_snapshot(&shared, ip)).await;
    let reason = match fetched {
        Ok(Ok(snapshot)) => return Some(snapshot),
        Ok(Err(reason)) => reason,
        Err(_) => "no answer in time".to_owned(),
    };
    ::log::debug!("failed to read the snapshot of {ip}: {reason}");
    None
}

fn snapshot_scope(shared: &Shared) -> SnapshotScope {
    let is_list_unreadable = shared.fleet.borrow().list_unreadable_since().is_some();
    if is_list_unreadable || !shared.fleet.borrow().is_ready() {
        SnapshotScope::List
    } else if shared.is_follower() {
        SnapshotScope::Tables
    } else {
        SnapshotScope::Members
    }
}

fn apply_snapshot(shared: &Shared, snapshot: Snapshot, scope: SnapshotScope) {
    let now = shared.now();
    // Before the servers and tables, with which the gateway may begin to serve.
    let mut fleet = shared.fleet.borrow_mut();
    fleet.merge_evacuations(&snapshot.evacuations, now);
    drop(fleet);
    if scope != SnapshotScope::Tables {
        let changes = shared.fleet.borrow_mut().adopt_servers(&snapshot, now);
        shared.log_changes(&changes, "gateway");
    }
    if let Some(tables) = snapshot.tables {
        adopt_tables(shared, tables, "gateway");
    }
    evacuation::log_changes(shared);
}

async fn fetch_snapshot(shared: &Shared, ip: IpAddr) -> Result<Snapshot, String> {
    let addr = shared.control_addr(ip);
    let request = Request::get(SNAPSHOT_PATH)
        .header(http::header::HOST, addr.to_string())
        .body(RequestBody::default())
        .map_err(|error| error.to_string())?;
    let text = |error: primrose_conn::SendError| error.to_string();
    let sender = shared
        .peer_connections
        .open(addr, true)
        .await
        .map_err(text)?;
    let answer = shared
        .peer_connections
        .send(addr, sender, request)
        .await
        .map_err(text)?;
    let body = http_body_util::Limited::new(answer.response.into_body(), MAX_SNAPSHOT_BYTES);
    let bytes = body.collect().await.map_err(|error| error.to_string())?;
    Snapshot::decode(&bytes.to_bytes()).map_err(|error| error.to_string())
}
