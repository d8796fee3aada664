//! One stream inside the engine: its events so far and who follows them.

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::chat;
use super::chat::ChatRequest;
use super::chat::Completion;
use super::chat::Header;
use super::chat::PromptDetails;
use super::chat::Usage;
use crate::http::Piece;

/// Sends a stream's events to one connection.
pub(crate) type Follower = mpsc::UnboundedSender<Piece>;

/// One stream inside the engine.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) attempt: String,
    pub(crate) words: Vec<String>,
    /// Index of the run in the record.
    pub(crate) run: usize,
    /// When the prompt has been read; set when the stream begins to run.
    pub(crate) ready: Option<Instant>,
    /// Since when nobody follows.
    pub(crate) detached: Option<Instant>,
    /// When the last token was generated.
    pub(crate) finished: Option<Instant>,
    /// Whether it crashes the engine when it begins to run.
    pub(crate) marked: bool,
    /// Input tokens that the cache held.
    pub(crate) cached: u64,
    /// Cuts the followers after this many events.
    pub(crate) cut_after: Option<u64>,
    model: String,
    tag: u16,
    length: u64,
    produced: u64,
    events: Vec<Bytes>,
    followers: Vec<Follower>,
}

impl Stream {
    pub(crate) fn new(attempt: String, request: &ChatRequest, tokens: u64, run: usize) -> Self {
        Self {
            attempt,
            words: request.words(),
            run,
            ready: None,
            detached: None,
            finished: None,
            marked: false,
            cached: 0,
            cut_after: None,
            model: request.model.clone(),
            tag: request.tag(),
            length: request.length(tokens),
            produced: 0,
            events: Vec::new(),
            followers: Vec::new(),
        }
    }

    pub(crate) fn produced(&self) -> u64 {
        self.produced
    }

    pub(crate) fn is_finished(&self) -> bool {
        self.finished.is_some()
    }

    /// Sends a connection everything after the given event, and what is still to come.
    pub(crate) fn follow(&mut self, follower: Follower, after: u64) {
        let skip = usize::try_from(after).unwrap_or(usize::MAX);
        for event in self.events.iter().skip(skip) {
            // A connection that is already gone is noticed by the next purge.
            let _ = follower.send(Piece::Data(event.clone()));
        }
        if self.is_finished() {
            let done = Bytes::from_static(chat::DONE_EVENT);
            let _ = follower.send(Piece::Data(done));
            return;
        }
        self.detached = None;
        self.followers.push(follower);
    }

    /// Tells whether a connection still follows; takes note of the moment when the last one went.
    pub(crate) fn is_followed(&mut self, now: Instant) -> bool {
        self.followers.retain(|follower| !follower.is_closed());
        if self.followers.is_empty() {
            self.detached.get_or_insert(now);
        }
        !self.followers.is_empty()
    }

    /// Generates one token.
    pub(crate) fn generate(&mut self, now: Instant) {
        self.produced += 1;
        let last = self.produced == self.length;
        let text = chat::token(self.tag, self.produced);
        let event = chat::token_event(self.header(), self.next_id(), &text, last);
        self.publish(event);
        if last {
            let usage = chat::usage_event(self.header(), self.next_id(), self.usage());
            self.publish(usage);
            self.send(&Bytes::from_static(chat::DONE_EVENT));
            self.finished = Some(now);
            self.followers.clear();
        }
    }

    /// Cuts every connection that follows.
    pub(crate) fn cut(&mut self) {
        for follower in self.followers.drain(..) {
            let _ = follower.send(Piece::Cut);
        }
    }

    /// Returns the whole answer so far.
    pub(crate) fn completion(&self) -> Completion {
        let tokens = 1..=self.produced;
        let content = tokens.map(|number| chat::token(self.tag, number)).collect();
        Completion {
            id: self.attempt.clone(),
            object: "chat.completion",
            model: self.model.clone(),
            choices: vec![chat::Choice {
                index: 0,
                message: chat::Answer {
                    role: "assistant",
                    content,
                },
                finish_reason: "stop",
            }],
            usage: self.usage(),
        }
    }

    fn header(&self) -> Header<'_> {
        Header {
            attempt: &self.attempt,
            model: &self.model,
        }
    }

    fn next_id(&self) -> u64 {
        self.events.len() as u64 + 1
    }

    fn usage(&self) -> Usage {
        let prompt = self.words.len() as u64;
        Usage {
            prompt_tokens: prompt,
            completion_tokens: self.produced,
            total_tokens: prompt + self.produced,
            prompt_tokens_details: PromptDetails {
                cached_tokens: self.cached,
            },
        }
    }

    fn publish(&mut self, event: Bytes) {
        self.send(&event);
        self.events.push(event);
        if self.cut_after == Some(self.events.len() as u64) {
            self.cut();
        }
    }

    fn send(&mut self, event: &Bytes) {
        let sent = |follower: &Follower| follower.send(Piece::Data(event.clone())).is_ok();
        self.followers.retain(sent);
    }
}
