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
use crate::counted::Counted;
use crate::dial::close_with;
use crate::dial::receive;
use crate::dial::send;
use crate::event::RefusedReason;
use crate::handshake::Accepting;
use crate::handshake::Session;
use crate::registry::Admitted;
use crate::registry::Applicant;
use crate::relay::Relay;
use crate::shared::refuse;
use crate::shared::Shared;
use crate::stats::Counters;

/// Pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections for as long as the endpoint runs.
pub(crate) async fn accept_loop<M>(listener: TcpListener, shared: Arc<Shared>, events: Relay<M>)
where
    M: DeserializeOwned + Send + 'static,
{
    let pending = Arc::new(Semaphore::new(shared.limits.pending));
    loop {
        let (stream, addr) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                warn!("failed to accept a peer connection: {e}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Beyond the limit the connection is dropped at once; genuine peers try again.
        let Ok(permit) = Arc::clone(&pending).try_acquire_owned() else {
            continue;
        };
        let shared = Arc::clone(&shared);
        let events = events.clone();
        tokio::spawn(async move { serve(stream, addr, &shared, &events, permit).await });
    }
}

/// Authenticates one connection and runs it as a link.
async fn serve<M: DeserializeOwned>(
    stream: TcpStream,
    addr: SocketAddr,
    shared: &Shared,
    events: &Relay<M>,
    permit: OwnedSemaphorePermit,
) {
    let counters = Arc::new(Counters::default());
    let counted = Counted::new(stream, Arc::clone(&counters), Arc::clone(&shared.total));
    let greeted = timeout(
        shared.limits.handshake,
        greet(counted, shared, Arc::clone(&counters)),
    );
    match greeted.await {
        Ok(Ok((socket, session, admitted))) => {
            drop(permit);
            let connection = Connection {
                shared,
                events,
                counters: &counters,
                admitted,
            };
            connection.run(socket, session).await;
        }
        Ok(Err(reason)) => refuse(shared, events, addr, reason),
        Err(_) => refuse(shared, events, addr, RefusedReason::Timeout),
    }
}

/// Runs the accepting side of the handshake.
async fn greet(
    stream: Counted,
    shared: &Shared,
    counters: Arc<Counters>,
) -> Result<(Socket, Session, Admitted), RefusedReason> {
    stream
        .set_nodelay()
        .map_err(|e| RefusedReason::Failed(e.to_string()))?;
    let config = Some(shared.socket_config());
    let upgraded = accept_async_with_config(stream, config).await;
    let mut socket = upgraded.map_err(|e| RefusedReason::Failed(e.to_string()))?;
    match authenticate(&mut socket, shared, counters).await {
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
    shared: &Shared,
    counters: Arc<Counters>,
) -> Result<(Session, Admitted), RefusedReason> {
    let first = receive(socket).await?;
    let accepting = Accepting::new(shared.me.clone(), shared.nonce(), &first)
        .map_err(RefusedReason::Handshake)?;
    if shared.blocks.peer(accepting.claimed()) {
        // As in a partition, the peer hears nothing; the handshake timeout ends the wait.
        std::future::pending::<()>().await;
    }
    send(socket, accepting.answer(&shared.keys)).await?;
    let last = receive(socket).await?;
    let mut session = accepting
        .finish(&last, &shared.keys)
        .map_err(RefusedReason::Handshake)?;
    let applicant = Applicant {
        peer: session.peer.clone(),
        dialed: false,
        counters,
    };
    let admitted = shared.registry.admit(applicant)?;
    // An empty first frame tells the dialing side that it was admitted.
    let frame = session.sealer.seal(&[]);
    send(socket, frame).await?;
    Ok((session, admitted))
}
