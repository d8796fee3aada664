//! A world around one request that judges what the machine does by what servers could have run.
//!
//! The world plays the claims desk, the dispatcher, the servers and the caller. It keeps its own
//! record of what was sent and shown; it never asks the machine.

use std::collections::BTreeMap;

use primrose_core::id::AttemptId;
use primrose_core::id::ServerId;
use primrose_core::outcome::Outcome;
use primrose_request::Action;
use primrose_request::ClaimReply;
use primrose_request::ConnEvent;
use primrose_request::ConnId;
use primrose_request::Event;
use primrose_request::FailureStage;
use primrose_request::FinalResult;
use primrose_request::Grant;
use primrose_request::Lifecycle;
use primrose_request::ResponsePart;
use primrose_request::Seq;
use primrose_request::Settlement;
use primrose_request::Spec;

use crate::NOW;

/// What a server did with one attempt.
#[derive(Debug, Clone, Default)]
pub(crate) struct Attempt {
    /// Whether the request was sent to it.
    pub(crate) sent: bool,
    /// Whether it surely did not run it.
    pub(crate) refused: bool,
    /// Whether a connection broke, after which a refusal comes too late to be known.
    pub(crate) broken: bool,
    /// Whether it answered.
    pub(crate) answered: bool,
    /// Whether a connection told that its answer came to an end.
    pub(crate) ended: bool,
    /// Items that the answer has, as far as it was told.
    pub(crate) items: Seq,
}

impl Attempt {
    /// Whether the server may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.sent && !self.refused
    }

    /// Whether a router cannot know that the server did not run the request.
    fn seems_run(&self) -> bool {
        self.sent && (self.broken || !self.refused)
    }
}

/// The surroundings of one request and their record.
pub(crate) struct World {
    pub(crate) life: Lifecycle,
    pub(crate) spec: Spec,
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    pub(crate) conns: Vec<ConnId>,
    pub(crate) queued: Vec<AttemptId>,
    pub(crate) grants: BTreeMap<(AttemptId, ServerId), u32>,
    pub(crate) verdicts: Vec<FinalResult>,
    claim_asked: bool,
    pub(crate) claim_held: bool,
    pub(crate) released: bool,
    pub(crate) settled: Vec<Settlement>,
    /// Items that the caller has seen, each with the attempt that brought it.
    pub(crate) shown: Vec<(AttemptId, Seq)>,
    held: Vec<(AttemptId, Seq)>,
    pub(crate) heads: u32,
    pub(crate) faults: Vec<String>,
}

impl World {
    pub(crate) fn new(spec: Spec) -> Self {
        Self {
            life: Lifecycle::new(spec.clone()),
            spec,
            attempts: BTreeMap::new(),
            conns: Vec::new(),
            queued: Vec::new(),
            grants: BTreeMap::new(),
            verdicts: Vec::new(),
            claim_asked: false,
            claim_held: false,
            released: false,
            settled: Vec::new(),
            shown: Vec::new(),
            held: Vec::new(),
            heads: 0,
            faults: Vec::new(),
        }
    }

    /// Feeds one event and records what the machine does.
    pub(crate) fn feed(&mut self, event: Event) -> Vec<Action> {
        match &event {
            Event::Claim(reply) => self.claimed(*reply),
            Event::Granted(grant) => {
                let key = (grant.attempt, grant.server.clone());
                self.grants.entry(key).or_default();
            }
            Event::Conn { conn, event } => self.note(*conn, *event),
            _ => {}
        }
        let actions = self.life.handle(event.clone(), NOW);
        for action in &actions {
            self.record(&event, action);
        }
        actions
    }

    /// The desk's first answer to a claim is the true one; any other was doubled or crossed.
    fn claimed(&mut self, reply: ClaimReply) {
        self.claim_held |= self.claim_asked && reply == ClaimReply::Made;
        self.claim_asked = false;
    }

    /// Records what an event says about the server.
    fn note(&mut self, conn: ConnId, event: ConnEvent) {
        let attempt = self.attempts.entry(conn.attempt).or_default();
        match event {
            ConnEvent::Head { .. } => attempt.answered = true,
            ConnEvent::Failed(FailureStage::AfterSend)
            | ConnEvent::ResumeRefused
            | ConnEvent::ServerLost => attempt.broken = true,
            ConnEvent::BodyEnd => attempt.ended = true,
            ConnEvent::Item { seq } => attempt.items = attempt.items.max(seq),
            ConnEvent::Failed(FailureStage::BeforeSend | FailureStage::RefusedNotRun)
                if !attempt.answered =>
            {
                attempt.refused = true;
            }
            _ => {}
        }
    }

