//! External services and process identity that a router is started with.

use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use primrose_core::clock::Clock;
use primrose_core::id::Incarnation;
use primrose_link::Keys;
use primrose_store::hosts::HostList;
use primrose_store::store::Store;

/// Returns the host list of a service.
pub type HostLists = Arc<dyn Fn(&str) -> Arc<dyn HostList> + Send + Sync>;

/// How routers share slots; anything but [`Sharing::Fleet`] is a baseline for measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Sharing {
    /// Fair share over the whole fleet.
    #[default]
    Fleet,
    /// First come first served at each zone's dispatcher.
    FirstCome,
    /// Fair share within each router alone, over a fixed part of its zone's slots.
    Alone {
        /// Zero-based index of this router in its zone.
        index: u32,
        /// Number of routers in the zone.
        count: u32,
    },
}

/// External services and process identity that a router is started with.
#[derive(Clone)]
pub struct Environment {
    /// Clock of the router.
    pub clock: Arc<dyn Clock>,
    /// Key-value service of the platform.
    pub store: Arc<dyn Store>,
    /// Host lists of the platform; `None` if the deployment has none.
    pub hosts: Option<HostLists>,
    /// Keys of the peer links.
    pub keys: Keys,
    /// Policy for sharing slots.
    pub sharing: Sharing,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Handle that renders the metrics; `None` if they are not exported.
    pub metrics: Option<PrometheusHandle>,
}
