//! Ways between routers, servers and the key-value service.

use std::time::Duration;

use primrose_claim::Call;
use primrose_claim::CallResult;
use primrose_core::clock::Mono;
use primrose_core::id::Member;
use primrose_dispatch::dispatcher;
use primrose_dispatch::message::Recipient;
use primrose_dispatch::requester;
use primrose_request::ConnId;
use primrose_store::store::Store;
use primrose_store::store::StoreError;

use super::item::Item;
use super::item::Peer;
use super::item::RouterNo;
use super::item::ServerCall;
use super::ms;
use super::world::World;
use super::FAR;
use super::NEAR;
use super::STORE;

/// A connection that stands still.
#[derive(Debug, Default)]
pub(crate) struct Stalled {
    until: Mono,
    items: Vec<Item>,
}

impl World {
    /// Keeps back what comes over a connection that stands still; it never reorders.
    pub(crate) fn stall(&mut self, item: Item) -> Option<Item> {
        let Item::FromServer { conn, .. } = &item else {
            return Some(item);
        };
        match self.stalled.get_mut(conn) {
            Some(stalled) => {
                stalled.items.push(item);
                None
            }
            None => Some(item),
        }
    }

    /// Lets a connection stand still for a time.
    pub(crate) fn stall_for(&mut self, conn: ConnId, time: Mono) {
        let until = self.now() + time;
        let stalled = self.stalled.entry(conn).or_default();
        stalled.until = stalled.until.max(until);
        self.later(time, Item::Flush { conn });
    }

    pub(crate) fn flush(&mut self, conn: ConnId) {
        let now = self.now();
        if self
            .stalled
            .get(&conn)
            .is_none_or(|stalled| stalled.until > now)
        {
            return;
        }
        let stalled = self.stalled.remove(&conn);
        for item in stalled.map_or_else(Vec::new, |stalled| stalled.items) {
            self.deliver(item);
        }
    }

    /// Calls a server by name, and remembers where the attempt runs.
    pub(crate) fn call(
        &mut self,
        router: RouterNo,
        server: &str,
        conn: ConnId,
        call: ServerCall,
        delay: Duration,
    ) {
        let no = self.servers.iter().position(|one| one.id == server);
        let no = no.expect("the server is known");
        self.placed.insert(conn.attempt, no);
        let item = Item::ToServer {
            router,
            server: no,
            conn,
            call,
        };
        self.later(delay + NEAR, item);
    }

    /// Calls the server on which the attempt runs.
    pub(crate) fn call_again(&mut self, router: RouterNo, conn: ConnId, call: ServerCall) {
        let item = Item::ToServer {
            router,
            server: self.placed[&conn.attempt],
            conn,
            call,
        };
        self.later(NEAR, item);
    }

    pub(crate) fn send(&mut self, from: RouterNo, to: &Member, message: Peer) {
        let Some(no) = self.routers.iter().position(|one| one.me.host == to.host) else {
            return;
        };
        if no == from {
            // Inside a process messages are handed over at once, as the daemon does it.
            let me = self.routers[no].me.clone();
            return self.peer(&me, no, message);
        }
        let far = self.routers[from].zone != self.routers[no].zone;
        let delay = if far { FAR } else { NEAR };
        let item = Item::Peer {
            from: self.routers[from].me.clone(),
            to: no,
            message,
        };
        self.later(delay, item);
    }

    /// Tells all other routers what is new about suspects.
    pub(crate) fn tell_all(&mut self, from: RouterNo, news: &primrose_suspect::Message) {
        if news.is_empty() {
            return;
        }
        for no in (0..self.routers.len()).filter(|no| *no != from) {
            let to = self.routers[no].me.clone();
            self.send(from, &to, Peer::Suspects(news.clone()));
        }
    }

    pub(crate) fn peer(&mut self, from: &Member, to: RouterNo, message: Peer) {
        let sender = self.routers.iter().position(|one| one.me.host == from.host);
        let cut = sender.is_some_and(|sender| self.is_cut(sender, to));
        if cut {
            return;
        }
        let (now, wall) = (self.now(), self.wall());
        let message = match message {
            Peer::Dispatch(message) => message,
            Peer::Suspects(news) => {
                self.routers[to].register.merge(&news, wall);
                return;
            }
        };
        let from = from.clone();
        if message.body.recipient() == Recipient::Requester {
            return self.requester(to, requester::Event::Message { from, message });
        }
        let Some(dispatcher) = self.routers[to].dispatchers.get_mut(&message.pool) else {
            return;
        };
        let event = dispatcher::Event::Message { from, message };
        let actions = dispatcher.handle(event, now);
        self.dispatched(to, actions);
    }

    /// Carries out a call at the key-value service.
    pub(crate) fn store_call(&self, no: RouterNo, call: &Call) -> CallResult {
        let cut = self.platform_cut[no] > self.now();
        let unavailable = || StoreError::Unavailable {
            detail: "cut off".to_owned(),
        };
        match call {
            Call::Get(_) if cut => CallResult::Got(Err(unavailable())),
            Call::Commit(_) if cut => CallResult::Committed(Err(unavailable())),
            Call::Get(key) => CallResult::Got(self.store.get(key)),
            Call::Commit(ops) => CallResult::Committed(self.store.commit(ops)),
        }
    }

    /// Sends a result back to the router.
    pub(crate) fn store_reply(&mut self, router: RouterNo, life: u64, result: CallResult) {
        let slow = self.now() < self.slow_until;
        let delay = if slow { ms(3_000) } else { STORE };
        let item = Item::StoreReply {
            router,
            life,
            result,
        };
        self.later(delay, item);
    }

    pub(crate) fn stored(&mut self, no: RouterNo, life: u64, result: CallResult) {
        let (now, wall) = (self.now(), self.wall());
        let router = &mut self.routers[no];
        if router.life() != life || !router.calling {
            return;
        }
        router.calling = false;
        for reply in router.desk.handle_result(result, now, wall) {
            self.claim_reply(no, reply);
        }
    }
}
