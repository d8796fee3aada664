//! Carries out what the deciding parts ask for.

use primrose_claim::Answer;
use primrose_claim::ClaimAction;
use primrose_claim::ClaimRequest;
use primrose_claim::ClaimResult;
use primrose_claim::Reply;
use primrose_core::id::AttemptId;
use primrose_core::id::RequestId;
use primrose_core::id::ServerId;
use primrose_dispatch::message::Ending;
use primrose_dispatch::message::Finished;
use primrose_dispatch::requester;
use primrose_dispatch::requester::PendingRequest;
use primrose_request::Action;
use primrose_request::AttemptResult;
use primrose_request::ClaimReply;
use primrose_request::ConnEvent;
use primrose_request::Event;
use primrose_request::Grant;
use primrose_request::ResponsePart;
use primrose_request::RetryDecision;
use primrose_request::Settlement;
use primrose_suspect::Death;
use primrose_suspect::FingerprintStatus;
use primrose_suspect::InFlightAttempt;

use super::caller::answer_of;
use super::item::Item;
use super::item::Peer;
use super::item::RouterNo;
use super::item::ServerCall;
use super::item::Timer;
use super::ms;
use super::world::World;

impl World {
    /// Hands an event to a request and carries out what follows.
    pub(crate) fn event(&mut self, no: RouterNo, request: RequestId, event: Event) {
        let now = self.now();
        let Some(live) = self.routers[no].lives.get_mut(&request) else {
            return;
        };
        live.latest = match &event {
            Event::Conn {
                conn,
                event: ConnEvent::Item { seq },
            } => Some((*conn, *seq)),
            _ => None,
        };
        for action in live.life.handle(event, now) {
            self.act(no, request, action);
        }
    }

    fn act(&mut self, no: RouterNo, request: RequestId, action: Action) {
        match action {
            Action::Claim => self.order(no, request, ClaimAction::Claim),
            Action::ReleaseClaim => self.order(no, request, ClaimAction::Release),
            Action::Settle(settlement) => self.settle(no, request, settlement),
            Action::Enqueue {
                attempt,
                delay,
                suspect,
                ..
            } => {
                self.live(no, request).suspect = suspect;
                self.timer(no, request, delay, Timer::Enqueue(attempt));
            }
            Action::Withdraw { .. } => self.requester(no, requester::Event::Cancel(request)),
            Action::Open { conn, server, .. } | Action::Probe { conn, server, .. } => {
                self.call(no, &server, conn, ServerCall::Open, ms(0));
            }
            Action::Send { conn } => {
                self.live(no, request).sent_at = self.wall();
                self.timer(no, request, ms(8_000), Timer::RunLimit(conn.attempt));
                let work = self.callers[&request].work;
                self.call_again(no, conn, ServerCall::Request(work));
            }
            Action::Resume {
                conn,
                server,
                after,
                delay,
                ..
            } => self.call(no, &server, conn, ServerCall::Resume(after), delay),
            Action::Disconnect { conn } => self.call_again(no, conn, ServerCall::Close),
            Action::Cancel { conn } => self.call_again(no, conn, ServerCall::Cancel),
            Action::RequestRetry { .. } => self.ask_retry(no, request),
            Action::Hold { .. } => {
                let live = self.live(no, request);
                live.held.extend(live.latest);
            }
            Action::DropHeld => self.live(no, request).held.clear(),
            Action::Forward(part) => self.forward(no, request, part),
            Action::Report {
                attempt,
                server,
                result,
            } => self.report(no, attempt, &server, result),
            Action::Finish(verdict) => self.tell_caller(request, verdict),
        }
    }

    fn forward(&mut self, no: RouterNo, request: RequestId, part: ResponsePart) {
        let live = self.live(no, request);
        let items = match part {
            ResponsePart::Item { .. } => live.latest.into_iter().collect(),
            ResponsePart::Held => std::mem::take(&mut live.held),
            ResponsePart::Head { .. } | ResponsePart::Stored => Vec::new(),
        };
        let caller = self.callers.get_mut(&request).expect("the caller is known");
        if !caller.left {
            let seen = items.into_iter().map(|(conn, seq)| (conn.attempt, seq));
            caller.seen.extend(seen);
        }
    }

