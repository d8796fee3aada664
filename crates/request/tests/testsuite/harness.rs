//! Test harness that checks the actions of one lifecycle against what the servers may have run.
//!
//! The harness stands in for the claims, the dispatcher, the servers and the caller. It keeps its
//! own record of what was sent and delivered, and does not rely on the state of the lifecycle.

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

/// Record of one attempt at its server.
#[derive(Debug, Clone, Default)]
pub(crate) struct Attempt {
    /// Whether the request was sent to the server.
    pub(crate) sent: bool,
    /// Whether the server certainly did not run the request.
    pub(crate) refused: bool,
    /// Whether a connection broke; a refusal after that cannot reach the router.
    pub(crate) broken: bool,
    /// Whether the response started.
    pub(crate) response_started: bool,
    /// Whether a connection reported the end of the response.
    pub(crate) ended: bool,
    /// Highest number of an item that arrived.
    pub(crate) items: Seq,
}

impl Attempt {
    /// Returns whether the server may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.sent && !self.refused
    }

    /// Returns whether the router cannot know that the server did not run the request.
    fn seems_to_have_run(&self) -> bool {
        self.sent && (self.broken || !self.refused)
    }
}

/// Lifecycle under test, and the record of its events and actions.
pub(crate) struct Harness {
    pub(crate) lifecycle: Lifecycle,
    pub(crate) spec: Spec,
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    pub(crate) conns: Vec<ConnId>,
    pub(crate) queued: Vec<AttemptId>,
    pub(crate) grants: BTreeMap<(AttemptId, ServerId), u32>,
    pub(crate) results: Vec<FinalResult>,
    claim_requested: bool,
    pub(crate) claim_held: bool,
    pub(crate) released: bool,
    pub(crate) settled: Vec<Settlement>,
    /// Items delivered to the caller, each with the attempt that produced it.
    pub(crate) delivered: Vec<(AttemptId, Seq)>,
    held: Vec<(AttemptId, Seq)>,
    pub(crate) heads: u32,
    pub(crate) violations: Vec<String>,
}

impl Harness {
    pub(crate) fn new(spec: Spec) -> Self {
        Self {
            lifecycle: Lifecycle::new(spec.clone()),
            spec,
            attempts: BTreeMap::new(),
            conns: Vec::new(),
            queued: Vec::new(),
            grants: BTreeMap::new(),
            results: Vec::new(),
            claim_requested: false,
            claim_held: false,
            released: false,
            settled: Vec::new(),
            delivered: Vec::new(),
            held: Vec::new(),
            heads: 0,
            violations: Vec::new(),
        }
    }

    /// Feeds one event to the lifecycle and records the resulting actions.
    pub(crate) fn feed(&mut self, event: Event) -> Vec<Action> {
        match &event {
            Event::Claim(reply) => self.record_claim_reply(*reply),
            Event::Granted(grant) => {
                let key = (grant.attempt, grant.server.clone());
                self.grants.entry(key).or_default();
            }
            Event::Conn { conn, event } => self.record_conn_event(*conn, *event),
            _ => {}
        }
        let actions = self.lifecycle.handle(event.clone(), NOW);
        for action in &actions {
            self.record_action(&event, action);
        }
        actions
    }

    /// Records a claim reply. Only the first reply after a claim counts; any other is a duplicate
    /// or out of order.
    fn record_claim_reply(&mut self, reply: ClaimReply) {
        self.claim_held |= self.claim_requested && reply == ClaimReply::Made;
        self.claim_requested = false;
    }

    /// Records what an event reveals about the attempt.
    fn record_conn_event(&mut self, conn: ConnId, event: ConnEvent) {
        let attempt = self.attempts.entry(conn.attempt).or_default();
        match event {
            ConnEvent::Head { .. } => attempt.response_started = true,
            ConnEvent::Failed(FailureStage::AfterSend)
            | ConnEvent::ResumeRefused
            | ConnEvent::ServerLost => attempt.broken = true,
            ConnEvent::BodyEnd => attempt.ended = true,
            ConnEvent::Item { seq } => attempt.items = attempt.items.max(seq),
            ConnEvent::Failed(FailureStage::BeforeSend | FailureStage::RefusedNotRun)
                if !attempt.response_started =>
            {
                attempt.refused = true;
            }
            _ => {}
        }
    }

    fn record_action(&mut self, event: &Event, action: &Action) {
        match action {
            Action::Enqueue { attempt, .. } => self.queued.push(*attempt),
            Action::Open { conn, .. }
            | Action::Resume { conn, .. }
            | Action::Probe { conn, .. } => self.conns.push(*conn),
            Action::Send { conn } => self.record_send(*conn),
            Action::Claim => self.claim_requested = true,
            Action::ReleaseClaim => self.released = true,
            Action::Settle(settlement) => self.settled.push(*settlement),
            Action::Report {
                attempt, server, ..
            } => *self.grants.entry((*attempt, server.clone())).or_default() += 1,
            Action::Finish(result) => self.check_result(*result),
            Action::Hold { seq } => self.record_item(event, *seq, false),
            Action::DropHeld => self.held.clear(),
            Action::Forward(part) => self.record_forward(event, *part),
            _ => {}
        }
    }

