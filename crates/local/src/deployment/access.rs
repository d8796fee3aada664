//! What a deployment shows of its routers and stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;

use primrose_core::clock::Clock;
use primrose_standin::engine::Engine;
use primrose_standin::hosts::HostRegistry;
use primrose_standin::hosts::Hosts;
use primrose_standin::kv::Kv;
use primrose_standin::plain::Plain;
use primrosed::router::Router;

use crate::deployment::Deployment;
use crate::documents;
use crate::shape::Shape;

impl Deployment {
    /// How large the deployment is.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// The clock of all routers.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// Count of router places, stopped ones included.
    pub fn places(&self) -> usize {
        self.routers.len()
    }

    /// Whether a router runs at a place.
    pub fn is_running(&self, place: usize) -> bool {
        self.routers[place].is_some()
    }

    /// A running router.
    ///
    /// # Panics
    /// If the router was stopped.
    pub fn router(&self, place: usize) -> &Router {
        let placed = self.routers[place].as_ref();
        &placed.expect("the router is running").router
    }

    /// Availability zone of a running router.
    ///
    /// # Panics
    /// If the router was stopped.
    pub fn zone_of(&self, place: usize) -> &str {
        let placed = self.routers[place].as_ref();
        &placed.expect("the router is running").zone
    }

    /// State of a running router, as its operator listener shows it.
    pub fn status(&self, place: usize) -> Option<serde_json::Value> {
        let placed = self.routers[place].as_ref()?;
        crate::client::status(placed.router.operators())
    }

    /// All engines, zone by zone.
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// All plain services, zone by zone.
    pub fn plains(&self) -> &[Plain] {
        &self.plains
    }

    /// The engine for single requests, if the shape has one.
    pub fn probe(&self) -> Option<&Engine> {
        self.probe.as_ref()
    }

    /// The key-value service.
    pub fn kv(&self) -> &Kv {
        &self.kv
    }

    /// The host list.
    pub fn board(&self) -> &HostRegistry {
        &self.board
    }

    /// The service that serves the host list.
    pub fn hosts(&self) -> &Hosts {
        &self.hosts
    }

    /// Address of the host list.
    pub fn hosts_addr(&self) -> SocketAddr {
        self.hosts.addr()
    }

    /// Bearer key of an account.
    pub fn bearer(&self, account: &str) -> String {
        documents::bearer(account)
    }
}
