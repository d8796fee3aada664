//! Dials peers and redials them with backoff until the dialing task is aborted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use log::debug;
use primrose_core::id::HostId;
use primrose_retry::Backoff;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::Instant;
use tokio_tungstenite::client_async_with_config;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::Message;

use crate::connection::Connection;
use crate::connection::Socket;
use crate::counting_stream::CountingStream;
use crate::event::RefusedReason;
use crate::handshake::DialerHandshake;
use crate::handshake::HandshakeError;
use crate::handshake::Session;
use crate::handshake::MAX_HANDSHAKE_BYTES;
use crate::registry::LinkGuard;
use crate::registry::NewConnection;
use crate::relay::EventSender;
use crate::shared::report_refused;
use crate::shared::Shared;
use crate::stats::Counters;

/// Time that a link must have been up for the backoff to be reset.
const STABLE_LINK_TIME: Duration = Duration::from_secs(5);
/// Interval at which the dialer of a linked host checks that the link is still up.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest close reason that is sent or read, in characters.
const MAX_REASON_CHARS: usize = 120;

/// Peer to dial.
#[derive(Debug, Clone)]
pub(crate) struct DialTarget {
    /// Name of the host, if it is known.
    pub(crate) host: Option<HostId>,
    /// Address on which the peer listens.
    pub(crate) addr: SocketAddr,
}

/// Outcome of one attempt to dial.
enum DialOutcome {
    /// The link came up and ended after this time.
    Linked(Duration),
    /// The connection failed or was refused.
    Failed,
    /// The address is this router's own.
    OwnAddress,
}

/// Dials a target until the task is aborted or the target turns out to be this router.
pub(crate) async fn dial_loop<M>(
    mut target: DialTarget,
    shared: Arc<Shared>,
    events: EventSender<M>,
) where
    M: DeserializeOwned + Send + 'static,
{
    let mut backoff = Backoff::new(shared.limits.backoff);
    while !shared.is_stopping() {
        if target
            .host
            .as_ref()
            .is_some_and(|h| shared.registry.is_linked(h))
        {
            let _ = timeout(RECHECK_INTERVAL, shared.registry.changed()).await;
            continue;
        }
        match dial_once(&mut target, &shared, &events).await {
            DialOutcome::OwnAddress => return,
            DialOutcome::Linked(up_time) if up_time >= STABLE_LINK_TIME => backoff.reset(),
            DialOutcome::Linked(_) | DialOutcome::Failed => {}
        }
        let delay = backoff.next_delay(&mut rand::rng());
        sleep(delay).await;
    }
}

/// Makes one attempt to connect and runs the link until it ends.
async fn dial_once<M: DeserializeOwned>(
    target: &mut DialTarget,
    shared: &Shared,
    events: &EventSender<M>,
) -> DialOutcome {
    let counters = Arc::new(Counters::default());
    let attempt = connect_and_authenticate(target, shared, Arc::clone(&counters));
    let reason = match timeout(shared.limits.handshake_timeout, attempt).await {
        Ok(Ok((socket, session, guard))) => {
            let start = Instant::now();
            let connection = Connection {
                shared,
                events,
                counters: &counters,
                guard,
            };
            connection.run(socket, session).await;
            return DialOutcome::Linked(start.elapsed());
        }
        Ok(Err(reason)) => reason,
        Err(_) => RefusedReason::Timeout,
    };
    let addr = target.addr;
    match reason {
        // A seed may be this router itself, since all hosts share the same settings.
        RefusedReason::Handshake(HandshakeError::OwnName) if target.host.is_none() => {
            DialOutcome::OwnAddress
        }
        RefusedReason::Timeout | RefusedReason::Failed(_) => {
            debug!(peer:% = addr; "failed to reach a peer: {reason}");
            DialOutcome::Failed
        }
        reason => {
            report_refused(shared, events, addr, reason);
            DialOutcome::Failed
        }
    }
}

/// Opens a connection, authenticates it and registers it as a link.
async fn connect_and_authenticate(
    target: &mut DialTarget,
    shared: &Shared,
    counters: Arc<Counters>,
) -> Result<(Socket, Session, LinkGuard), RefusedReason> {
    if target
        .host
        .as_ref()
        .is_some_and(|h| shared.block_list.is_host_blocked(h))
    {
        std::future::pending::<()>().await;
    }
    let failed = |e: std::io::Error| RefusedReason::Failed(e.to_string());
    let stream = TcpStream::connect(target.addr).await.map_err(failed)?;
    let counting_stream =
        CountingStream::new(stream, Arc::clone(&counters), Arc::clone(&shared.total));
    counting_stream.set_nodelay().map_err(failed)?;
    let url = format!("ws://{}/", target.addr);
    let config = Some(shared.socket_config());
    let upgraded = client_async_with_config(url, counting_stream, config).await;
    let (mut socket, _) = upgraded.map_err(|e| RefusedReason::Failed(e.to_string()))?;
    match authenticate(&mut socket, target, shared, counters).await {
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
    target: &mut DialTarget,
    shared: &Shared,
    counters: Arc<Counters>,
) -> Result<(Session, LinkGuard), RefusedReason> {
    let dialer_handshake =
        DialerHandshake::new(shared.me.clone(), target.host.clone(), shared.nonce());
    send(socket, dialer_handshake.first_message()).await?;
    let answer = receive(socket).await?;
    let (last, mut session) = dialer_handshake
        .finish(&answer, &shared.keys)
        .map_err(RefusedReason::Handshake)?;
    if shared.block_list.is_peer_blocked(&session.peer) {
        std::future::pending::<()>().await;
    }
    target.host = Some(session.peer.member.host.clone());
    send(socket, last).await?;
    let first = receive(socket).await?;
    session
        .opener
        .open(&first)
        .map_err(|e| RefusedReason::Failed(e.to_string()))?;
    let new_connection = NewConnection {
        peer: session.peer.clone(),
        dialed: true,
        counters,
    };
    let guard = shared.registry.admit(new_connection)?;
    Ok((session, guard))
}

/// Sends one handshake message.
pub(crate) async fn send(socket: &mut Socket, message: Vec<u8>) -> Result<(), RefusedReason> {
    let sent = socket.send(Message::binary(message)).await;
    sent.map_err(|e| RefusedReason::Failed(e.to_string()))
}

/// Receives one handshake message.
pub(crate) async fn receive(socket: &mut Socket) -> Result<Vec<u8>, RefusedReason> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) if bytes.len() <= MAX_HANDSHAKE_BYTES => {
            Ok(bytes.to_vec())
        }
        Some(Ok(Message::Binary(bytes))) => {
            let bytes = bytes.len();
            Err(RefusedReason::Handshake(HandshakeError::TooLarge { bytes }))
        }
        Some(Ok(Message::Close(frame))) => {
            let text = frame.map(|f| f.reason.to_string()).unwrap_or_default();
            let reason = text.chars().take(MAX_REASON_CHARS).collect();
            Err(RefusedReason::Closed(reason))
        }
        Some(Ok(_)) => Err(RefusedReason::Failed("not a binary message".to_owned())),
        Some(Err(e)) => Err(RefusedReason::Failed(e.to_string())),
        None => Err(RefusedReason::Closed(String::new())),
    }
}

/// Closes a connection that did not become a link and sends the reason.
pub(crate) async fn close_with_reason(socket: &mut Socket, reason: &RefusedReason) {
    let reason: String = reason.to_string().chars().take(MAX_REASON_CHARS).collect();
    let frame = CloseFrame {
        code: CloseCode::Policy,
        reason: reason.into(),
    };
    let _ = socket.close(Some(frame)).await;
}
