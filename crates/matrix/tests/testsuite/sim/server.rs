//! Fake backend servers, which keep their own record of what ran.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use primrose_core::clock::Mono;
use primrose_core::id::AttemptId;
use primrose_core::table::PoolKind;
use primrose_request::ConnEvent;
use primrose_request::ConnId;
use primrose_request::FailureStage;
use primrose_request::Seq;

use super::caller::Work;
use super::caller::WorkKind;
use super::item::Item;
use super::item::RouterNo;
use super::item::ServerCall;
use super::item::ServerNo;
use super::ms;
use super::world::World;
use super::NEAR;

/// Time from the request to the head of an answer.
const FIRST: Mono = ms(5);
/// Time between two items.
const PACE: Mono = ms(10);
/// The item of a poison request at which its server dies.
const POISON_AT: Seq = 2;
/// How long a server takes to start again.
const RESTART: Mono = ms(5_000);

/// One run, as the server's own record has it.
#[derive(Debug, Clone)]
pub(crate) struct Ran {
    pub(crate) work: Work,
    pub(crate) attempt: AttemptId,
    pub(crate) at: Mono,
    pub(crate) finished: bool,
    /// Runs that somebody waited for at its start, itself included.
    pub(crate) beside: usize,
}

/// An answer that is being made.
#[derive(Debug, Clone)]
struct Stream {
    work: Work,
    router: RouterNo,
    conn: Option<ConnId>,
    made: Seq,
    ended: bool,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) zone: &'static str,
    pub(crate) kind: PoolKind,
    pub(crate) up: bool,
    pub(crate) run: u64,
    pub(crate) hung_until: Mono,
    pub(crate) leaving_since: Option<Mono>,
    /// Everything that it ever ran.
    pub(crate) record: Vec<Ran>,
    streams: BTreeMap<AttemptId, Stream>,
    /// Connections that the router closed before the request was read from them.
    closed: BTreeSet<ConnId>,
}

impl Server {
    pub(crate) fn new(id: &str, zone: &'static str, kind: PoolKind) -> Self {
        Self {
            id: id.to_owned(),
            zone,
            kind,
            up: true,
            run: 1,
            hung_until: Mono::ZERO,
            leaving_since: None,
            record: Vec::new(),
            streams: BTreeMap::new(),
            closed: BTreeSet::new(),
        }
    }

    /// Name of the pool that it belongs to.
    pub(crate) fn pool(&self) -> &'static str {
        match self.kind {
            PoolKind::Engine => "chat",
            PoolKind::Plain => "orders",
        }
    }
}

/// Number of items in the answer to a piece of work.
pub(crate) fn length(work: Work) -> Seq {
    match work.kind {
        WorkKind::Order | WorkKind::KeylessOrder => 1,
        _ if work.id % 2 == 0 => 12,
        _ => 4,
    }
}

impl World {
    pub(crate) fn server_call(
        &mut self,
        router: RouterNo,
        no: ServerNo,
        conn: ConnId,
        call: ServerCall,
    ) {
        let server = &self.servers[no];
        let up = server.up;
        match call {
            ServerCall::Open if up => self.answer(router, conn, ConnEvent::Connected),
            ServerCall::Request(work) if up => self.begin(router, no, conn, work),
            ServerCall::Resume(after) if up => self.resume(router, no, conn, after),
            ServerCall::Open | ServerCall::Resume(_) => {
                self.answer(router, conn, ConnEvent::Failed(FailureStage::BeforeSend));
            }
            ServerCall::Request(_) => {
                self.answer(router, conn, ConnEvent::Failed(FailureStage::AfterSend));
            }
            ServerCall::Cancel => self.cancel(no, conn),
            ServerCall::Close => self.detach(no, conn),
        }
    }

    fn answer(&mut self, router: RouterNo, conn: ConnId, event: ConnEvent) {
        let item = Item::FromServer {
            router,
            conn,
            event,
        };
        self.later(NEAR, item);
    }

    fn begin(&mut self, router: RouterNo, no: ServerNo, conn: ConnId, work: Work) {
        let now = self.now();
        let ignores = self.flaw_ignores_leaving();
        let server = &mut self.servers[no];
        if now < server.hung_until {
            // The bytes wait in the socket; the server reads them when it goes on.
            let at = server.hung_until - now;
            let call = ServerCall::Request(work);
            let item = Item::ToServer {
                router,
                server: no,
                conn,
                call,
            };
            return self.later(at, item);
        }
        if server.leaving_since.is_some() && !ignores {
            return self.answer(router, conn, ConnEvent::Failed(FailureStage::RefusedNotRun));
        }
        let stream = Stream {
            work,
            router,
            // A server that hung reads what waits in its socket, and finds nobody at the other end.
            conn: Some(conn).filter(|conn| !server.closed.contains(conn)),
            made: 0,
            ended: false,
        };
        server.streams.insert(conn.attempt, stream);
        let wanted = |one: &&Stream| !one.ended && one.conn.is_some();
        let beside = server.streams.values().filter(wanted).count();
        server.record.push(Ran {
            work,
            attempt: conn.attempt,
            at: now,
            finished: false,
            beside,
        });
        let item = Item::Serve {
            server: no,
            run: server.run,
            attempt: conn.attempt,
            seq: 0,
        };
        self.later(FIRST, item);
    }

