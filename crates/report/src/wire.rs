//! How sums are written: names once, then numbers by place.
//!
//! A record names hundreds of accounts and, for each, every pool. Written as maps the names would
//! be most of it, and a zone's value would not fit the key-value service at the planned size.

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

/// One account: its name, its service in each pool by the place of the pool, its series.
type WireAccount = (AccountId, Vec<Service>, Series);

/// Sums as they are written.
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
