//! Accepts connections of peers and authenticates them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_tungstenite::accept_async_with_config;

use crate::connection::Connection;
use crate::connection::Socket;
use crate::counting_stream::CountingStream;
use crate::dial::close_with_reason;
use crate::dial::receive;
use crate::dial::send;
use crate::event::RefusedReason;
use crate::handshake::AcceptorHandshake;
use crate::handshake::Session;
use crate::registry::LinkGuard;
use crate::registry::NewConnection;
use crate::relay::EventSender;
use crate::shared::report_refused;
use crate::shared::Shared;
use crate::stats::Counters;

/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections for as long as the endpoint runs.
pub(crate) async fn accept_loop<M>(
    listener: TcpListener,
    shared: Arc<Shared>,
    events: EventSender<M>,
) where
    M: DeserializeOwned + Send + 'static,
{
    let pending = Arc::new(Semaphore::new(shared.limits.max_pending));
    loop {
        let (stream, addr) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                warn!("failed to accept a peer connection: {e}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Beyond the limit the connection is dropped immediately; real peers retry.
        let Ok(permit) = Arc::clone(&pending).try_acquire_owned() else {
            continue;
        };
        let shared = Arc::clone(&shared);
        let events = events.clone();
        tokio::spawn(async move { serve_connection(stream, addr, &shared, &events, permit).await });
    }
}

/// Authenticates one connection and runs it as a link.
async fn serve_connection<M: DeserializeOwned>(
    stream: TcpStream,
    addr: SocketAddr,
    shared: &Shared,
    events: &EventSender<M>,
    permit: OwnedSemaphorePermit,
) {
    let counters = Arc::new(Counters::default());
    let counting_stream =
        CountingStream::new(stream, Arc::clone(&counters), Arc::clone(&shared.total));
    let handshake = timeout(
        shared.limits.handshake_timeout,
        upgrade_and_authenticate(counting_stream, shared, Arc::clone(&counters)),
    );
    match handshake.await {
        Ok(Ok((socket, session, guard))) => {
            drop(permit);
            let connection = Connection {
                shared,
                events,
                counters: &counters,
                guard,
            };
            connection.run(socket, session).await;
        }
        Ok(Err(reason)) => report_refused(shared, events, addr, reason),
        Err(_) => report_refused(shared, events, addr, RefusedReason::Timeout),
    }
}

/// Upgrades a connection to a WebSocket and runs the accepting side of the handshake.
async fn upgrade_and_authenticate(
    stream: CountingStream,
    shared: &Shared,
    counters: Arc<Counters>,
) -> Result<(Socket, Session, LinkGuard), RefusedReason> {
    stream
        .set_nodelay()
        .map_err(|e| RefusedReason::Failed(e.to_string()))?;
    let config = Some(shared.socket_config());
    let upgraded = accept_async_with_config(stream, config).await;
    let mut socket = upgraded.map_err(|e| RefusedReason::Failed(e.to_string()))?;
    match authenticate(&mut socket, shared, counters).await {
        Ok((session, guard)) => Ok((socket, session, guard)),
        Err(reason) => {
            close_with_reason(&mut socket, &reason).await;
            Err(reason)
        }
    }
}

/// Exchanges the handshake messages and registers the connection as a link.
async fn authenticate(
    socket: &mut Socket,
    shared: &Shared,
    counters: Arc<Counters>,
) -> Result<(Session, LinkGuard), RefusedReason> {
    let first = receive(socket).await?;
    let acceptor_handshake = AcceptorHandshake::new(shared.me.clone(), shared.nonce(), &first)
        .map_err(RefusedReason::Handshake)?;
    if shared
        .block_list
        .is_peer_blocked(acceptor_handshake.claimed_identity())
    {
        // As in a partition, the peer gets no reply; the handshake timeout ends the wait.
        std::future::pending::<()>().await;
    }
    send(socket, acceptor_handshake.answer(&shared.keys)).await?;
    let last = receive(socket).await?;
    let mut session = acceptor_handshake
        .finish(&last, &shared.keys)
        .map_err(RefusedReason::Handshake)?;
    let new_connection = NewConnection {
        peer: session.peer.clone(),
        dialed: false,
        counters,
    };
    let guard = shared.registry.admit(new_connection)?;
    // An empty first frame informs the dialing side that it was admitted.
    let frame = session.sealer.seal(&[]);
    send(socket, frame).await?;
    Ok((session, guard))
}
