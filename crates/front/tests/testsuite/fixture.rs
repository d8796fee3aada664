//! A front with a fake broker behind it, and small HTTP clients.

use std::collections::VecDeque;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::AccountId;
use primrose_core::table::Table;
use primrose_front::broker::Ask;
use primrose_front::broker::BrokerReply;
use primrose_front::broker::FingerprintStatus;
use primrose_front::broker::Inbox;
use primrose_front::broker::Overloaded;
use primrose_front::broker::Waiting;
use primrose_front::Broker;
use primrose_front::Front;
use primrose_front::Limits;
use primrose_front::ResumeTokenKey;
use primrose_request::ClaimReply;
use primrose_request::Event;
use primrose_request::Grant;
use primrose_request::RetryDecision;
use primrose_support::tables;
use primrose_util::clock::SystemClock;

/// Bearer key that the fake broker knows.
pub(crate) const KEY: &str = "parish-key";
/// Timeout for conditions that must become true.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// A request submitted by the front.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Seen {
    Enqueue { suspect: bool },
    Withdraw,
    Report(primrose_request::AttemptResult),
    Claim,
    Release,
    Settle(primrose_request::Settlement),
    Retry(primrose_request::FailureStage),
    Ended(Option<primrose_core::outcome::ErrorCode>),
}

#[derive(Default)]
struct State {
    seen: Vec<Seen>,
    servers: VecDeque<SocketAddr>,
    claims: VecDeque<BrokerReply>,
    waiting: Vec<(Waiting, Inbox)>,
    full: bool,
    fingerprint_status: Option<FingerprintStatus>,
}

/// Broker that grants each queued request the next planned server.
#[derive(Default)]
pub(crate) struct FakeBroker {
    state: Mutex<State>,
    changed: Condvar,
    table: Arc<Table>,
}

impl FakeBroker {
    /// Adds a server to the planned grants.
    pub(crate) fn grant(&self, addr: SocketAddr) {
        self.state.lock().unwrap().servers.push_back(addr);
    }

    pub(crate) fn plan_claim_reply(&self, reply: BrokerReply) {
        self.state.lock().unwrap().claims.push_back(reply);
    }

    pub(crate) fn set_full(&self, full: bool) {
        self.state.lock().unwrap().full = full;
    }

    pub(crate) fn set_fingerprint_status(&self, fingerprint_status: FingerprintStatus) {
        self.state.lock().unwrap().fingerprint_status = Some(fingerprint_status);
    }

    /// Waits until the front has submitted a request that matches `wanted`.
    pub(crate) fn wait(&self, wanted: impl Fn(&Seen) -> bool) {
        let state = self.state.lock().unwrap();
        let missing = |state: &mut State| !state.seen.iter().any(&wanted);
        let (state, waited) = self
            .changed
            .wait_timeout_while(state, TIMEOUT, missing)
            .unwrap();
        assert!(!waited.timed_out(), "only saw {:?}", state.seen);
    }

    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.state.lock().unwrap().seen.clone()
    }

    fn record(&self, state: &mut State, seen: Seen) {
        state.seen.push(seen);
        self.changed.notify_all();
    }
}

fn reply_to(inbox: &Inbox, reply: BrokerReply) {
    inbox.try_send(reply).expect("a request's inbox has room");
}

impl Broker for FakeBroker {
    fn table(&self) -> Arc<Table> {
        Arc::clone(&self.table)
    }

    fn account(&self, bearer: &str) -> Option<AccountId> {
        (bearer == KEY).then(|| "parish-1".to_owned())
    }

    fn ready(&self) -> bool {
        true
    }

    fn fingerprint_status(&self, _: Fingerprint) -> FingerprintStatus {
        let state = self.state.lock().unwrap();
        state.fingerprint_status.unwrap_or(FingerprintStatus::Clear)
    }

