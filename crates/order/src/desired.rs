//! What a server should be, what it is, and the order that leads from one to the other.

use primrose_core::id::Fence;
use primrose_core::table::Matcher;
use primrose_core::table::Table;
use serde::Deserialize;
use serde::Serialize;

/// What a server should be.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Desired {
    /// Model to serve.
    pub model: String,
    /// Version to have loaded; empty if the table leaves it to the server.
    pub version: String,
    /// Role to have; empty if the table leaves it to the server.
    pub role: String,
}

/// What a server says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Observed {
    /// Highest fencing number that an order carried; 0 if the server keeps none.
    #[serde(default)]
    pub fence: Fence,
    /// Model that is served.
    #[serde(default)]
    pub model: String,
    /// Version that is loaded.
    #[serde(default)]
    pub version: String,
    /// Version that is being loaded; empty if none.
    #[serde(default)]
    pub loading: String,
    /// Role.
    #[serde(default)]
    pub role: String,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(untagged)]
pub enum Order {
    /// Load a version of a model.
    Load {
        /// Name of the model.
        model: String,
        /// Version to load.
        version: String,
    },
    /// Change the role.
    Role {
        /// Role to take.
        role: String,
    },
}

/// How a server differs from what it should be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Difference {
    /// It does not differ.
    None,
    /// It is loading something, so that no order makes sense yet.
    Busy,
    /// It needs this load.
    Load(Order),
    /// It needs this order, which loads nothing.
    Role(Order),
}

impl Desired {
    /// Compares with what a server says of itself.
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

/// Returns what the servers of a pool should be; `None` if the table orders nothing.
///
/// The model is that of the pool's first route by model, in the order of their names.
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
