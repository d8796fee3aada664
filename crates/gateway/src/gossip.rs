//! Telling the other gateways, hearing them, and taking over what they know better.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use primrose_fleet::digest::Digest;
use primrose_fleet::digest::MAX_BYTES;
use primrose_fleet::snapshot::Snapshot;
use primrose_fleet::SnapshotScope;
use tokio::net::UdpSocket;

use crate::control::SNAPSHOT_PATH;
use crate::event::Event;
use crate::feed::adopt_tables;
use crate::shared::millis;
use crate::shared::Shared;

/// Shortest pause between two digests: two gateways that pick the same free server cost one
/// prompt's wait, and about one request in ten arrives within this time of another.
const LEAST_PAUSE: Duration = Duration::from_millis(100);
/// Pause for each gateway that is told, which bounds the datagrams a second.
const PEER_PAUSE: Duration = Duration::from_millis(6);
/// How often it is looked whether another gateway knows more.
const LOOK_PAUSE: Duration = Duration::from_millis(300);
/// Longest time for a snapshot.
const SNAPSHOT_TIME: Duration = Duration::from_millis(700);
/// Snapshots in a row that cannot be had before the platform is read instead.
const SNAPSHOT_FAILURES: u32 = 3;
/// Most bytes of a snapshot: some hundred routes and servers.
const SNAPSHOT_BYTES: usize = 4 << 20;

/// Tells digests until the process ends.
pub(crate) async fn tell(shared: Rc<Shared>, socket: Rc<UdpSocket>, port: u16) {
    loop {
        let now = shared.now();
        let (contacts, digest) = {
            let mut fleet = shared.fleet.borrow_mut();
            let changes = fleet.expire(now);
            let digest = fleet.digest(now);
            let contacts = fleet.contacts();
            drop(fleet);
            shared.log_changes(&changes, "return time over");
            (contacts, digest)
        };
        match digest.encode() {
            Ok(bytes) => {
                for ip in &contacts {
                    // A digest that is lost is overtaken by the next one.
                    let _ = socket.try_send_to(&bytes, SocketAddr::new(*ip, port));
                }
            }
            Err(error) => ::log::error!("{}", snafu::Report::from_error(error)),
        }
        let peers = u32::try_from(contacts.len()).unwrap_or(u32::MAX);
        let pause = LEAST_PAUSE.max(PEER_PAUSE * peers);
        let before = shared.now();
        tokio::time::sleep(pause).await;
        let late = shared.now().saturating_sub(before + pause);
        if shared.busy.woke(late, shared.now()) {
            shared.log.event(&Event::Busy {
                late_ms: millis(late),
                running: shared.running.get(),
            });
        }
    }
}

/// Hears digests until the process ends.
pub(crate) async fn hear(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut bytes = vec![0; MAX_BYTES * 4];
    loop {
        let (length, from) = match socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(error) => {
                // An earlier datagram met a closed port; the next call reads on.
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

/// Takes over tables and servers from better informed gateways until the process ends.
pub(crate) async fn catch_up(shared: Rc<Shared>) {
    let mut failures = 0;
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        let wanted = wanted(&shared);
        let Some(ip) = shared.fleet.borrow().snapshot_source(wanted) else {
            failures = 0;
            continue;
        };
        let reason = match tokio::time::timeout(SNAPSHOT_TIME, fetch(&shared, ip)).await {
            Ok(Ok(snapshot)) => {
                failures = 0;
                shared.peers_lost.set(false);
                adopt(&shared, snapshot, wanted);
                continue;
            }
            Ok(Err(reason)) => reason,
            Err(_) => "no answer in time".to_owned(),
        };
        ::log::debug!("failed to read the snapshot of {ip}: {reason}");
        failures += 1;
        shared.peers_lost.set(failures >= SNAPSHOT_FAILURES);
    }
}

fn wanted(shared: &Shared) -> SnapshotScope {
    let is_blind = shared.fleet.borrow().list_unreadable_since().is_some();
    if is_blind || !shared.fleet.borrow().is_ready() {
        SnapshotScope::List
    } else if shared.follows() {
        SnapshotScope::Tables
    } else {
        SnapshotScope::Members
    }
}

fn adopt(shared: &Shared, snapshot: Snapshot, wanted: SnapshotScope) {
    if wanted != SnapshotScope::Tables {
        let now = shared.now();
        let changes = shared.fleet.borrow_mut().adopt_servers(&snapshot, now);
        shared.log_changes(&changes, "gateway");
    }
    if let Some(tables) = snapshot.tables {
        adopt_tables(shared, tables, "gateway");
    }
}

async fn fetch(shared: &Shared, ip: IpAddr) -> Result<Snapshot, String> {
    let addr = shared.control_of(ip);
    let request = Request::get(SNAPSHOT_PATH)
        .header(http::header::HOST, addr.to_string())
        .body(Full::default())
        .map_err(|error| error.to_string())?;
    let text = |error: primrose_conn::SendError| error.to_string();
    let sender = shared.peers.open(addr, true).await.map_err(text)?;
    let answer = shared
        .peers
        .send(addr, sender, request)
        .await
        .map_err(text)?;
    let body = http_body_util::Limited::new(answer.response.into_body(), SNAPSHOT_BYTES);
    let bytes = body.collect().await.map_err(|error| error.to_string())?;
    Snapshot::decode(&bytes.to_bytes()).map_err(|error| error.to_string())
}
