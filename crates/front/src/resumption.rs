//! Resumes a stream that another router started, for a caller that reconnects through this one.
//!
//! The engine numbers its events: the caller states the last one it received and gets the remainder
//! without gap or repeat. Nothing is queued, because the run still holds the slot that it was
//! granted; the dispatcher counts that slot as used until the server reports it free.

use std::sync::Arc;

use http::HeaderMap;
use primrose_core::id::RequestId;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;
use primrose_request::ConnEvent;
use primrose_request::ConnId;
use primrose_request::Seq;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::attempt;
use crate::attempt::Call;
use crate::attempt::ConnUpdate;
use crate::attempt::Payload;
use crate::attempt::EVENT_STREAM;
use crate::buffer;
use crate::caller::Caller;
use crate::caller::Head;
use crate::reply;
use crate::reply::Failure;
use crate::resume_token::ResumeToken;
use crate::shared::Shared;

/// Capacity of the channel of connection updates.
const UPDATE_CAPACITY: usize = 16;

/// A stream being resumed.
pub(crate) struct Resumption {
    pub(crate) id: RequestId,
    pub(crate) token: ResumeToken,
    /// Number of the last event that the caller received.
    pub(crate) after: Seq,
    pub(crate) shared: Arc<Shared>,
    pub(crate) caller: Caller,
}

impl Resumption {
    /// Forwards the remainder of the stream.
    pub(crate) async fn run(mut self) {
        let (update_sender, mut updates) = mpsc::channel(UPDATE_CAPACITY);
        let (_start_sending, start_signal) = oneshot::channel();
        let connections = Arc::clone(&self.shared.connections);
        let task = tokio::spawn(attempt::run(
            self.call(),
            connections,
            update_sender,
            start_signal,
        ));
        loop {
            let update = tokio::select! {
                update = updates.recv() => update,
                () = self.caller.closed() => None,
            };
            let more = match update {
                Some(update) => self.handle_update(update).await,
                None => false,
            };
            if !more {
                break;
            }
        }
        task.abort();
    }

    fn call(&self) -> Call {
        let conn = ConnId {
            attempt: self.token.attempt,
            number: 1,
        };
        Call {
            conn,
            addr: self.token.addr,
            method: http::Method::GET,
            path: crate::job::stream_path(conn, self.after),
            headers: HeaderMap::new(),
            body: bytes::Bytes::new(),
            resume: true,
            new_connection: false,
            idle_timeout: self.shared.limits.idle_timeout,
        }
    }

    /// Forwards one update to the caller; returns `false` once the answer has ended.
    async fn handle_update(&mut self, update: ConnUpdate) -> bool {
        let limit = self.shared.limits.write_timeout;
        match (update.event, update.payload) {
            (ConnEvent::Resumed, _) => {
                let head = Head {
                    status: http::StatusCode::OK.as_u16(),
                    media_type: EVENT_STREAM.to_owned(),
                };
                self.caller.start_stream(self.id, &head, None);
                true
            }
            (ConnEvent::Item { .. }, Payload::Event(data)) => {
                let part = buffer::render_event(update.event, &data);
                let part = buffer::in_window(part, update.room);
                self.caller.send_part(part, limit).await
            }
            (ConnEvent::BodyEnd, _) => {
                self.caller.send_part(buffer::stream_end(), limit).await;
                self.caller.end_stream(limit).await;
                false
            }
            (ConnEvent::Connected | ConnEvent::Head { .. }, _) => true,
            _ => {
                self.fail().await;
                false
            }
        }
    }

    /// Reports that the remainder is unavailable; whether the run completed is unknown.
    async fn fail(&mut self) {
        let failure = Failure::new(Outcome::Unknown, ErrorCode::ServerLost, None);
        if let Caller::Waiting(_) = self.caller {
            self.caller.answer(reply::error(self.id, &failure));
            return;
        }
        let limit = self.shared.limits.write_timeout;
        let event = buffer::stream_error(&reply::error_json(self.id, &failure));
        self.caller.send_part(event, limit).await;
        self.caller.end_stream(limit).await;
    }
}
