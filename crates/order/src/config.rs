//! Times and limits of a writer.

use std::time::Duration;

use primrose_retry::BackoffConfig;

/// Times and limits of a writer; the same on every router of the fleet.
#[derive(Debug, Clone)]
pub struct OrderConfig {
    /// What every key of the fleet begins with.
    pub prefix: String,
    /// Name of this process, for whoever reads the keys.
    pub holder: String,
    /// Time to live of the lease.
    pub lease_ttl: Duration,
    /// No order is sent in this last part of the lease.
    pub send_margin: Duration,
    /// Time between two servers that a writer begins to order; bounds its calls to the service.
    pub start_interval: Duration,
    /// Time between two looks at a server that is as it should be.
    pub observe_interval: Duration,
    /// Time between two looks at a server that carries out an order.
    pub settle_interval: Duration,
    /// Longest time until an order shows in the server's state; then it is sent again.
    pub accept_timeout: Duration,
    /// Longest time that a server takes to carry out an order.
    pub settle_timeout: Duration,
    /// Time after which a server that cannot be reached no longer counts as loading.
    pub unreachable_timeout: Duration,
    /// Loads that may be under way in the whole fleet.
    pub max_loads: u32,
    /// How long an unused lease is kept.
    pub lease_linger: Duration,
    /// Delays after failures.
    pub backoff: BackoffConfig,
    /// Seed of the random delays; another one in each process.
    pub seed: u64,
}

impl OrderConfig {
    /// Makes the default configuration of a process.
    pub fn new(prefix: impl Into<String>, holder: impl Into<String>, seed: u64) -> Self {
        Self {
            prefix: prefix.into(),
            holder: holder.into(),
            lease_ttl: Duration::from_secs(45),
            send_margin: Duration::from_secs(5),
            start_interval: Duration::from_secs(1),
            observe_interval: Duration::from_secs(10),
            settle_interval: Duration::from_secs(1),
            accept_timeout: Duration::from_secs(5),
            settle_timeout: Duration::from_secs(15 * 60),
            unreachable_timeout: Duration::from_secs(2 * 60),
            max_loads: 8,
            lease_linger: Duration::from_secs(20),
            backoff: BackoffConfig {
                base: Duration::from_secs(1),
                cap: Duration::from_secs(60),
            },
            seed,
        }
    }

    /// Returns how long the successor of a lapsed holder waits before it sends an order.
    ///
    /// It does not rest on the service having ended the old lease in time: counted from any renewal
    /// that the old holder may have seen, that holder has stopped by its own clock.
    pub fn takeover_delay(&self) -> Duration {
        self.lease_ttl + self.send_margin
    }

    /// Returns the part of the lease, counted from its last renewal, in which orders are sent.
    pub(crate) fn send_window(&self) -> Duration {
        self.lease_ttl.saturating_sub(self.send_margin)
    }

    /// Returns the time between renewals.
    pub(crate) fn renew_interval(&self) -> Duration {
        self.lease_ttl / 3
    }
}
