//! The claims thread: passes claim requests to the claim writer and returns its replies.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crossbeam_channel::Receiver;
use crossbeam_channel::RecvTimeoutError;
use primrose_claim::Answer;
use primrose_claim::ClaimAction;
use primrose_claim::ClaimRequest;
use primrose_claim::ClaimResult;
use primrose_claim::ClaimWriter;
use primrose_claim::Reply;
use primrose_core::clock::Clock;
use primrose_core::id::Member;
use primrose_core::id::RequestId;
use primrose_front::broker::Ask;
use primrose_front::broker::BrokerReply;
use primrose_front::broker::ClaimName;
use primrose_front::broker::Inbox;
use primrose_front::broker::StoredAnswer;
use primrose_request::ClaimReply;
use primrose_request::Event;
use primrose_request::Settlement;
use primrose_store::store::Store;

/// Capacity of the input channel of the claims thread.
pub(crate) const QUEUE_CAPACITY: usize = 1024;
/// Maximum time between two steps of the claim writer.
const MAX_PAUSE: Duration = Duration::from_millis(200);
/// Minimum time between two steps of the claim writer, unless an input arrives.
const MIN_PAUSE: Duration = Duration::from_millis(1);

/// State of the claims thread.
pub(crate) struct ClaimThread {
    pub(crate) me: Member,
    pub(crate) writer: ClaimWriter,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) inboxes: HashMap<RequestId, Inbox>,
}

impl ClaimThread {
    /// Runs until the input channel is closed, then writes what is pending as far as possible.
    pub(crate) fn run(mut self, asks: &Receiver<Ask>) {
        loop {
            match asks.recv_timeout(self.pause()) {
                Ok(ask) => self.handle(ask),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            while let Ok(ask) = asks.try_recv() {
                self.handle(ask);
            }
            self.step();
        }
        self.finish();
    }

    fn pause(&self) -> Duration {
        let Some(wake) = self.writer.next_wake() else {
            return MAX_PAUSE;
        };
        wake.saturating_sub(self.clock.now())
            .clamp(MIN_PAUSE, MAX_PAUSE)
    }

    fn step(&mut self) {
        for reply in self.writer.step(&*self.store, &*self.clock) {
            self.reply(reply);
        }
    }

    /// Writes pending claims for as long as the service answers.
    fn finish(&mut self) {
        let left = self.writer.flush(&*self.store, &*self.clock);
        if left > 0 {
            log::error!(orders = left; "claims were left unwritten at shutdown");
        }
    }

    fn handle(&mut self, ask: Ask) {
        match ask {
            Ask::Claim { name, inbox } => {
                self.inboxes.insert(name.request, inbox);
                self.submit(&name, ClaimAction::Claim);
            }
            Ask::Release { name } => self.submit(&name, ClaimAction::Release),
            Ask::Settle {
                name,
                settlement,
                answer,
            } => self.submit(&name, action_of(settlement, answer)),
            other => log::error!("the claims thread received an unexpected request: {other:?}"),
        }
    }

    fn submit(&mut self, name: &ClaimName, action: ClaimAction) {
        let request = ClaimRequest {
            request: name.request,
            member: self.me.clone(),
            account: name.account.clone(),
            key: name.key.as_str().to_owned(),
            body: name.body,
            action,
        };
        if let Some(reply) = self.writer.submit(request, self.clock.now()) {
            self.reply(reply);
        }
    }

    fn reply(&mut self, reply: Reply) {
        let Some(inbox) = self.inboxes.remove(&reply.request) else {
            return;
        };
        // Fails if the request has ended; its lifecycle has then released the claim.
        let _ = inbox.try_send(claim_message(reply.result));
    }
}

fn action_of(settlement: Settlement, answer: Option<StoredAnswer>) -> ClaimAction {
    match (settlement, answer) {
        (Settlement::Done { status }, Some(answer)) => ClaimAction::Done {
            status,
            answer: match &answer.body {
                Some(body) => Answer::new(&answer.content_type, body),
                None => Answer::digest(&[]),
            },
        },
        (Settlement::Done { status }, None) => ClaimAction::Done {
            status,
            answer: Answer::digest(&[]),
        },
        (Settlement::Unknown, _) => ClaimAction::Unknown,
    }
}

fn claim_message(result: ClaimResult) -> BrokerReply {
    let reply = match result {
        ClaimResult::Made => ClaimReply::Made,
        ClaimResult::Done { status, answer } => {
            return BrokerReply::Stored(StoredAnswer {
                status,
                content_type: content_type(&answer),
                body: answer.body().map(Bytes::from),
            });
        }
        ClaimResult::Busy => ClaimReply::Busy,
        ClaimResult::Unknown => ClaimReply::Unknown,
        ClaimResult::NotRun => ClaimReply::NotRun,
        ClaimResult::Conflict => ClaimReply::Conflict,
        ClaimResult::Unavailable { retry_after } => ClaimReply::Unavailable { retry_after },
    };
    BrokerReply::Event(Event::Claim(reply))
}

fn content_type(answer: &Answer) -> String {
    match answer {
        Answer::Whole { content_type, .. } => content_type.clone(),
        Answer::Digest { .. } => String::new(),
    }
}
