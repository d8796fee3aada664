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
use http_body_util::Full;
use primrose_fleet::digest::Digest;
use primrose_fleet::digest::MAX_COMBINED_BYTES;
use primrose_fleet::snapshot::Snapshot;
use primrose_fleet::SnapshotScope;
use tokio::net::UdpSocket;

use crate::control::SNAPSHOT_PATH;
use crate::feed::adopt_tables;
use crate::quarantine::report_changes;
use crate::shared::Shared;

/// How often it is checked whether another gateway has newer state.
const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout for fetching a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(700);
/// Consecutive failures to fetch a snapshot after which the platform is read instead.
const MAX_SNAPSHOT_FAILURES: u32 = 3;
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
            report_changes(&shared);
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
            }
            Err(error) => ::log::debug!("dropped a datagram from {from}: {error}"),
        }
    }
}

/// Fetches tables and servers from gateways with newer state until the process ends.
pub(crate) async fn fetch_snapshots(shared: Rc<Shared>) {
    let mut failures = 0;
    loop {
        tokio::time::sleep(SNAPSHOT_CHECK_INTERVAL).await;
        let scope = snapshot_scope(&shared);
        let Some(ip) = shared.fleet.borrow().snapshot_source(scope) else {
            failures = 0;
            continue;
        };
        let reason = match tokio::time::timeout(SNAPSHOT_TIMEOUT, fetch_snapshot(&shared, ip)).await
        {
            Ok(Ok(snapshot)) => {
                failures = 0;
                shared.snapshots_unavailable.set(false);
                apply_snapshot(&shared, snapshot, scope);
                continue;
            }
            Ok(Err(reason)) => reason,
            Err(_) => "no answer in time".to_owned(),
        };
        ::log::debug!("failed to read the snapshot of {ip}: {reason}");
        failures += 1;
        shared
            .snapshots_unavailable
            .set(failures >= MAX_SNAPSHOT_FAILURES);
    }
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
    if scope != SnapshotScope::Tables {
        let now = shared.now();
        let changes = shared.fleet.borrow_mut().adopt_servers(&snapshot, now);
        shared.log_changes(&changes, "gateway");
    }
    if let Some(tables) = snapshot.tables {
        adopt_tables(shared, tables, "gateway");
    }
}

async fn fetch_snapshot(shared: &Shared, ip: IpAddr) -> Result<Snapshot, String> {
    let addr = shared.control_addr(ip);
    let request = Request::get(SNAPSHOT_PATH)
        .header(http::header::HOST, addr.to_string())
        .body(Full::default())
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
