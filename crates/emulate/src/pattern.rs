//! Load patterns and the disturbances in them.

use std::time::Duration;

/// Requests of one kind: their rate, sizes and time limits.
#[derive(Debug, Clone, Copy)]
pub struct RequestClass {
    /// Requests per second, over all zones.
    pub rate: f64,
    /// Number of different shared prefixes.
    pub prefixes: u64,
    /// Tokens of a shared prefix.
    pub shared_tokens: u64,
    /// Prompt tokens after the shared prefix, on average.
    pub own_tokens: u64,
    /// Tokens generated, on average.
    pub output_tokens: u64,
    /// Time within which the first token should arrive.
    pub objective: Duration,
    /// Time from arrival after which the request expires.
    pub timeout: Duration,
    /// Worth of a response whose first token is in time, for a request of average size.
    pub worth: f64,
}

/// Deviation from the usual load, or a fault.
#[derive(Debug, Clone, Copy)]
pub enum Disturbance {
    /// An account sends a multiple of its usual requests.
    AccountSurge {
        /// The account.
        account: usize,
        /// Factor on the request rate.
        factor: f64,
    },
    /// A share of a class's requests uses one shared prefix.
    HotPrefix {
        /// The class.
        class: usize,
        /// Share of the class's requests.
        share: f64,
    },
    /// The requests of a class arrive at a multiple of their usual rate.
    Burst {
        /// The class.
        class: usize,
        /// Factor on the request rate.
        factor: f64,
    },
    /// Servers lose their requests and cached prefixes and stay down for the whole interval.
    ServerCrash {
        /// Number of servers.
        servers: usize,
    },
    /// Servers take longer for every step.
    SlowServers {
        /// Number of servers.
        servers: usize,
        /// Factor on the duration of a step.
        factor: f64,
    },
    /// Zones are partitioned: gateways receive digests from and reach servers in their own zone
    /// only.
    ZonePartition,
    /// Callers retry immediately instead of after the time that the refusal names.
    ImmediateRetries {
        /// Share of the callers.
        share: f64,
        /// Maximum number of retries of a request.
        retries: u32,
    },
}

/// A disturbance and the interval in which it is active.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledDisturbance {
    /// Start in simulated time; requests arrive from second one on.
    pub from: Duration,
    /// End in simulated time, exclusive.
    pub until: Duration,
    /// The disturbance.
    pub disturbance: Disturbance,
}

/// Load, size and disturbances of a simulated deployment.
#[derive(Debug, Clone)]
pub struct Pattern {
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Number of client accounts; the first one sends the most requests.
    pub accounts: usize,
    /// Exponent of the Zipf distribution of requests over accounts: the n-th account's share is
    /// proportional to n to the power of minus this.
    pub skew: f64,
    /// Factor on the request rates of all classes.
    pub load: f64,
    /// Number of gateways.
    pub gateways: usize,
    /// Accounts whose callers all reach one gateway, each account another one; those of the others reach
    /// all gateways.
    pub single_gateway: Vec<usize>,
    /// Time in which the gateways exchange digests before requests arrive. Many of them need it to choose
    /// relays.
    pub lead: Duration,
    /// Number of availability zones; gateways and servers are assigned to them round-robin.
    pub zones: usize,
    /// Number of backend servers.
    pub servers: usize,
    /// Configured token rate in tokens per second, divided among the accounts.
    pub token_rate: u64,
    /// Time in which requests arrive.
    pub duration: Duration,
    /// Disturbances of the load.
    pub disturbances: Vec<ScheduledDisturbance>,
}

impl Default for Pattern {
    /// The usual mix of the larger existing deployment at peak load, without disturbances.
    fn default() -> Self {
        let class = |rate,
                     prefixes,
                     shared_tokens,
                     own_tokens,
                     output_tokens,
                     objective,
                     timeout,
                     worth| RequestClass {
            rate,
            prefixes,
            shared_tokens,
            own_tokens,
            output_tokens,
            objective: Duration::from_millis(objective),
            timeout: Duration::from_secs(timeout),
            worth,
        };
        Self {
            classes: vec![
                class(32.9, 116, 13_300, 3_720, 120, 600, 8, 3.7),
                class(30.0, 106, 6_300, 2_890, 52, 600, 5, 2.6),
                class(62.2, 146, 350, 1_110, 172, 400, 10, 0.32),
            ],
            accounts: 16,
            skew: 1.0,
            load: 1.1,
            gateways: 8,
            single_gateway: Vec::new(),
            lead: Duration::ZERO,
            zones: 3,
            servers: 9,
            token_rate: 340_000,
            duration: Duration::from_secs(24),
            disturbances: Vec::new(),
        }
    }
}

impl Pattern {
    /// Adds a disturbance that is active from one second until another.
    pub fn with_disturbance(mut self, from: u64, until: u64, disturbance: Disturbance) -> Self {
        self.disturbances.push(ScheduledDisturbance {
            from: Duration::from_secs(from),
            until: Duration::from_secs(until),
            disturbance,
        });
        self
    }

    /// Disturbances that are active at a time.
    pub fn disturbances_at(&self, now: Duration) -> impl Iterator<Item = Disturbance> + '_ {
        let active = self.disturbances.iter();
        let active = active.filter(move |scheduled| scheduled.from <= now && now < scheduled.until);
        active.map(|scheduled| scheduled.disturbance)
    }
}

/// Named patterns of the `heavy` example and the tests.
pub fn named_patterns() -> Vec<(&'static str, Pattern)> {
    let usual = Pattern::default;
    vec![
        ("usual", usual()),
        (
            "one-large-account",
            usual().with_disturbance(
                6,
                18,
                Disturbance::AccountSurge {
                    account: 5,
                    factor: 20.0,
                },
            ),
        ),
        (
            "hot-part",
            usual().with_disturbance(
                6,
                18,
                Disturbance::HotPrefix {
                    class: 0,
                    share: 0.4,
                },
            ),
        ),
        (
            "burst-of-long-prompts",
            usual().with_disturbance(
                8,
                14,
                Disturbance::Burst {
                    class: 0,
                    factor: 2.5,
                },
            ),
        ),
        (
            "servers-lost",
            usual().with_disturbance(8, 14, Disturbance::ServerCrash { servers: 3 }),
        ),
        (
            "servers-slow",
            usual().with_disturbance(
                8,
                18,
                Disturbance::SlowServers {
                    servers: 2,
                    factor: 4.0,
                },
            ),
        ),
        (
            "zone-cut",
            usual().with_disturbance(8, 15, Disturbance::ZonePartition),
        ),
        (
            "impatient-callers",
            Pattern {
                load: 1.6,
                ..usual()
            }
            .with_disturbance(
                4,
                18,
                Disturbance::ImmediateRetries {
                    share: 0.3,
                    retries: 3,
                },
            ),
        ),
    ]
}
