//! What a router needs of the world outside.

use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use primrose_core::clock::Clock;
use primrose_core::id::Incarnation;
use primrose_link::Keys;
use primrose_store::hosts::HostList;
use primrose_store::store::Store;

/// Gives the host list of one service.
pub type HostLists = Arc<dyn Fn(&str) -> Arc<dyn HostList> + Send + Sync>;

/// How routers share slots; anything but [`Sharing::Fleet`] is a baseline for measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Sharing {
    /// Fair over the whole fleet.
    #[default]
    Fleet,
    /// First come first served at each zone's dispatcher.
    FirstCome,
    /// Fair in each router alone, over a fixed part of its zone's slots.
    Alone {
        /// Place of this router in its zone, from 0.
        index: u32,
        /// Routers of the zone.
        count: u32,
    },
}

/// What a router needs of the world outside.
#[derive(Clone)]
pub struct Environment {
    /// Reads the time.
    pub clock: Arc<dyn Clock>,
    /// The platform's key-value service.
    pub store: Arc<dyn Store>,
    /// The platform's host list; nothing if the deployment has none.
    pub hosts: Option<HostLists>,
    /// Keys of the peer links.
    pub keys: Keys,
    /// How slots are shared.
    pub sharing: Sharing,
    /// Number of this run of the process.
    pub incarnation: Incarnation,
    /// Renders the metrics; nothing if they are not exported.
    pub metrics: Option<PrometheusHandle>,
}
