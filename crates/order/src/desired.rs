//! Desired and observed state of a server, and the order that leads from one to the other.

use primrose_core::id::Fence;
use primrose_core::table::Matcher;
use primrose_core::table::Table;
use serde::Deserialize;
use serde::Serialize;

/// Desired state of a server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Desired {
    /// Model to serve.
    pub model: String,
    /// Version to load; empty if the table leaves it to the server.
    pub version: String,
    /// Role to take; empty if the table leaves it to the server.
    pub role: String,
}

/// State that a server reports.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Observed {
    /// Highest fencing number of an order that the server has received; 0 if it records none.
    #[serde(default)]
    pub fence: Fence,
    /// Model that the server serves.
    #[serde(default)]
    pub model: String,
    /// Version that is loaded.
    #[serde(default)]
    pub version: String,
    /// Version that is being loaded; empty if none.
    #[serde(default)]
    pub loading: String,
    /// Role of the server.
    #[serde(default)]
    pub role: String,
}

/// An order to a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(untagged)]
pub enum Order {
    /// Loads a version of a model.
    Load {
        /// Name of the model.
        model: String,
        /// Version to load.
        version: String,
    },
    /// Changes the role.
    Role {
        /// Role to take.
        role: String,
    },
}

/// Difference between the desired and the observed state of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Difference {
    /// The server is in its desired state.
    None,
    /// The server is loading a version, so no order is useful yet.
    Busy,
    /// The server needs this order, which loads a version.
    Load(Order),
    /// The server needs this order, which changes its role.
    Role(Order),
}

impl Desired {
    /// Compares the desired with the observed state of a server.
    pub fn difference(&self, observed: &Observed) -> Difference {
        if !observed.loading.is_empty() {
            return Difference::Busy;
        }
        let loaded = self.model == observed.model && self.version == observed.version;
        if !self.version.is_empty() && !loaded {
            return Difference::Load(Order::Load {
                model: self.model.clone(),
                version: self.version.clone(),
            });
        }
        if !self.role.is_empty() && self.role != observed.role {
            let role = self.role.clone();
            return Difference::Role(Order::Role { role });
        }
        Difference::None
    }
}

/// Returns the desired state of the servers of a pool; `None` if the table defines none.
///
/// The model is that of the pool's first route by model, in the order of the route names.
pub fn desired(table: &Table, pool: &str) -> Option<Desired> {
    let row = table.pools.get(pool)?;
    if row.model_version.is_empty() {
        return None;
    }
    let mut routes = table.routes.values().filter(|route| route.pool == pool);
    let model = routes.find_map(|route| match &route.matcher {
        Matcher::Model(model) => Some(model.clone()),
        Matcher::Path(_) => None,
    })?;
    Some(Desired {
        model,
        version: row.model_version.clone(),
        role: String::new(),
    })
}
