//! One established link: a writer and a reader over the same connection.

use std::time::Duration;

use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use futures_util::SinkExt;
use futures_util::StreamExt;
use primrose_core::id::Member;
use serde::de::DeserializeOwned;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::WebSocketStream;

use crate::codec::decode_all;
use crate::counting_stream::CountingStream;
use crate::event::DownReason;
use crate::event::LinkEvent;
use crate::frame::Opener;
use crate::frame::Sealer;
use crate::handshake::Identity;
use crate::handshake::Session;
use crate::queue::Batch;
use crate::registry::LinkGuard;
use crate::relay::EventSender;
use crate::shared::Shared;
use crate::stats::add;
use crate::stats::Counters;

/// A WebSocket over a byte-counting stream.
pub(crate) type Socket = WebSocketStream<CountingStream>;

/// Timeout for the WebSocket close handshake.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// An established link and the state it uses.
pub(crate) struct Connection<'a, M> {
    pub(crate) shared: &'a Shared,
    pub(crate) events: &'a EventSender<M>,
    pub(crate) counters: &'a Counters,
    pub(crate) guard: LinkGuard,
}

impl<M: DeserializeOwned> Connection<'_, M> {
    /// Transfers messages in both directions until the link ends, then records its end.
    pub(crate) async fn run(&self, socket: Socket, session: Session) {
        let (mut sink, mut stream) = socket.split();
        let peer = session.peer;
        let mut sealer = session.sealer;
        let reason = tokio::select! {
            reason = self.write(&peer, &mut sink, &mut sealer) => Some(reason),
            reason = self.read(&peer, &mut stream, session.opener) => Some(reason),
            () = self.guard.closing.notified() => None,
        };
        if reason.is_none() && self.shared.is_stopping() {
            self.flush(&mut sink, &mut sealer).await;
        }
        let _ = timeout(CLOSE_TIMEOUT, sink.close()).await;
        if let Some(reason) = reason {
            let host = &peer.member.host;
            self.shared
                .registry
                .connection_ended(host, self.guard.connection_id, reason);
        }
    }

    /// Writes queued messages, or keepalives while the queue is empty.
    async fn write(
        &self,
        peer: &Identity,
        sink: &mut SplitSink<Socket, Message>,
        sealer: &mut Sealer,
    ) -> DownReason {
        let queue = &self.guard.queue;
        let keepalive = self.shared.limits.keepalive_interval;
        loop {
            let mut batch = queue.take();
            if batch.messages == 0 && timeout(keepalive, queue.wait_for_message()).await.is_ok() {
                batch = queue.take();
            }
            if self.shared.block_list.is_peer_blocked(peer) {
                continue;
            }
            match self.write_batch(sink, sealer, batch).await {
                Ok(()) => {}
                Err(DownReason::Slow) => return DownReason::Slow,
                Err(reason) => {
                    // The peer may have sent messages before the connection failed. Wait so that
                    // the reader can deliver them; it ends the link at the end of the stream.
                    sleep(self.shared.limits.idle_timeout).await;
                    return reason;
                }
            }
        }
    }

    /// Writes one frame.
    async fn write_batch(
        &self,
        sink: &mut SplitSink<Socket, Message>,
        sealer: &mut Sealer,
        batch: Batch,
    ) -> Result<(), DownReason> {
        let frame = Message::binary(sealer.seal(&batch.payload));
        match timeout(self.shared.limits.write_timeout, sink.send(frame)).await {
            Err(_) => return Err(DownReason::Slow),
            Ok(Err(e)) => return Err(DownReason::Failed(e.to_string())),
            Ok(Ok(())) => {}
        }
        for counters in [self.counters, &self.shared.total] {
            add(&counters.frames_out, 1);
            add(&counters.messages_out, batch.messages);
        }
        Ok(())
    }

    /// Writes the queued messages before the endpoint stops.
    async fn flush(&self, sink: &mut SplitSink<Socket, Message>, sealer: &mut Sealer) {
        loop {
            let batch = self.guard.queue.take();
            if batch.messages == 0 {
                return;
            }
            if self.write_batch(sink, sealer, batch).await.is_err() {
                return;
            }
        }
    }

    /// Reads frames and delivers their messages.
    async fn read(
        &self,
        peer: &Identity,
        stream: &mut SplitStream<Socket>,
        mut opener: Opener,
    ) -> DownReason {
        let mut idle_timer = IdleTimer::new(self.shared.limits.idle_timeout);
        loop {
            let frame = match timeout(idle_timer.remaining(), stream.next()).await {
                Err(_) => return DownReason::Silent,
                Ok(None | Some(Ok(Message::Close(_)))) => return DownReason::Closed,
                Ok(Some(Err(e))) => return DownReason::Failed(e.to_string()),
                Ok(Some(Ok(Message::Binary(frame)))) => frame,
                Ok(Some(Ok(_))) => continue,
            };
            let payload = match opener.open(&frame) {
                Ok(payload) => payload,
                Err(e) => return DownReason::Frame(e),
            };
            if self.shared.block_list.is_peer_blocked(peer) {
                continue;
            }
            let messages = match decode_all(payload) {
                Ok(messages) => messages,
                Err(e) => return DownReason::Codec(e),
            };
            self.deliver(&peer.member, messages).await;
            idle_timer.reset();
        }
    }

    /// Sends messages to the event channel; waits while it is full.
    async fn deliver(&self, from: &Member, messages: Vec<M>) {
        for counters in [self.counters, &self.shared.total] {
            add(&counters.frames_in, 1);
            add(&counters.messages_in, messages.len());
        }
        for message in messages {
            let Some(permit) = self.events.reserve().await else {
                return;
            };
            if !self.shared.registry.is_current(from) {
                return;
            }
            let from = from.clone();
            let event = LinkEvent::Message { from, message };
            self.events.send_message(event, permit);
        }
    }
}

/// Tracks how long nothing has been received from a peer.
struct IdleTimer {
    limit: Duration,
    since: tokio::time::Instant,
}

impl IdleTimer {
    /// Creates a timer that starts now.
    fn new(limit: Duration) -> Self {
        let since = tokio::time::Instant::now();
        Self { limit, since }
    }

    /// Restarts the timer after a frame was handled.
    fn reset(&mut self) {
        self.since = tokio::time::Instant::now();
    }

    /// Returns the time left before the limit.
    fn remaining(&self) -> Duration {
        self.limit.saturating_sub(self.since.elapsed())
    }
}
