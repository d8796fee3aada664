//! Origins of streams: at which build a stream goes on that a caller takes up.

use std::net::IpAddr;

use primrose_core::clock::Mono;

use super::roles::Role;
use super::Fleet;
use crate::catalog::Route;
use crate::digest::Digest;
use crate::digest::DigestScope;
use crate::entry::BuildId;
use crate::entry::ServerEntry;
use crate::origin::OriginHistory;
use crate::origin::OriginReport;
use crate::origin::StreamId;
use crate::origin::StreamOrigin;

/// Maximum number of records in the digest of one gateway; more follow in the next ones.
const MAX_PUBLISHED: usize = 50;
/// Maximum number of records that a relay passes on in one view.
const MAX_PASSED_ON: usize = 2_000;

impl Fleet {
    /// Records the build of a stream whose first event has arrived.
    pub fn record_stream(&mut self, stream: StreamId, build: BuildId, now: Mono) {
        self.origins.record(stream, build, now);
    }

    /// Returns where a stream of a route goes on; `stream` is none if the caller does not name it.
    pub fn stream_origin(
        &self,
        stream: Option<StreamId>,
        route: &Route,
        now: Mono,
    ) -> StreamOrigin {
        self.origins.find(stream, route, now)
    }

    /// Records the build of a listed server.
    pub fn record_listed(&mut self, entry: &ServerEntry, now: Mono) {
        let listed = (entry.build(), &entry.pool);
        self.origins.record_builds(std::iter::once(listed), now);
    }

    /// Whether several builds may have begun the streams of some route.
    pub fn has_ambiguous_origins(&self) -> bool {
        self.origins.is_ambiguous()
    }

    /// Returns the origins of streams to store.
    pub fn origin_history(&self, now: Mono) -> OriginHistory {
        self.origins.history(now)
    }

    /// Adds origins of streams that were stored before this gateway started.
    pub fn restore_origins(&mut self, history: &OriginHistory, now: Mono) {
        self.origins.restore(history, now);
    }

    /// Returns the number of streams whose origins are remembered.
    pub fn known_streams(&self) -> usize {
        self.origins.stream_count()
    }

    /// Records that all stored origins are known.
    pub fn complete_origins(&mut self) {
        self.origins.complete_past();
    }

    /// Updates the builds in service, and drops old origins.
    pub(super) fn expire_origins(&mut self, now: Mono) {
        let listed = self.servers.iter();
        let listed = listed.map(|server| (server.build, &server.entry.pool));
        self.origins.record_builds(listed, now);
        self.origins.expire(now);
    }

    /// Returns the origins of this gateway's own streams for the next digest.
    pub(super) fn origins_to_publish(&mut self) -> OriginReport {
        self.origins.report(MAX_PUBLISHED)
    }

    /// Returns the origins that a relay passes on in the next view.
    pub(super) fn origins_to_pass_on(&mut self) -> OriginReport {
        self.origins.report_as_relay(MAX_PASSED_ON)
    }

    /// Merges the origins that a digest publishes. A relay passes those of its zone on: callers
    /// come back to gateways of the same zone.
    pub(super) fn merge_origins(&mut self, digest: &Digest, now: Mono) {
        let is_member =
            digest.relay.scope == DigestScope::Gateway && digest.zone == self.own_zone();
        let pass_on = is_member && self.role == Role::Relay;
        self.origins.merge(&digest.origins, pass_on, now);
    }

    /// Publishes origins anew for a gateway that is first heard of, if it gets digests of this one.
    pub(super) fn publish_origins_to(&mut self, ip: IpAddr, now: Mono) {
        let is_receiver = match self.role {
            Role::Mesh => true,
            Role::Relay | Role::Member { .. } => self.relays_of(self.own_zone(), now).contains(&ip),
        };
        if is_receiver {
            self.origins.publish_anew(now);
        }
    }
}
