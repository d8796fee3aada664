//! Helpers that build endpoints and sessions.

use std::net::SocketAddr;
use std::time::Duration;

use crossbeam_channel::Receiver;
use primrose_core::id::Member;
use primrose_link::handshake::AcceptorHandshake;
use primrose_link::handshake::DialerHandshake;
use primrose_link::handshake::Identity;
use primrose_link::handshake::Nonce;
use primrose_link::handshake::Session;
use primrose_link::Endpoint;
use primrose_link::Key;
use primrose_link::Keys;
use primrose_link::Limits;
use primrose_link::LinkConfig;
use primrose_link::LinkEvent;
use primrose_retry::BackoffConfig;

/// Timeout for an event that must happen.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which an event must not happen.
pub(crate) const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// An endpoint and the receiver of its events.
pub(crate) struct Router {
    pub(crate) endpoint: Endpoint<String>,
    pub(crate) events: Receiver<LinkEvent<String>>,
}

pub(crate) fn key(fill: u8) -> Key {
    Key::from_bytes(&[fill; 32]).unwrap()
}

pub(crate) fn keys(fills: &[u8]) -> Keys {
    Keys::new(fills.iter().map(|fill| key(*fill)).collect()).unwrap()
}

pub(crate) fn member(host: &str, incarnation: u64) -> Member {
    Member {
        host: host.to_owned(),
        incarnation,
    }
}

pub(crate) fn identity(host: &str) -> Identity {
    Identity {
        member: member(host, 1),
        zone: "barasat".to_owned(),
        addr: SocketAddr::from(([127, 0, 0, 1], 7400)),
    }
}

pub(crate) fn nonce(fill: u8) -> Nonce {
    [fill; 32]
}

/// Returns limits with short timeouts, so that tests of timeouts end soon.
pub(crate) fn limits() -> Limits {
    Limits {
        handshake_timeout: Duration::from_millis(500),
        keepalive_interval: Duration::from_millis(100),
        idle_timeout: Duration::from_millis(500),
        write_timeout: Duration::from_millis(500),
        backoff: BackoffConfig {
            base: Duration::from_millis(20),
            cap: Duration::from_millis(100),
        },
        ..Limits::default()
    }
}

pub(crate) fn config(member: Member, zone: &str) -> LinkConfig {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut config = LinkConfig::new(member, zone.to_owned(), listen, keys(&[1]));
    config.limits = limits();
    config
}

impl Router {
    pub(crate) fn start(config: LinkConfig) -> Self {
        let (sender, events) = crossbeam_channel::bounded(1024);
        let endpoint = Endpoint::start(config, sender).unwrap();
        Self { endpoint, events }
    }

    pub(crate) fn start_named(host: &str) -> Self {
        Self::start(config(member(host, 1), "barasat"))
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.endpoint.local_addr()
    }

    pub(crate) fn connect(&self, host: &str, to: &Router) {
        self.endpoint.connect(&host.to_owned(), to.addr());
    }

    pub(crate) fn send(&self, host: &str, message: &str) {
        let message = message.to_owned();
        self.endpoint.send(&host.to_owned(), &message).unwrap();
    }

    /// Waits for the next event that matches the predicate.
    pub(crate) fn wait<F>(&self, predicate: F) -> LinkEvent<String>
    where
        F: Fn(&LinkEvent<String>) -> bool,
    {
        loop {
            let event = self
                .events
                .recv_timeout(EVENT_TIMEOUT)
                .expect("no such event");
            if predicate(&event) {
                return event;
            }
        }
    }

    pub(crate) fn wait_up(&self) -> Member {
        match self.wait(|e| matches!(e, LinkEvent::Up { .. })) {
            LinkEvent::Up { member, .. } => member,
            _ => unreachable!(),
        }
    }

    pub(crate) fn wait_message(&self) -> String {
        match self.wait(|e| matches!(e, LinkEvent::Message { .. })) {
            LinkEvent::Message { message, .. } => message,
            _ => unreachable!(),
        }
    }

    pub(crate) fn wait_refused(&self) -> primrose_link::RefusedReason {
        match self.wait(|e| matches!(e, LinkEvent::Refused { .. })) {
            LinkEvent::Refused { reason, .. } => reason,
            _ => unreachable!(),
        }
    }
}

/// Runs a handshake between a and b; returns the sessions of both ends.
pub(crate) fn sessions(nonces: [u8; 2]) -> (Session, Session) {
    let keys = keys(&[1]);
    let dialer_handshake = DialerHandshake::new(identity("a"), None, nonce(nonces[0]));
    let first = dialer_handshake.first_message();
    let acceptor_handshake =
        AcceptorHandshake::new(identity("b"), nonce(nonces[1]), &first).unwrap();
    let (last, dialed) = dialer_handshake
        .finish(&acceptor_handshake.answer(&keys), &keys)
        .unwrap();
    let accepted = acceptor_handshake.finish(&last, &keys).unwrap();
    (dialed, accepted)
}
