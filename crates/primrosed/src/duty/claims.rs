//! The claims thread: feeds the claim writer and carries its replies to the requests.

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
use primrose_front::broker::ClaimName;
use primrose_front::broker::Inbox;
use primrose_front::broker::StoredAnswer;
use primrose_front::broker::Told;
use primrose_request::ClaimReply;
use primrose_request::Event;
use primrose_request::Settlement;
use primrose_store::store::Store;

/// Asks that may wait for the claims thread.
pub(crate) const RING: usize = 1024;
/// Longest sleep when nothing waits.
const IDLE: Duration = Duration::from_millis(200);
/// Shortest sleep while something waits.
const PAUSE: Duration = Duration::from_millis(1);

/// The claims duty of one router.
pub(crate) struct Claims {
    pub(crate) me: Member,
    pub(crate) desk: ClaimWriter,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) inboxes: HashMap<RequestId, Inbox>,
}

impl Claims {
    /// Runs until the ring is closed and everything is written, or writing has become hopeless.
    pub(crate) fn run(mut self, ring: &Receiver<Ask>) {
        loop {
            match ring.recv_timeout(self.pause()) {
                Ok(ask) => self.take(ask),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            while let Ok(ask) = ring.try_recv() {
                self.take(ask);
            }
            self.step();
        }
        self.finish();
    }

    fn pause(&self) -> Duration {
        let Some(wake) = self.desk.next_wake() else {
            return IDLE;
        };
        wake.saturating_sub(self.clock.now()).clamp(PAUSE, IDLE)
    }

    fn step(&mut self) {
        for reply in self.desk.step(&*self.store, &*self.clock) {
            self.reply(reply);
        }
    }

    /// Writes what still waits, as long as the service answers.
    fn finish(&mut self) {
        let left = self.desk.flush(&*self.store, &*self.clock);
        if left > 0 {
            log::error!(orders = left; "claims were left unwritten at shutdown");
        }
    }

    fn take(&mut self, ask: Ask) {
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
            other => log::error!("the claims thread was asked something else: {other:?}"),
        }
    }

    fn submit(&mut self, name: &ClaimName, action: ClaimAction) {
        let order = ClaimRequest {
            request: name.request,
            member: self.me.clone(),
            account: name.account.clone(),
            key: name.key.as_str().to_owned(),
            body: name.body,
            action,
        };
        if let Some(reply) = self.desk.submit(order, self.clock.now()) {
            self.reply(reply);
        }
    }

    fn reply(&mut self, reply: Reply) {
        let Some(inbox) = self.inboxes.remove(&reply.request) else {
            return;
        };
        // A request that has ended needs no answer; its lifecycle has released the claim.
        let _ = inbox.try_send(told(reply.result));
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

fn told(result: ClaimResult) -> Told {
    let reply = match result {
        ClaimResult::Made => ClaimReply::Made,
        ClaimResult::Done { status, answer } => {
            return Told::Stored(StoredAnswer {
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
    Told::Event(Event::Claim(reply))
}

fn content_type(answer: &Answer) -> String {
    match answer {
        Answer::Whole { content_type, .. } => content_type.clone(),
        Answer::Digest { .. } => String::new(),
    }
}
