//! Configuration of a writer.

use std::time::Duration;

use primrose_retry::BackoffConfig;

/// Times and limits of a writer. All but `holder` and `seed` are the same on every router.
#[derive(Debug, Clone)]
pub struct OrderConfig {
    /// Prefix of all keys of the fleet.
    pub prefix: String,
    /// Name of this process, written into keys for operators.
    pub holder: String,
    /// Time to live of the lease.
    pub lease_ttl: Duration,
    /// Time before the end of the lease in which no order is sent.
    pub send_margin: Duration,
    /// Minimum time between two reads of servers' keys by a writer; limits its rate of calls to the
    /// key-value service.
    pub start_interval: Duration,
    /// Time between two observations of a server in its desired state.
    pub observe_interval: Duration,
    /// Time between two observations of a server that carries out an order.
    pub settle_interval: Duration,
    /// Time after which an order that does not show in the server's state is sent again.
    pub accept_timeout: Duration,
    /// Time after which a server that still carries out an order is given up for now.
    pub settle_timeout: Duration,
    /// Time after which an unreachable server no longer counts as loading.
    pub unreachable_timeout: Duration,
    /// Maximum number of concurrent loads in the whole fleet.
    pub max_loads: u32,
    /// Time for which an unused lease is kept.
    pub lease_linger: Duration,
    /// Backoff after failures.
    pub backoff: BackoffConfig,
    /// Seed of the random delays; different in each process.
    pub seed: u64,
}

impl OrderConfig {
    /// Creates the default configuration of a process.
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

    /// Returns how long a new holder waits before it sends an order, if the lease of the previous
    /// holder has expired.
    ///
    /// This is safe even if the service ended the old lease too early: the time exceeds a whole
    /// lease, so whatever its last renewal was, the old holder has stopped by its own clock.
    pub fn takeover_delay(&self) -> Duration {
        self.lease_ttl + self.send_margin
    }

    /// Returns the time after a renewal of the lease during which orders may be sent.
    pub(crate) fn send_window(&self) -> Duration {
        self.lease_ttl.saturating_sub(self.send_margin)
    }

    /// Returns the time between two renewals of the lease.
    pub(crate) fn renew_interval(&self) -> Duration {
        self.lease_ttl / 3
    }
}
