//! Sizes at which control is measured.

use std::fmt;
use std::time::Duration;

use primrose_standin::engine::EngineConfig;
use primrose_standin::engine::Pace;

use crate::shape::AccountShape;
use crate::shape::Shape;
use crate::shape::ZoneShape;

/// Pools of engines: one for each model of the plan.
const POOLS: usize = 5;
/// Time between tokens: the target that engines are run at.
const TOKEN_TIME: Duration = Duration::from_millis(36);
/// Slots of each engine.
const SLOTS: u32 = 20;
/// Routers and engines of a neighbouring zone.
const NEIGHBOUR: (usize, usize) = (1, POOLS);

/// How much there is, in the zone that is measured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Size {
    /// Routers.
    pub(super) routers: usize,
    /// Backend servers.
    pub(super) servers: usize,
    /// Client accounts.
    pub(super) accounts: usize,
    /// Short requests a second.
    pub(super) rate: f64,
    /// Long streams beside them.
    pub(super) running: usize,
    /// Small zones beside it.
    pub(super) neighbours: usize,
    /// Servers that the host list shows in the first of these besides its own.
    pub(super) elsewhere: usize,
}

/// The size around which one quantity at a time is changed.
pub(super) const BASE: Size = Size {
    routers: 6,
    servers: 60,
    accounts: 90,
    rate: 60.0,
    running: 0,
    neighbours: 0,
    elsewhere: 0,
};

/// A zone of the plan.
pub(super) const PLANNED: Size = Size {
    routers: 12,
    servers: 150,
    accounts: 450,
    rate: 200.0,
    running: 0,
    neighbours: 1,
    elsewhere: 0,
};

/// A quantity that is changed alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub(super) enum Factor {
    /// Ends of links between routers of the zone.
    #[display("link ends")]
    Links,
    /// Backend servers.
    #[display("servers")]
    Servers,
    /// Client accounts.
    #[display("accounts")]
    Accounts,
    /// Requests a second.
    #[display("requests/s")]
    Rate,
    /// Streams that run.
    #[display("running streams")]
    Running,
    /// Neighbouring zones.
    #[display("neighbours")]
    Neighbours,
    /// Servers listed in another zone.
    #[display("servers elsewhere")]
    Elsewhere,
}

/// All quantities.
pub(super) const FACTORS: [Factor; 7] = [
    Factor::Links,
    Factor::Servers,
    Factor::Accounts,
    Factor::Rate,
    Factor::Running,
    Factor::Neighbours,
    Factor::Elsewhere,
];

impl Factor {
    /// Sizes that differ in this quantity alone.
    pub(super) fn sizes(self) -> [Size; 3] {
        match self {
            Self::Links => [3, 6, 12].map(|routers| Size { routers, ..BASE }),
            Self::Servers => [30, 60, 150].map(|servers| Size { servers, ..BASE }),
            Self::Accounts => [30, 90, 450].map(|accounts| Size { accounts, ..BASE }),
            Self::Rate => [20.0, 60.0, 200.0].map(|rate| Size { rate, ..BASE }),
            Self::Running => [0, 120, 480].map(|running| Size { running, ..BASE }),
            Self::Neighbours => [0, 1, 3].map(|neighbours| Size { neighbours, ..BASE }),
            Self::Elsewhere => [0, 1000, 4550].map(|elsewhere| Size {
                neighbours: 1,
                elsewhere,
                ..BASE
            }),
        }
    }

    /// How much of this quantity a size has.
    pub(super) fn of(self, size: Size) -> f64 {
        match self {
            Self::Links => (size.routers * (size.routers - 1)) as f64,
            Self::Servers => size.servers as f64,
            Self::Accounts => size.accounts as f64,
            Self::Rate => size.rate,
            Self::Running => size.running as f64,
            Self::Neighbours => size.neighbours as f64,
            Self::Elsewhere => size.elsewhere as f64,
        }
    }
}

impl fmt::Display for Size {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{} routers, {} servers, {} accounts, {} requests/s, {} streams, {} neighbours, \
             {} servers elsewhere",
            self.routers,
            self.servers,
            self.accounts,
            self.rate,
            self.running,
            self.neighbours,
            self.elsewhere
        )
    }
}

impl Size {
    /// The deployment of this size; the measured zone comes first.
    pub(super) fn shape(self) -> Shape {
        let base = Shape::three_zones();
        let zone = |name: String, (routers, engines)| ZoneShape {
            name,
            routers,
            engines,
            plains: 1,
        };
        let mut zones = vec![zone("home".to_owned(), (self.routers, self.servers))];
        let neighbours =
            (1..=self.neighbours).map(|place| zone(format!("near-{place}"), NEIGHBOUR));
        zones.extend(neighbours);
        let account = |number| AccountShape {
            name: format!("account-{number:03}"),
            weight: 1,
        };
        Shape {
            zones,
            accounts: (1..=self.accounts).map(account).collect(),
            pools: POOLS,
            slots: (SLOTS, SLOTS),
            engine: EngineConfig {
                batch: SLOTS as usize,
                pace: Pace::Timed {
                    token: TOKEN_TIME,
                    slowdown: 0.0,
                    prefill: Duration::ZERO,
                },
                ..base.engine.clone()
            },
            ..base
        }
    }
}
