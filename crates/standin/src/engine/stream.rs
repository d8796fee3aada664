//! One stream of the engine: its events so far and the connections that receive them.

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
pub(crate) type Subscriber = mpsc::UnboundedSender<Piece>;

/// One admitted request, with its events and their subscribers.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) attempt: String,
    pub(crate) words: Vec<String>,
    /// Index of the run in the record.
    pub(crate) run: usize,
    /// When the prompt is processed; set when the stream starts to run.
    pub(crate) ready: Option<Instant>,
    /// Since when there has been no subscriber.
    pub(crate) detached: Option<Instant>,
    /// When the last token was generated.
    pub(crate) finished: Option<Instant>,
    /// Whether it crashes the engine at the first step in which it runs.
    pub(crate) crashes_engine: bool,
    /// Input tokens that were cached when the stream started to run.
    pub(crate) cached: u64,
    /// Number of events after which all connections are cut.
    pub(crate) cut_after: Option<u64>,
    model: String,
    tag: u16,
    length: u64,
    produced: u64,
    events: Vec<Bytes>,
    subscribers: Vec<Subscriber>,
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
            crashes_engine: false,
            cached: 0,
            cut_after: None,
            model: request.model.clone(),
            tag: request.tag(),
            length: request.length(tokens),
            produced: 0,
            events: Vec::new(),
            subscribers: Vec::new(),
        }
    }

    pub(crate) fn produced(&self) -> u64 {
        self.produced
    }

    pub(crate) fn is_finished(&self) -> bool {
        self.finished.is_some()
    }

    /// Sends all events after number `after` to a connection, and every later event as it is generated.
    pub(crate) fn subscribe(&mut self, subscriber: Subscriber, after: u64) {
        let skip = usize::try_from(after).unwrap_or(usize::MAX);
        for event in self.events.iter().skip(skip) {
            // The next purge detects a closed connection.
            let _ = subscriber.send(Piece::Data(event.clone()));
        }
        if self.is_finished() {
            let done = Bytes::from_static(chat::DONE_EVENT);
            let _ = subscriber.send(Piece::Data(done));
            return;
        }
        self.detached = None;
        self.subscribers.push(subscriber);
    }

    /// Returns whether any connection is subscribed; records `now` as the detach time if none is left.
    pub(crate) fn has_subscribers(&mut self, now: Instant) -> bool {
        self.subscribers
            .retain(|subscriber| !subscriber.is_closed());
        if self.subscribers.is_empty() {
            self.detached.get_or_insert(now);
        }
        !self.subscribers.is_empty()
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
            self.subscribers.clear();
        }
    }

    /// Cuts every subscribed connection.
    pub(crate) fn cut_connections(&mut self) {
        for subscriber in self.subscribers.drain(..) {
            let _ = subscriber.send(Piece::Cut);
        }
    }

    /// Returns the completion with the tokens generated so far.
    pub(crate) fn completion(&self) -> Completion {
        let tokens = 1..=self.produced;
        let content = tokens.map(|number| chat::token(self.tag, number)).collect();
        Completion {
            id: self.attempt.clone(),
            object: "chat.completion",
            model: self.model.clone(),
            choices: vec![chat::Choice {
                index: 0,
                message: chat::AnswerMessage {
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
            self.cut_connections();
        }
    }

    fn send(&mut self, event: &Bytes) {
        let is_open = |subscriber: &Subscriber| subscriber.send(Piece::Data(event.clone())).is_ok();
        self.subscribers.retain(is_open);
    }
}
