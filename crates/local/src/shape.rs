//! How large a deployment is.

use std::time::Duration;

use primrose_core::table::Weight;
use primrose_standin::engine::EngineConfig;
use primrose_standin::engine::Pace;

/// One availability zone.
#[derive(Debug, Clone)]
pub struct ZoneShape {
    /// Name.
    pub name: String,
    /// Entry hosts.
    pub routers: usize,
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub plains: usize,
}

/// One client account.
#[derive(Debug, Clone)]
pub struct AccountShape {
    /// Name.
    pub name: String,
    /// Weight in every pool.
    pub weight: Weight,
}

/// How slots are shared; anything but [`Policy::Fleet`] is a baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Policy {
    /// Fair over the whole fleet.
    #[display("fleet")]
    Fleet,
    /// First come first served.
    #[display("first-come")]
    FirstCome,
    /// Fair in each router alone.
    #[display("router-alone")]
    Alone,
}

/// A deployment.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Availability zones.
    pub zones: Vec<ZoneShape>,
    /// Client accounts.
    pub accounts: Vec<AccountShape>,
    /// Pools of engines; the engines of each zone are spread over them.
    pub pools: usize,
    /// Lowest and highest slot limit of an engine.
    pub slots: (u32, u32),
    /// Model version that the table asks of the engines; empty for none.
    pub version: String,
    /// How engines behave; the address is set for each.
    pub engine: EngineConfig,
    /// One more engine in a pool of its own, for single requests beside the load.
    pub probe: Option<EngineConfig>,
    /// How long a plain service takes for a call.
    pub plain_time: Duration,
    /// Deadline of the routes.
    pub deadline: Duration,
    /// Requests of one account that may wait at one router.
    pub queue: usize,
    /// How slots are shared.
    pub policy: Policy,
    /// How long a change of the host list takes to show.
    pub host_lag: Duration,
}

/// Model that the engines serve.
pub(crate) const MODEL: &str = "draft-7b";
/// Model that the engine for single requests serves.
pub(crate) const PROBE_MODEL: &str = "probe-1b";
/// Path of the plain services.
pub(crate) const ORDER_PATH: &str = "/orders";

/// Name of a pool of engines, and of their service; the first is 0.
pub(crate) fn pool_name(number: usize) -> String {
    match number {
        0 => "drafting".to_owned(),
        _ => format!("drafting-{number}"),
    }
}

/// Name of the route to a pool of engines.
pub(crate) fn route_name(number: usize) -> String {
    match number {
        0 => "drafts".to_owned(),
        _ => format!("drafts-{number}"),
    }
}

/// Model that the engines of a pool serve.
pub(crate) fn model_name(number: usize) -> String {
    match number {
        0 => MODEL.to_owned(),
        _ => format!("{MODEL}-{number}"),
    }
}

fn zones(names: [&str; 3], routers: [usize; 3], engines: [usize; 3]) -> Vec<ZoneShape> {
    let mut zones = Vec::new();
    for (place, name) in names.into_iter().enumerate() {
        zones.push(ZoneShape {
            name: name.to_owned(),
            routers: routers[place],
            engines: engines[place],
            plains: 1,
        });
    }
    zones
}

fn accounts(prefix: &str, count: usize) -> Vec<AccountShape> {
    let account = |number| AccountShape {
        name: format!("{prefix}-{number:02}"),
        weight: 1,
    };
    (1..=count).map(account).collect()
}

impl Shape {
    /// Three zones with one router and one engine each.
    pub fn three_zones() -> Self {
        Self {
            zones: zones(["barasat", "madhyamgram", "habra"], [1, 1, 1], [1, 1, 1]),
            accounts: accounts("parish", 3),
            pools: 1,
            slots: (1, 8),
            version: String::new(),
            engine: EngineConfig {
                model: MODEL.to_owned(),
                pace: Pace::Timed {
                    token: Duration::from_millis(15),
                    slowdown: 0.02,
                    prefill: Duration::from_micros(200),
                },
                ..EngineConfig::default()
            },
            probe: None,
            plain_time: Duration::from_millis(5),
            deadline: Duration::from_secs(30),
            queue: 100,
            policy: Policy::Fleet,
            host_lag: Duration::from_millis(200),
        }
    }

    /// The Utility of today: nine routers, ten drafting and three dispatch workers, 16 accounts.
    pub fn utility() -> Self {
        Self {
            zones: zones(["barasat", "madhyamgram", "habra"], [3, 3, 3], [4, 3, 3]),
            accounts: accounts("parish", 16),
            ..Self::three_zones()
        }
    }

    /// The Co-op of today: eight routers, 20 model and three auction-floor workers, 16 accounts.
    pub fn co_op() -> Self {
        Self {
            zones: zones(["oudtshoorn", "george", "mosselbaai"], [3, 3, 2], [7, 7, 6]),
            accounts: accounts("member", 16),
            ..Self::three_zones()
        }
    }
}
