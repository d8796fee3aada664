//! Settings and parts of the router processes of a deployment.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_link::Key;
use primrose_link::Keys;
use primrose_settings::Day;
use primrose_settings::Limits;
use primrose_settings::Listen;
use primrose_settings::Peers;
use primrose_settings::Platform;
use primrose_settings::Router as RouterSettings;
use primrose_settings::Security;
use primrose_settings::Settings;
use primrose_store::consul::ConsulConfig;
use primrose_store::consul::ConsulHosts;
use primrose_store::consul::ConsulStore;
use primrosed::router::Environment;
use primrosed::router::Sharing;

use crate::cut::Cut;
use crate::deployment::Deployment;
use crate::documents::PREFIX;
use crate::shape::Policy;

/// Key of the peer links; they never leave this process.
const PEER_KEY: &[u8] = b"the peer key of a local deployment, 32 bytes and more";
/// Largest head of a request, in bytes.
const HEADER_BYTES: usize = 16 << 10;
/// Largest body of a request, in bytes.
const BODY_BYTES: usize = 1 << 20;
/// Memory for the bodies and answers of all callers of a router, in bytes.
const BUFFERED_BYTES: usize = 256 << 20;
/// Most connections of callers to one router.
const CONNECTIONS: usize = 4096;
/// Longest time for a request's head.
const CALLER_TIME: Duration = Duration::from_secs(10);
/// Longest silence of a backend server.
const SERVER_TIME: Duration = Duration::from_secs(30);
/// Longest graceful shutdown.
pub(super) const SHUTDOWN: Duration = Duration::from_secs(30);

impl Deployment {
    pub(super) fn sharing(&self, index: usize, count: usize) -> Sharing {
        match self.shape.policy {
            Policy::Fleet => Sharing::Fleet,
            Policy::FirstCome => Sharing::FirstCome,
            Policy::Alone => Sharing::Alone {
                index: u32::try_from(index).unwrap_or(u32::MAX),
                count: u32::try_from(count).unwrap_or(u32::MAX),
            },
        }
    }

    pub(super) fn settings(&self, zone: &str, host: &str) -> Settings {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            router: RouterSettings {
                host: host.to_owned(),
                zone: zone.to_owned(),
                region: "local".to_owned(),
            },
            listen: Listen {
                callers: any,
                peers: any,
                operators: any,
            },
            peers: Peers { seeds: Vec::new() },
            platform: Platform {
                addresses: vec![self.kv.addr()],
                hosts: vec![self.hosts.addr()],
                prefix: PREFIX.to_owned(),
            },
            security: Security {
                peer_key_file: "unused".into(),
            },
            limits: Limits {
                header_bytes: HEADER_BYTES,
                body_bytes: BODY_BYTES,
                buffered_bytes: BUFFERED_BYTES,
                connections: CONNECTIONS,
                header_timeout: CALLER_TIME,
                first_byte_timeout: SERVER_TIME,
                shutdown_timeout: SHUTDOWN,
            },
            day: Day {
                time_zone: "UTC".to_owned(),
            },
        }
    }

    pub(super) fn parts(&self, sharing: Sharing, cut: &Cut) -> Environment {
        let config = ConsulConfig::new(vec![self.kv.addr()]);
        let hosts = ConsulConfig::new(vec![self.hosts.addr()]);
        let key = Key::from_bytes(PEER_KEY).expect("the key is long enough");
        let from_hosts = cut.clone();
        Environment {
            clock: Arc::clone(&self.clock),
            store: cut.store(ConsulStore::new(config)),
            hosts: Some(Arc::new(move |service: &str| {
                from_hosts.hosts(ConsulHosts::new(hosts.clone(), service))
            })),
            keys: Keys::new(vec![key]).expect("there is a key"),
            sharing,
            incarnation: self.incarnation,
            metrics: None,
        }
    }
}