    /// Makes the next part of an answer; part 0 is the head, the one after the last is the end.
    pub(crate) fn serve(&mut self, no: ServerNo, run: u64, attempt: AttemptId, seq: Seq) {
        let now = self.now();
        let server = &mut self.servers[no];
        if !server.up || server.run != run {
            return;
        }
        let again = Item::Serve {
            server: no,
            run,
            attempt,
            seq,
        };
        if now < server.hung_until {
            let wait = server.hung_until - now;
            return self.later(wait, again);
        }
        let Some(work) = server.streams.get(&attempt).map(|stream| stream.work) else {
            return;
        };
        let last = length(work);
        if work.kind == WorkKind::Poison && seq == POISON_AT {
            self.poisoned += 1;
            return self.crash_server(no);
        }
        let Some(stream) = server.streams.get_mut(&attempt) else {
            return;
        };
        let event = part(seq, last);
        stream.made = seq.min(last);
        stream.ended = seq > last;
        let to = stream.conn.map(|conn| (stream.router, conn));
        if stream.ended {
            let mut runs = server.record.iter_mut();
            if let Some(ran) = runs.find(|ran| ran.attempt == attempt) {
                ran.finished = true;
            }
        }
        if let Some((router, conn)) = to {
            self.answer(router, conn, event);
        }
        if seq <= last {
            let next = Item::Serve {
                server: no,
                run,
                attempt,
                seq: seq + 1,
            };
            self.later(PACE, next);
        }
    }

    fn resume(&mut self, router: RouterNo, no: ServerNo, conn: ConnId, after: Seq) {
        let Some(stream) = self.servers[no].streams.get_mut(&conn.attempt) else {
            return self.answer(router, conn, ConnEvent::ResumeRefused);
        };
        stream.router = router;
        stream.conn = Some(conn);
        let (made, ended) = (stream.made, stream.ended);
        self.answer(router, conn, ConnEvent::Connected);
        self.answer(router, conn, ConnEvent::Resumed);
        for seq in after + 1..=made {
            self.answer(router, conn, ConnEvent::Item { seq });
        }
        if ended {
            self.answer(router, conn, ConnEvent::BodyEnd);
        }
    }

    /// Engines stop a run when told; plain services have no such call.
    fn cancel(&mut self, no: ServerNo, conn: ConnId) {
        let server = &mut self.servers[no];
        server.closed.insert(conn);
        if server.kind == PoolKind::Engine {
            server.streams.remove(&conn.attempt);
        } else {
            self.detach(no, conn);
        }
    }

    fn detach(&mut self, no: ServerNo, conn: ConnId) {
        self.servers[no].closed.insert(conn);
        let stream = self.servers[no].streams.get_mut(&conn.attempt);
        if let Some(stream) = stream.filter(|stream| stream.conn == Some(conn)) {
            stream.conn = None;
        }
    }

    /// The server's process dies: every connection breaks, and all streams are gone.
    pub(crate) fn crash_server(&mut self, no: ServerNo) {
        let server = &mut self.servers[no];
        if !server.up {
            return;
        }
        server.up = false;
        server.run += 1;
        server.hung_until = Mono::ZERO;
        let streams: Vec<Stream> = std::mem::take(&mut server.streams).into_values().collect();
        for stream in streams {
            if let Some(conn) = stream.conn {
                self.answer(
                    stream.router,
                    conn,
                    ConnEvent::Failed(FailureStage::AfterSend),
                );
            }
        }
        self.later(RESTART, Item::StartServer { server: no });
    }

    /// Breaks the connection of an attempt and leaves its run alone.
    pub(crate) fn break_conn(&mut self, router: RouterNo, no: ServerNo, conn: ConnId) {
        self.detach(no, conn);
        self.answer(router, conn, ConnEvent::Failed(FailureStage::AfterSend));
    }
}

fn part(seq: Seq, last: Seq) -> ConnEvent {
    match seq {
        0 => ConnEvent::Head { status: 200 },
        _ if seq <= last => ConnEvent::Item { seq },
        _ => ConnEvent::BodyEnd,
    }
}
