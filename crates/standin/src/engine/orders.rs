//! Orders to an engine: load a model version, change the role.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Change that an order requests.
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

/// An order with its fencing number, as received.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct FencedOrder {
    fence: u64,
    #[serde(flatten)]
    order: Order,
}

/// Record of one received order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    /// Fencing number of the order.
    pub fence: u64,
    /// Change that was requested.
    pub order: Order,
    /// Whether the order was executed.
    pub accepted: bool,
}

/// State of an engine that orders can change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OrderState {
    /// Highest fencing number of any executed order.
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
    due: Instant,
}

/// Received orders and the resulting state.
#[derive(Debug)]
pub(crate) struct Orders {
    checks_fence: bool,
    loading_time: Duration,
    state: OrderState,
    loading: Option<Loading>,
    record: Vec<OrderRecord>,
}

impl Orders {
    pub(crate) fn new(
        model: &str,
        version: &str,
        checks_fence: bool,
        loading_time: Duration,
    ) -> Self {
        Self {
            checks_fence,
            loading_time,
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

    /// Resets the state as a restart does; the record of orders stays.
    pub(crate) fn reset(&mut self, model: &str, version: &str) {
        let record = std::mem::take(&mut self.record);
        *self = Self::new(model, version, self.checks_fence, self.loading_time);
        self.record = record;
    }

    /// Records an order and executes it unless its fencing number is refused; returns whether it
    /// was executed.
    pub(crate) fn receive(&mut self, fenced: FencedOrder, now: Instant) -> bool {
        self.finish_loading(now);
        let FencedOrder { fence, order } = fenced;
        let accepted = !self.checks_fence || fence >= self.state.fence;
        if accepted {
            self.state.fence = self.state.fence.max(fence);
            self.execute(&order, now);
        }
        self.record.push(OrderRecord {
            fence,
            order,
            accepted,
        });
        accepted
    }

    /// Returns the state at `now`.
    pub(crate) fn state(&mut self, now: Instant) -> OrderState {
        self.finish_loading(now);
        self.state.clone()
    }

    fn execute(&mut self, order: &Order, now: Instant) {
        match order {
            Order::Load { model, version } => {
                self.state.loading.clone_from(version);
                self.loading = Some(Loading {
                    model: model.clone(),
                    version: version.clone(),
                    due: now + self.loading_time,
                });
                self.finish_loading(now);
            }
            Order::Role { role } => self.state.role.clone_from(role),
        }
    }

    fn finish_loading(&mut self, now: Instant) {
        let is_due = |loading: &mut Loading| loading.due <= now;
        if let Some(loaded) = self.loading.take_if(is_due) {
            self.state.model = loaded.model;
            self.state.version = loaded.version;
            self.state.loading.clear();
        }
    }
}