    fn order(&mut self, no: RouterNo, request: RequestId, action: ClaimAction) {
        let spec = self.routers[no].lives[&request].life.spec().clone();
        let order = ClaimRequest {
            request,
            member: self.routers[no].me.clone(),
            account: spec.account,
            key: spec.key.map_or_else(String::new, |key| key.to_string()),
            body: spec.body,
            action,
        };
        let now = self.now();
        if let Some(reply) = self.routers[no].desk.submit(order, now) {
            self.claim_reply(no, reply);
        }
    }

    fn settle(&mut self, no: RouterNo, request: RequestId, settlement: Settlement) {
        let live = &self.routers[no].lives[&request];
        // The answer names the attempt that made it.
        let attempt = live.held.first().map(|(conn, _)| conn.attempt);
        let seen = self.callers[&request]
            .seen
            .first()
            .map(|(attempt, _)| *attempt);
        let made = attempt.or(seen).map_or_else(Vec::new, answer_of);
        let action = match settlement {
            Settlement::Done { status } => ClaimAction::Done {
                status,
                answer: Answer::new("text/plain", &made),
            },
            Settlement::Unknown => ClaimAction::Unknown,
        };
        self.order(no, request, action);
    }

    /// Takes a reply of the claim writer.
    pub(crate) fn claim_reply(&mut self, no: RouterNo, reply: Reply) {
        let result = self.bend_claim(reply.result);
        let told = match result {
            ClaimResult::Made => ClaimReply::Made,
            ClaimResult::Done { answer, .. } => {
                let caller = self.callers.get_mut(&reply.request);
                let caller = caller.expect("the caller is known");
                caller.stored = answer.body();
                ClaimReply::Done
            }
            ClaimResult::Busy => ClaimReply::Busy,
            ClaimResult::Unknown => ClaimReply::Unknown,
            ClaimResult::NotRun => ClaimReply::NotRun,
            ClaimResult::Conflict => ClaimReply::Conflict,
            ClaimResult::Unavailable { retry_after } => ClaimReply::Unavailable { retry_after },
        };
        self.event(no, reply.request, Event::Claim(told));
    }

    /// Registers an attempt with the dispatcher.
    pub(crate) fn enqueue(&mut self, no: RouterNo, attempt: AttemptId) {
        let now = self.now();
        let live = &self.routers[no].lives[&attempt.request];
        let spec = live.life.spec();
        let work = PendingRequest {
            request: attempt.request,
            number: attempt.number,
            account: spec.account.clone(),
            route: spec.route.name.clone(),
            pool: spec.route.pool.clone(),
            cost: spec.route.cost,
            bytes: 64,
            suspect: live.suspect,
            prefixes: Vec::new(),
            deadline: now + spec.route.deadline,
        };
        self.requester(no, requester::Event::Enqueue(work));
    }

    /// Hands an event to a router's requester and carries out what follows.
    pub(crate) fn requester(&mut self, no: RouterNo, event: requester::Event) {
        let now = self.now();
        for action in self.routers[no].requester.handle(event, now) {
            match action {
                requester::Action::Send { to, message } => {
                    self.send(no, &to, Peer::Dispatch(message));
                }
                requester::Action::Run(run) => self.start(no, run),
                requester::Action::Refuse { request, code } => {
                    let queued = self.routers[no].lives.get(&request);
                    let Some(attempt) = queued.and_then(|live| live.life.waiting()) else {
                        continue;
                    };
                    let refused = Event::QueueRefused {
                        attempt,
                        code,
                        retry_after: None,
                    };
                    self.event(no, request, refused);
                }
            }
        }
    }

    fn start(&mut self, no: RouterNo, run: requester::Run) {
        if !self.routers[no].lives.contains_key(&run.attempt.request) {
            return self.ended(no, run.attempt, Ending::Unsent);
        }
        let granted = Event::Granted(Grant {
            attempt: run.attempt,
            server: run.server,
            addr: "127.0.0.1:9000"
                .parse()
                .expect("the address is well formed"),
            valid_until: self.now() + ms(3_000),
        });
        self.event(no, run.attempt.request, granted);
    }

