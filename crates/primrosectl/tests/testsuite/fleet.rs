//! Tests of querying routers, waiting for a generation to be in force, and the HTTP calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Mutex;
use std::time::Duration;

use primrose_report::status::RouterState;
use primrose_report::status::RouterStatus;
use primrose_report::status::SuspectStatus;
use primrose_table::activation::DocumentStatus;
use primrose_table::header::Header;
use primrosectl::ops::fleet::Fleet;
use primrosectl::ops::fleet::FleetError;
use primrosectl::ops::fleet::Result;
use primrosectl::ops::http::HttpFleet;
use primrosectl::ops::status::newest_generation;
use primrosectl::ops::status::query_all;
use primrosectl::ops::status::wait_in_force;
use rouille::Response;
use rouille::Server;

use crate::support::NoSleep;

/// Fake routers by port; a port without an entry does not answer.
#[derive(Default)]
pub(crate) struct FakeFleet {
    /// Header and text of the tables that a router has in force.
    pub(crate) tables: HashMap<u16, (Header, String)>,
    /// Daily pages as JSON.
    pub(crate) day_pages: HashMap<u16, String>,
    /// Routers that change to generation 2 at this later status query: 1 is the next one.
    pub(crate) pending_updates: Mutex<HashMap<u16, u32>>,
}

/// Returns the address of a fake router.
pub(crate) fn router(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn unreachable<T>() -> Result<T> {
    let detail = "not there".to_owned();
    Err(FleetError::Unreachable { detail })
}

/// Returns the status of a router that has this header in force.
pub(crate) fn status(header: Header) -> RouterStatus {
    let tables = DocumentStatus {
        header: Some(header),
        ..DocumentStatus::default()
    };
    RouterStatus {
        host: "entry-1".to_owned(),
        zone: "barasat".to_owned(),
        region: "north".to_owned(),
        incarnation: 1,
        state: RouterState::Ready,
        uptime: 5,
        tables,
        accounts: DocumentStatus::default(),
        platform_silence: Some(20),
        peers: Vec::new(),
        pools: Vec::new(),
    }
}

impl Fleet for FakeFleet {
    fn status(&self, router: SocketAddr) -> Result<RouterStatus> {
        let Some((header, _)) = self.tables.get(&router.port()) else {
            return unreachable();
        };
        let mut header = *header;
        if let Some(left) = self
            .pending_updates
            .lock()
            .expect("lock")
            .get_mut(&router.port())
        {
            *left = left.saturating_sub(1);
            if *left == 0 {
                header.generation = 2;
            }
        }
        Ok(status(header))
    }

    fn tables(&self, router: SocketAddr) -> Result<String> {
        match self.tables.get(&router.port()) {
            Some((_, text)) => Ok(text.clone()),
            None => unreachable(),
        }
    }

    fn drain(&self, _router: SocketAddr) -> Result<()> {
        unreachable()
    }

    fn suspects(&self, _router: SocketAddr) -> Result<Vec<SuspectStatus>> {
        unreachable()
    }

    fn lift(&self, _router: SocketAddr, _fingerprint: &str) -> Result<()> {
        unreachable()
    }

    fn day_page(&self, router: SocketAddr, _date: Option<&str>) -> Result<String> {
        match self.day_pages.get(&router.port()) {
            Some(json) => Ok(json.clone()),
            None => unreachable(),
        }
    }
}

fn tables_of(generation: u64) -> (Header, String) {
    let change = generation;
    (Header { generation, change }, String::new())
}

#[test]
fn answers_are_in_order_and_include_the_unreachable_router() {
    let mut fleet = FakeFleet::default();
    fleet.tables.insert(1, tables_of(3));
    fleet.tables.insert(3, tables_of(4));
    let routers: Vec<SocketAddr> = (1..=3).map(router).collect();
    let answers = query_all(&fleet, &routers);
    let queried: Vec<SocketAddr> = answers.iter().map(|answer| answer.router).collect();
    assert_eq!(queried, routers);
    assert!(answers[1].status.is_err());
    assert_eq!(newest_generation(&answers), 4);
}

#[test]
fn wait_ends_when_all_routers_have_the_generation_or_at_the_limit() {
    let mut fleet = FakeFleet::default();
    fleet.tables.insert(1, tables_of(2));
    fleet.tables.insert(2, tables_of(1));
    fleet.pending_updates.lock().expect("lock").insert(2, 3);
    let routers = [router(1), router(2)];
    let limit = Duration::from_secs(2);
    let late = wait_in_force(&fleet, &NoSleep, &routers, 2, limit);
    assert!(late.is_empty(), "{late:?}");
    let routers = [router(1), router(7)];
    let late = wait_in_force(&fleet, &NoSleep, &routers, 2, limit);
    assert_eq!(late, [router(7)]);
}

fn respond(request: &rouille::Request) -> Response {
    let header = Header {
        generation: 5,
        change: 0xfeed,
    };
    match (request.method(), request.url().as_str()) {
        ("GET", "/status") => Response::json(&status(header)),
        ("GET", "/tables") => Response::text("; text"),
        ("POST", "/drain") => Response::text(""),
        ("GET", "/suspects") => Response::text("not json"),
        ("POST", "/suspects/00ff/lift") => Response::text("unknown").with_status_code(404),
        _ => Response::empty_404(),
    }
}

#[test]
fn http_calls_return_results_and_errors() {
    let server = Server::new("127.0.0.1:0", respond).expect("loopback");
    let addr = server.server_addr();
    let (handle, stop) = server.stoppable();
    let fleet = HttpFleet::new();
    assert_eq!(
        fleet.status(addr).map(|status| status.tables.header),
        Ok(Some(Header {
            generation: 5,
            change: 0xfeed,
        }))
    );
    assert_eq!(fleet.tables(addr).as_deref(), Ok("; text"));
    assert_eq!(fleet.drain(addr), Ok(()));
    let malformed = fleet.suspects(addr).expect_err("no json");
    assert!(
        matches!(malformed, FleetError::Malformed { .. }),
        "{malformed}"
    );
    let refused = FleetError::Refused {
        status: 404,
        detail: "unknown".to_owned(),
    };
    assert_eq!(fleet.lift(addr, "00ff"), Err(refused));
    stop.send(()).expect("server runs");
    handle.join().expect("server ends");
}

#[test]
fn router_without_a_listener_is_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let addr = listener.local_addr().expect("bound");
    drop(listener);
    let error = HttpFleet::new().status(addr).expect_err("no listener");
    assert!(matches!(error, FleetError::Unreachable { .. }), "{error}");
}