    fn submit(&self, ask: Ask) -> Result<(), Overloaded> {
        let mut state = self.state.lock().unwrap();
        match ask {
            Ask::Enqueue { .. } if state.full => {
                return Err(Overloaded { ask: Box::new(ask) });
            }
            Ask::Enqueue { waiting, inbox } => {
                let suspect = waiting.suspect;
                match state.servers.pop_front() {
                    Some(addr) => reply_to(
                        &inbox,
                        BrokerReply::Event(Event::Granted(Grant {
                            attempt: waiting.attempt,
                            server: addr.to_string(),
                            addr,
                            valid_until: Duration::MAX,
                        })),
                    ),
                    None => state.waiting.push((waiting, inbox)),
                }
                self.record(&mut state, Seen::Enqueue { suspect });
            }
            Ask::Withdraw { .. } => self.record(&mut state, Seen::Withdraw),
            Ask::Progress { .. } => {}
            Ask::Report(report) => self.record(&mut state, Seen::Report(report.result)),
            Ask::Claim { inbox, .. } => {
                let reply = state.claims.pop_front();
                reply_to(
                    &inbox,
                    reply.unwrap_or(BrokerReply::Event(Event::Claim(ClaimReply::Made))),
                );
                self.record(&mut state, Seen::Claim);
            }
            Ask::Release { .. } => self.record(&mut state, Seen::Release),
            Ask::Settle { settlement, .. } => self.record(&mut state, Seen::Settle(settlement)),
            Ask::Retry { stage, inbox, .. } => {
                let allowed = RetryDecision::Allowed {
                    delay: Duration::ZERO,
                    suspect: false,
                };
                reply_to(&inbox, BrokerReply::Event(Event::Retry(allowed)));
                self.record(&mut state, Seen::Retry(stage));
            }
            Ask::Ended(ended) => self.record(&mut state, Seen::Ended(ended.code)),
        }
        Ok(())
    }
}

/// A front on a free port with its fake broker.
pub(crate) struct Fixture {
    pub(crate) front: Front,
    pub(crate) broker: Arc<FakeBroker>,
}

/// Starts a front with a model route `draft` and an order route `/dispatch`.
pub(crate) fn start(limits: Limits) -> Fixture {
    let mut table = Table::default();
    let routes = [
        tables::model_route("drafts", "draft", "engines"),
        tables::order_route("orders", "/dispatch", "services"),
    ];
    for route in routes {
        table.routes.insert(route.name.clone(), route);
    }
    let pools = [
        tables::engine_pool("engines"),
        tables::plain_pool("services"),
    ];
    for pool in pools {
        table.pools.insert(pool.name.clone(), pool);
    }
    let broker = Arc::new(FakeBroker {
        table: Arc::new(table),
        ..FakeBroker::default()
    });
    let front = Front::start(
        SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        limits,
        ResumeTokenKey::new(b"a key of the test"),
        Arc::clone(&broker) as Arc<dyn Broker>,
        Arc::new(SystemClock::new()),
    )
    .unwrap();
    Fixture { front, broker }
}

/// An HTTP response as text.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the body is complete.
    pub(crate) whole: bool,
}

impl Reply {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines();
        let mut fields = lines.filter_map(|line| line.split_once(": "));
        let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value)
    }
}

/// Opens a connection and writes the text.
pub(crate) fn open(addr: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Returns the text of a request with `connection: close`.
pub(crate) fn request(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {length}\r\n{headers}\r\n{body}"
    )
}

/// Returns the text of a completion request.
pub(crate) fn chat(stream: bool, tokens: u64) -> String {
    let body = format!(
        "{{\"model\":\"draft\",\"stream\":{stream},\"metadata\":{{\"tokens\":\"{tokens}\"}},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"linen\"}}]}}"
    );
    request("/v1/chat/completions", "", &body)
}

/// Sends a request and reads the whole response.
pub(crate) fn send(addr: SocketAddr, text: &str) -> Reply {
    let mut stream = open(addr, text);
    let mut bytes = Vec::new();
    // What arrived before a connection reset is still read.
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let mut reply = Reply {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        body: body.to_owned(),
        whole: true,
    };
    if reply.header("transfer-encoding") == Some("chunked") {
        reply.whole = body.ends_with("0\r\n\r\n");
        reply.body = unchunk(body);
    }
    reply
}

fn unchunk(body: &str) -> String {
    let mut rest = body;
    let mut out = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap_or(0);
        if size == 0 || after.len() < size {
            break;
        }
        out.push_str(&after[..size]);
        rest = after[size..].trim_start_matches("\r\n");
    }
    out
}