    fn report(
        &mut self,
        no: RouterNo,
        attempt: AttemptId,
        server: &ServerId,
        result: AttemptResult,
    ) {
        let ending = match result {
            AttemptResult::Unused => Ending::Unsent,
            AttemptResult::Done => Ending::Done,
            AttemptResult::Refused => Ending::Refused,
            AttemptResult::Unreachable | AttemptResult::ServerLost => Ending::Lost,
            AttemptResult::Broken => Ending::Failed,
            AttemptResult::Cancelled | AttemptResult::Abandoned => Ending::Cancelled,
        };
        match result {
            AttemptResult::ServerLost => self.strike(no, attempt, server, false),
            AttemptResult::Abandoned => self.strike(no, attempt, server, true),
            AttemptResult::Done => self.clear(no, attempt),
            _ => {}
        }
        if !self.flaw_leaks_slots() {
            self.ended(no, attempt, ending);
        }
    }

    fn ended(&mut self, no: RouterNo, attempt: AttemptId, ending: Ending) {
        let finished = Finished {
            attempt,
            ending,
            used: 1,
            first: None,
            inter: None,
        };
        self.requester(no, requester::Event::Ended(finished));
    }

    fn strike(&mut self, no: RouterNo, attempt: AttemptId, server: &ServerId, weak: bool) {
        if self.flaw_forgets_strikes() {
            return;
        }
        let wall = self.wall();
        let router = &mut self.routers[no];
        let live = &router.lives[&attempt.request];
        let spec = live.life.spec();
        let death = Death {
            server: server.clone(),
            run: 0,
            pool: spec.route.pool.clone(),
            in_flight: vec![InFlightAttempt {
                attempt,
                fingerprint: spec.fingerprint,
                account: spec.account.clone(),
                route: spec.route.name.clone(),
                since: live.sent_at,
            }],
        };
        let news = match weak {
            true => router.register.attempts_abandoned(&death, wall),
            false => router.register.server_died(&death, wall),
        };
        self.tell_all(no, &news);
    }

    fn clear(&mut self, no: RouterNo, attempt: AttemptId) {
        let wall = self.wall();
        let router = &mut self.routers[no];
        let live = &router.lives[&attempt.request];
        if !live.suspect {
            return;
        }
        let print = live.life.spec().fingerprint;
        let news = router.register.completed(print, live.sent_at, wall);
        self.tell_all(no, &news);
    }

    fn ask_retry(&mut self, no: RouterNo, request: RequestId) {
        let wall = self.wall();
        let router = &self.routers[no];
        let print = router.lives[&request].life.spec().fingerprint;
        let verdict = match router.register.status(print, wall) {
            FingerprintStatus::Refused { retry_after } => RetryDecision::Poisoned { retry_after },
            standing => RetryDecision::Allowed {
                delay: ms(20),
                suspect: standing == FingerprintStatus::Suspect,
            },
        };
        self.event(no, request, Event::Retry(verdict));
    }

    /// Makes the next call of a router's claim writer, if there is one to be made.
    pub(crate) fn pump_desk(&mut self, no: RouterNo) {
        let (now, wall) = (self.now(), self.wall());
        let replies = self.routers[no].desk.expire(now);
        for reply in replies {
            self.claim_reply(no, reply);
        }
        let router = &mut self.routers[no];
        let life = router.life();
        if router.calling {
            return;
        }
        if let Some(call) = router.desk.next_call(now, wall) {
            router.calling = true;
            let item = Item::StoreCall {
                router: no,
                life,
                call,
            };
            self.later(super::STORE, item);
        } else if let Some(wake) = router.desk.next_wake().filter(|_| !router.desk_timer) {
            router.desk_timer = true;
            let wait = wake.saturating_sub(now).max(ms(1));
            self.later(wait, Item::Desk { router: no, life });
        }
    }
}
