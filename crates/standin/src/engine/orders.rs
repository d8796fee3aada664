//! Orders that an engine takes: load a model version, change role.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
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

/// An order as it is sent.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct FencedOrder {
    fence: u64,
    #[serde(flatten)]
    order: Order,
}

/// One order that arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    /// Fencing number that it carried.
    pub fence: u64,
    /// What it asked for.
    pub order: Order,
    /// Whether it was carried out.
    pub accepted: bool,
}

/// What the orders have made of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OrderState {
    /// Highest fencing number that an order carried.
    pub fence: u64,
    /// Model that is served.
    pub model: String,
    /// Version that is loaded.
    pub version: String,
    /// Version that is being loaded; empty if none.
    pub loading: String,
    /// Role; empty until an order sets it.
    pub role: String,
}

#[derive(Debug)]
struct Loading {
    model: String,
    version: String,
    end: Instant,
}

/// Orders so far and their effect.
#[derive(Debug)]
pub(crate) struct Orders {
    checks: bool,
    time: Duration,
    state: OrderState,
    loading: Option<Loading>,
    record: Vec<OrderRecord>,
}

impl Orders {
    pub(crate) fn new(model: &str, version: &str, checks: bool, time: Duration) -> Self {
        Self {
            checks,
            time,
            state: OrderState {
                fence: 0,
                model: model.to_owned(),
                version: version.to_owned(),
                loading: String::new(),
                role: String::new(),
            },
            loading: None,
            record: Vec::new(),
        }
    }

    pub(crate) fn record(&self) -> &[OrderRecord] {
        &self.record
    }

    /// Forgets what is loaded, as a restart does; the record stays.
    pub(crate) fn reset(&mut self, model: &str, version: &str) {
        let record = std::mem::take(&mut self.record);
        *self = Self::new(model, version, self.checks, self.time);
        self.record = record;
    }

    /// Carries out an order; false if its fencing number is refused.
    pub(crate) fn take(&mut self, fenced: FencedOrder, now: Instant) -> bool {
        self.settle(now);
        let FencedOrder { fence, order } = fenced;
        let accepted = !self.checks || fence >= self.state.fence;
        if accepted {
            self.state.fence = self.state.fence.max(fence);
            self.carry_out(&order, now);
        }
        self.record.push(OrderRecord {
            fence,
            order,
            accepted,
        });
        accepted
    }

    /// Returns the state at this moment.
    pub(crate) fn state(&mut self, now: Instant) -> OrderState {
        self.settle(now);
        self.state.clone()
    }

    fn carry_out(&mut self, order: &Order, now: Instant) {
        match order {
            Order::Load { model, version } => {
                self.state.loading.clone_from(version);
                self.loading = Some(Loading {
                    model: model.clone(),
                    version: version.clone(),
                    end: now + self.time,
                });
                self.settle(now);
            }
            Order::Role { role } => self.state.role.clone_from(role),
        }
    }

    fn settle(&mut self, now: Instant) {
        let ready = |loading: &mut Loading| loading.end <= now;
        if let Some(loaded) = self.loading.take_if(ready) {
            self.state.model = loaded.model;
            self.state.version = loaded.version;
            self.state.loading.clear();
        }
    }
}