    /// Checks a final result against what was known when it was returned.
    fn check_result(&mut self, result: FinalResult) {
        let ran = self.attempts.values().any(Attempt::seems_to_have_run);
        let claim_satisfied = self.claim_held || !self.spec.needs_claim();
        if result.outcome == Outcome::Unknown && claim_satisfied && !ran {
            self.violation("reported unknown, but the request certainly did not run");
        }
        if result.outcome == Outcome::Done
            && claim_satisfied
            && !self.attempts.values().any(|a| a.ended)
        {
            self.violation("reported done without the end of a response");
        }
        self.results.push(result);
    }

    fn record_send(&mut self, conn: ConnId) {
        if self.spec.needs_claim() && (!self.claim_held || self.released) {
            self.violation("sent without holding the claim");
        }
        let attempt = self.attempts.entry(conn.attempt).or_default();
        if attempt.sent {
            self.violations.push("sent an attempt twice".to_owned());
        }
        self.attempts.entry(conn.attempt).or_default().sent = true;
    }

    fn record_forward(&mut self, event: &Event, part: ResponsePart) {
        if !self.results.is_empty() {
            self.violation("forwarded after the end of the response");
        }
        match part {
            ResponsePart::Head { .. } => self.heads += 1,
            ResponsePart::Item { seq } => self.record_item(event, seq, true),
            ResponsePart::Held => self.delivered.append(&mut self.held),
            ResponsePart::Stored => {}
        }
    }

    fn record_item(&mut self, event: &Event, number: Seq, deliver: bool) {
        let Event::Conn {
            conn,
            event: ConnEvent::Item { seq },
        } = event
        else {
            return self.violation("forwarded or held an item without an item event");
        };
        if *seq != number {
            self.violation("forwarded or held a different item than the one that arrived");
        }
        let list = if deliver {
            &mut self.delivered
        } else {
            &mut self.held
        };
        list.push((conn.attempt, number));
    }

    fn violation(&mut self, text: &str) {
        self.violations.push(text.to_owned());
    }

    /// Returns the attempt that was registered last, unless it has been granted.
    pub(crate) fn waiting(&self) -> Option<AttemptId> {
        let last = self.queued.last().copied()?;
        let granted = self.grants.keys().any(|key| key.0 == last);
        Some(last).filter(|_| !granted)
    }

    /// Feeds the grant of a slot on a server to an attempt.
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

    /// Checks the rules that must hold after the last event.
    pub(crate) fn check_end(&mut self) {
        if self.results.len() != 1 {
            self.violation("the response was not ended exactly once");
        }
        if !self.lifecycle.is_over() {
            self.violation("the request is not over");
        }
        for ((attempt, server), reports) in self.grants.clone() {
            if reports != 1 {
                self.violation(&format!("{reports} reports of {attempt} on {server}"));
            }
        }
        self.check_runs();
        self.check_response();
        self.check_claim();
    }

    fn check_runs(&mut self) {
        let runs = self.attempts.values().filter(|a| a.may_have_run()).count();
        if !self.spec.route.idempotent && runs > 1 {
            self.violation("a non-idempotent request may have run twice");
        }
        let outcome = self.results.first().map(|v| v.outcome);
        if outcome == Some(Outcome::NotRun) && runs > 0 {
            self.violation("reported not run, but the request may have run");
        }
    }

    fn check_response(&mut self) {
        let first = self.delivered.first().copied();
        for (index, (attempt, seq)) in self.delivered.clone().into_iter().enumerate() {
            let expected = index as Seq + 1;
            if seq != expected || Some(attempt) != first.map(|f| f.0) {
                self.violation("the caller got a gap, a repeated item or items of two attempts");
            }
        }
        if self.heads > 1 {
            self.violation("the caller got two status lines");
        }
        let partial = self.heads > 0 || !self.delivered.is_empty();
        if self.results.first().is_some_and(|v| v.partial != partial) {
            self.violation(
                "the final result is wrong about whether part of the response was forwarded",
            );
        }
    }

    fn check_claim(&mut self) {
        let runs = self.attempts.values().filter(|a| a.may_have_run()).count();
        if self.released && runs > 0 {
            self.violation("released the claim of a request that may have run");
        }
        let closings = self.settled.len() + usize::from(self.released);
        if closings != usize::from(self.claim_held) {
            self.violation("the claim was not closed exactly once");
        }
    }
}
