//! Dials peers, again and again, for as long as they are wanted.

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
use crate::counted::Counted;
use crate::event::RefusedReason;
use crate::handshake::Dialing;
use crate::handshake::HandshakeError;
use crate::handshake::Session;
use crate::handshake::MAX_HANDSHAKE_BYTES;
use crate::registry::Admitted;
use crate::registry::Applicant;
use crate::relay::Relay;
use crate::shared::refuse;
use crate::shared::Shared;
use crate::stats::Counters;

/// How long a link must have held for the backoff to start anew.
const STABLE: Duration = Duration::from_secs(5);
/// How often a dialer that has nothing to do looks whether the link is still up.
const RECHECK: Duration = Duration::from_millis(500);
/// Longest reason that is read from a peer that closes, in characters.
const MAX_REASON_CHARS: usize = 120;

/// Whom to dial.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    /// The host, if it is known.
    pub(crate) host: Option<HostId>,
    /// Where it listens.
    pub(crate) addr: SocketAddr,
}

/// How one try ended.
enum Tried {
    /// The link came up and has ended since.
    Linked(Duration),
    /// No connection, or no link.
    Failed,
    /// The address is this router's own.
    Own,
}

/// Dials a target until the task is aborted or the target proves to be this router.
pub(crate) async fn dial_loop<M>(mut target: Target, shared: Arc<Shared>, events: Relay<M>)
where
    M: DeserializeOwned + Send + 'static,
{
    let mut backoff = Backoff::new(shared.limits.backoff);
    while !shared.is_stopping() {
        if target.host.as_ref().is_some_and(|h| shared.registry.has(h)) {
            let _ = timeout(RECHECK, shared.registry.changed()).await;
            continue;
        }
        match try_once(&mut target, &shared, &events).await {
            Tried::Own => return,
            Tried::Linked(held) if held >= STABLE => backoff.reset(),
            Tried::Linked(_) | Tried::Failed => {}
        }
        let delay = backoff.next_delay(&mut rand::rng());
        sleep(delay).await;
    }
}

/// Connects once and runs the link until it ends.
async fn try_once<M: DeserializeOwned>(
    target: &mut Target,
    shared: &Shared,
    events: &Relay<M>,
) -> Tried {
    let counters = Arc::new(Counters::default());
    let opened = open(target, shared, Arc::clone(&counters));
    let reason = match timeout(shared.limits.handshake, opened).await {
        Ok(Ok((socket, session, admitted))) => {
            let start = Instant::now();
            let connection = Connection {
                shared,
                events,
                counters: &counters,
                admitted,
            };
            connection.run(socket, session).await;
            return Tried::Linked(start.elapsed());
        }
        Ok(Err(reason)) => reason,
        Err(_) => RefusedReason::Timeout,
    };
    let addr = target.addr;
    match reason {
        // A seed may name this router itself, since all hosts share the settings.
        RefusedReason::Handshake(HandshakeError::OwnName) if target.host.is_none() => Tried::Own,
        RefusedReason::Timeout | RefusedReason::Failed(_) => {
            debug!(peer:% = addr; "failed to reach a peer: {reason}");
            Tried::Failed
        }
        reason => {
            refuse(shared, events, addr, reason);
            Tried::Failed
        }
    }
}

/// Opens a connection, authenticates it and makes it a link.
async fn open(
    target: &mut Target,
    shared: &Shared,
    counters: Arc<Counters>,
) -> Result<(Socket, Session, Admitted), RefusedReason> {
    if target.host.as_ref().is_some_and(|h| shared.blocks.host(h)) {
        std::future::pending::<()>().await;
    }
    let failed = |e: std::io::Error| RefusedReason::Failed(e.to_string());
    let stream = TcpStream::connect(target.addr).await.map_err(failed)?;
    let counted = Counted::new(stream, Arc::clone(&counters), Arc::clone(&shared.total));
    counted.set_nodelay().map_err(failed)?;
    let url = format!("ws://{}/", target.addr);
    let config = Some(shared.socket_config());
    let upgraded = client_async_with_config(url, counted, config).await;
    let (mut socket, _) = upgraded.map_err(|e| RefusedReason::Failed(e.to_string()))?;
    match authenticate(&mut socket, target, shared, counters).await {
        Ok((session, admitted)) => Ok((socket, session, admitted)),
        Err(reason) => {
            close_with(&mut socket, &reason).await;
            Err(reason)
        }
    }
}

/// Exchanges the handshake messages and makes the connection a link.
async fn authenticate(
    socket: &mut Socket,
    target: &mut Target,
    shared: &Shared,
    counters: Arc<Counters>,
) -> Result<(Session, Admitted), RefusedReason> {
    let dialing = Dialing::new(shared.me.clone(), target.host.clone(), shared.nonce());
    send(socket, dialing.first_message()).await?;
    let answer = receive(socket).await?;
    let (last, mut session) = dialing
        .finish(&answer, &shared.keys)
        .map_err(RefusedReason::Handshake)?;
    if shared.blocks.peer(&session.peer) {
        std::future::pending::<()>().await;
    }
    target.host = Some(session.peer.member.host.clone());
    send(socket, last).await?;
    let first = receive(socket).await?;
    session
        .opener
        .open(&first)
        .map_err(|e| RefusedReason::Failed(e.to_string()))?;
    let applicant = Applicant {
        peer: session.peer.clone(),
        dialed: true,
        counters,
    };
    let admitted = shared.registry.admit(applicant)?;
    Ok((session, admitted))
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
            let said = frame.map(|f| f.reason.to_string()).unwrap_or_default();
            let reason = said.chars().take(MAX_REASON_CHARS).collect();
            Err(RefusedReason::Closed(reason))
        }
        Some(Ok(_)) => Err(RefusedReason::Failed("not a binary message".to_owned())),
        Some(Err(e)) => Err(RefusedReason::Failed(e.to_string())),
        None => Err(RefusedReason::Closed(String::new())),
    }
}

/// Closes a connection that did not become a link, with the reason.
pub(crate) async fn close_with(socket: &mut Socket, reason: &RefusedReason) {
    let reason: String = reason.to_string().chars().take(MAX_REASON_CHARS).collect();
    let frame = CloseFrame {
        code: CloseCode::Policy,
        reason: reason.into(),
    };
    let _ = socket.close(Some(frame)).await;
}