    fn record(&mut self, event: &Event, action: &Action) {
        match action {
            Action::Enqueue { attempt, .. } => self.queued.push(*attempt),
            Action::Open { conn, .. }
            | Action::Resume { conn, .. }
            | Action::Probe { conn, .. } => self.conns.push(*conn),
            Action::Send { conn } => self.send(*conn),
            Action::Claim => self.claim_asked = true,
            Action::ReleaseClaim => self.released = true,
            Action::Settle(settlement) => self.settled.push(*settlement),
            Action::Report {
                attempt, server, ..
            } => *self.grants.entry((*attempt, server.clone())).or_default() += 1,
            Action::Finish(verdict) => self.told(*verdict),
            Action::Hold { seq } => self.item(event, *seq, false),
            Action::DropHeld => self.held.clear(),
            Action::Forward(part) => self.forward(event, *part),
            _ => {}
        }
    }

    /// Judges a verdict by what was known when it was given.
    fn told(&mut self, verdict: FinalResult) {
        let ran = self.attempts.values().any(Attempt::seems_run);
        let own = self.claim_held || !self.spec.needs_claim();
        if verdict.outcome == Outcome::Unknown && own && !ran {
            self.fault("told unknown, but it surely did not run");
        }
        if verdict.outcome == Outcome::Done && own && !self.attempts.values().any(|a| a.ended) {
            self.fault("told done without the end of an answer");
        }
        self.verdicts.push(verdict);
    }

    fn send(&mut self, conn: ConnId) {
        if self.spec.needs_claim() && (!self.claim_held || self.released) {
            self.fault("sent without a claim");
        }
        let attempt = self.attempts.entry(conn.attempt).or_default();
        if attempt.sent {
            self.faults.push("sent an attempt twice".to_owned());
        }
        self.attempts.entry(conn.attempt).or_default().sent = true;
    }

    fn forward(&mut self, event: &Event, part: ResponsePart) {
        if !self.verdicts.is_empty() {
            self.fault("forwarded after the end");
        }
        match part {
            ResponsePart::Head { .. } => self.heads += 1,
            ResponsePart::Item { seq } => self.item(event, seq, true),
            ResponsePart::Held => self.shown.append(&mut self.held),
            ResponsePart::Stored => {}
        }
    }

    fn item(&mut self, event: &Event, number: Seq, show: bool) {
        let Event::Conn {
            conn,
            event: ConnEvent::Item { seq },
        } = event
        else {
            return self.fault("passed on an item that did not arrive");
        };
        if *seq != number {
            self.fault("passed on another item than the one that arrived");
        }
        let list = if show {
            &mut self.shown
        } else {
            &mut self.held
        };
        list.push((conn.attempt, number));
    }

    fn fault(&mut self, text: &str) {
        self.faults.push(text.to_owned());
    }

    /// The attempt that was registered last, unless it has been granted.
    pub(crate) fn waiting(&self) -> Option<AttemptId> {
        let last = self.queued.last().copied()?;
        let granted = self.grants.keys().any(|key| key.0 == last);
        Some(last).filter(|_| !granted)
    }

    /// Grants an attempt a slot on a server.
    pub(crate) fn grant(&mut self, attempt: AttemptId, server: &str) -> Vec<Action> {
        self.feed(Event::Granted(Grant {
            attempt,
            server: server.to_owned(),
            addr: "127.0.0.1:9000"
                .parse()
                .expect("the address is well formed"),
            valid_until: NOW,
        }))
    }

    /// Checks everything that must hold when nothing more comes.
    pub(crate) fn check_end(&mut self) {
        if self.verdicts.len() != 1 {
            self.fault("the answer was not ended exactly once");
        }
        if !self.life.is_over() {
            self.fault("the request is not over");
        }
        for ((attempt, server), reports) in self.grants.clone() {
            if reports != 1 {
                self.fault(&format!("{reports} reports of {attempt} on {server}"));
            }
        }
        self.check_runs();
        self.check_answer();
        self.check_claim();
    }

    fn check_runs(&mut self) {
        let runs = self.attempts.values().filter(|a| a.may_have_run()).count();
        if !self.spec.route.idempotent && runs > 1 {
            self.fault("a non-idempotent request may have run twice");
        }
        let told = self.verdicts.first().map(|v| v.outcome);
        if told == Some(Outcome::NotRun) && runs > 0 {
            self.fault("told not run, but it may have run");
        }
    }

    fn check_answer(&mut self) {
        let first = self.shown.first().copied();
        for (place, (attempt, seq)) in self.shown.clone().into_iter().enumerate() {
            let wanted = place as Seq + 1;
            if seq != wanted || Some(attempt) != first.map(|f| f.0) {
                self.fault("the caller saw a gap, a repeat or a spliced answer");
            }
        }
        if self.heads > 1 {
            self.fault("the caller saw two status lines");
        }
        let partial = self.heads > 0 || !self.shown.is_empty();
        if self.verdicts.first().is_some_and(|v| v.partial != partial) {
            self.fault("the verdict is wrong about what the caller has seen");
        }
    }

    fn check_claim(&mut self) {
        let runs = self.attempts.values().filter(|a| a.may_have_run()).count();
        if self.released && runs > 0 {
            self.fault("released the claim of a request that may have run");
        }
        let closings = self.settled.len() + usize::from(self.released);
        if closings != usize::from(self.claim_held) {
            self.fault("the claim was not closed exactly once");
        }
    }
}
