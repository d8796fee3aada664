//! Records that routers exchange about requests that were in flight on a server when it died.
//!
//! Records only accumulate: a strike is never changed, and it is cleared or lifted by a record of
//! its own. Merging is a union, so records may arrive late, more than once and in any order. The
//! last field of each record is a time: that of the strike for a strike or a clearing, and for a
//! lift the time up to which strikes are cancelled.

use serde::Deserialize;
use serde::Serialize;

use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::AccountId;
use primrose_core::id::AttemptId;
use primrose_core::id::PoolId;
use primrose_core::id::RouteId;
use primrose_core::id::ServerId;

/// Wall-clock time in milliseconds since the Unix epoch.
pub type UnixMillis = u64;

/// Identifies one run of a server's process; 0 if unknown.
pub type ServerRun = u64;

/// The death of a backend server, as one router saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Death {
    /// The server that died.
    pub server: ServerId,
    /// The run of the server's process that ended.
    pub run: ServerRun,
    /// Pool of the server.
    pub pool: PoolId,
    /// Attempts of this router that were in flight on the server.
    pub in_flight: Vec<InFlightAttempt>,
}

/// An attempt that was in flight on a server when the server died.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlightAttempt {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Client account, for the operator's list.
    pub account: AccountId,
    /// Route, for the operator's list.
    pub route: RouteId,
    /// Wall-clock time at which the attempt was sent.
    pub since: UnixMillis,
}

/// Records that a request was in flight on a server when the server died.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// Fingerprint of the request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// The attempt that was in flight; identifies the strike.
    #[serde(rename = "i")]
    pub attempt: AttemptId,
    /// The server that died.
    #[serde(rename = "v")]
    pub server: ServerId,
    /// The run of the server's process that ended.
    #[serde(rename = "u")]
    pub run: ServerRun,
    /// Pool of the server.
    #[serde(rename = "p")]
    pub pool: PoolId,
    /// Client account of the request.
    #[serde(rename = "a")]
    pub account: AccountId,
    /// Route of the request.
    #[serde(rename = "o")]
    pub route: RouteId,
    /// Time at which the attempt was sent, by the wall clock of its router.
    #[serde(rename = "b")]
    pub since: UnixMillis,
    /// Whether the death is only suspected: the server was silent when the attempt was abandoned.
    #[serde(rename = "w", default, skip_serializing_if = "is_false")]
    pub weak: bool,
    /// Time at which the death was detected, by the wall clock of the router that detected it.
    #[serde(rename = "t")]
    pub at: UnixMillis,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Cancels one strike, because the request has completed since.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clearing {
    /// Fingerprint of the request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Attempt of the strike.
    #[serde(rename = "i")]
    pub attempt: AttemptId,
    /// Time of the strike.
    #[serde(rename = "t")]
    pub at: UnixMillis,
}

/// An operator's command that cancels all strikes of a fingerprint up to a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lift {
    /// Fingerprint of the request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Strikes up to this time are cancelled.
    #[serde(rename = "t")]
    pub at: UnixMillis,
}

/// New records, to be merged by other routers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// New strikes.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub strikes: Vec<Strike>,
    /// New clearings.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub clearings: Vec<Clearing>,
    /// New lifts.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub lifts: Vec<Lift>,
}

impl Message {
    /// Whether the message has no records.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty() && self.clearings.is_empty() && self.lifts.is_empty()
    }
}
