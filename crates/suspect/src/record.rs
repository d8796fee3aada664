//! What routers tell one another about requests that were on a server when it died.
//!
//! All records only accumulate: a strike is never changed, and what takes it back is a record of
//! its own. Merging is a union, so records may arrive late, twice and in any order. Each record
//! ends with the time of the strike that it belongs to.

use serde::Deserialize;
use serde::Serialize;

use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::AccountId;
use primrose_core::id::AttemptId;
use primrose_core::id::PoolId;
use primrose_core::id::RouteId;
use primrose_core::id::ServerId;

/// Milliseconds of the wall clock since the Unix epoch.
pub type UnixMillis = u64;

/// Number of one run of a server's process; 0 if it is not known.
pub type ServerRun = u64;

/// A backend server that died.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Death {
    /// The server.
    pub server: ServerId,
    /// Which run of its process ended.
    pub run: ServerRun,
    /// Its pool.
    pub pool: PoolId,
    /// Requests of this router that were on it.
    pub in_flight: Vec<InFlightAttempt>,
}

/// A request that was on a server when it died.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlightAttempt {
    /// The attempt that ran there.
    pub attempt: AttemptId,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Client account, for the operator's list.
    pub account: AccountId,
    /// Route, for the operator's list.
    pub route: RouteId,
    /// When the attempt was sent, by the wall clock.
    pub since: UnixMillis,
}

/// One fingerprint's presence at one death.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// Fingerprint of the request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// The attempt; tells two strikes apart.
    #[serde(rename = "i")]
    pub attempt: AttemptId,
    /// The server that died.
    #[serde(rename = "v")]
    pub server: ServerId,
    /// Which run of its process ended.
    #[serde(rename = "u")]
    pub run: ServerRun,
    /// Its pool.
    #[serde(rename = "p")]
    pub pool: PoolId,
    /// Client account of the request.
    #[serde(rename = "a")]
    pub account: AccountId,
    /// Route of the request.
    #[serde(rename = "o")]
    pub route: RouteId,
    /// When the attempt was sent, by the wall clock of its router.
    #[serde(rename = "b")]
    pub since: UnixMillis,
    /// The server was not seen to die; it was silent when the attempt was given up.
    #[serde(rename = "w", default, skip_serializing_if = "is_false")]
    pub weak: bool,
    /// When the death was noticed, by the wall clock of the router that noticed it.
    #[serde(rename = "t")]
    pub at: UnixMillis,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// A strike that was taken back, because the request has run to its end since.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clearing {
    /// Fingerprint of the request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// The attempt that the strike names.
    #[serde(rename = "i")]
    pub attempt: AttemptId,
    /// Time of the strike.
    #[serde(rename = "t")]
    pub at: UnixMillis,
}

/// An operator's word that takes back all strikes up to a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lift {
    /// Fingerprint of the request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Strikes up to this time no longer count.
    #[serde(rename = "t")]
    pub at: UnixMillis,
}

/// Records for the other routers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Strikes.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub strikes: Vec<Strike>,
    /// Clearings.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub clearings: Vec<Clearing>,
    /// Lifts.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub lifts: Vec<Lift>,
}

impl Message {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty() && self.clearings.is_empty() && self.lifts.is_empty()
    }
}
