//! Encoded form of [`Sums`]: pool names once, then the service of each account by position.
//!
//! A record lists hundreds of accounts and, for each, every pool. Encoded as maps, the repeated
//! names would take most of the space, and a zone's value would exceed the size limit of the
//! key-value service at the planned fleet size.

use std::collections::BTreeMap;

use primrose_core::cost::Service;
use primrose_core::id::AccountId;
use primrose_core::id::PoolId;
use serde::Deserialize;
use serde::Serialize;

use crate::pool::PoolRecord;
use crate::record::AccountRecord;
use crate::record::FleetRecord;
use crate::record::Sums;
use crate::series::Series;

/// Name of an account, its service in each pool (in the order of `pools`), and its series.
type WireAccount = (AccountId, Vec<Service>, Series);

/// Encoded form of [`Sums`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WireSums {
    pools: Vec<(PoolId, PoolRecord)>,
    accounts: Vec<WireAccount>,
    fleet: FleetRecord,
}

impl From<Sums> for WireSums {
    fn from(sums: Sums) -> Self {
        let names: Vec<PoolId> = sums.pools.keys().cloned().collect();
        let to_wire = |(account, record): (AccountId, AccountRecord)| {
            let service = |pool| record.pools.get(pool).copied().unwrap_or(0);
            let services = names.iter().map(service).collect();
            (account, services, record.series)
        };
        Self {
            accounts: sums.accounts.into_iter().map(to_wire).collect(),
            pools: sums.pools.into_iter().collect(),
            fleet: sums.fleet,
        }
    }
}

impl From<WireSums> for Sums {
    fn from(wire: WireSums) -> Self {
        let names: Vec<PoolId> = wire.pools.iter().map(|(name, _)| name.clone()).collect();
        let from_wire = |(account, services, series): WireAccount| {
            let served = names.iter().cloned().zip(services);
            let pools: BTreeMap<PoolId, Service> =
                served.filter(|(_, service)| *service > 0).collect();
            (account, AccountRecord { pools, series })
        };
        Self {
            accounts: wire.accounts.into_iter().map(from_wire).collect(),
            pools: wire.pools.into_iter().collect(),
            fleet: wire.fleet,
        }
    }
}
