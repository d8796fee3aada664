//! Test hook that simulates a network partition by blocking peers.
//!
//! Only for the fault matrix and measurements; no setting uses it. A blocked peer gets no notice:
//! frames to it and from it are dropped silently, so both ends detect the cut by their timeouts.

use std::collections::HashSet;
use std::sync::RwLock;

use primrose_core::id::HostId;
use primrose_core::id::ZoneId;

use crate::handshake::Identity;

/// Peers that the test hook blocks.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum BlockScope {
    /// One host.
    Host(HostId),
    /// All hosts of an availability zone.
    Zone(ZoneId),
}

/// The scopes that are blocked at present.
#[derive(Debug, Default)]
pub(crate) struct BlockList {
    scopes: RwLock<HashSet<BlockScope>>,
}

impl BlockList {
    /// Blocks or unblocks a scope.
    pub(crate) fn set_blocked(&self, scope: BlockScope, blocked: bool) {
        let mut scopes = self.scopes.write().expect("block lock poisoned");
        if blocked {
            scopes.insert(scope);
        } else {
            scopes.remove(&scope);
        }
    }

    /// Returns whether a host is blocked by its name.
    pub(crate) fn is_host_blocked(&self, host: &HostId) -> bool {
        let scopes = self.scopes.read().expect("block lock poisoned");
        !scopes.is_empty() && scopes.contains(&BlockScope::Host(host.clone()))
    }

    /// Returns whether a peer is blocked by its host name or its zone.
    pub(crate) fn is_peer_blocked(&self, peer: &Identity) -> bool {
        let scopes = self.scopes.read().expect("block lock poisoned");
        !scopes.is_empty()
            && (scopes.contains(&BlockScope::Host(peer.member.host.clone()))
                || scopes.contains(&BlockScope::Zone(peer.zone.clone())))
    }
}
