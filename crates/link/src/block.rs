//! Test hook: cuts links as a network partition does.
//!
//! For the fault matrix and measurements only; no setting reaches it. A blocked peer is not told:
//! whatever is sent to it or comes from it vanishes, so both ends find out by their timeouts.

use std::collections::HashSet;
use std::sync::RwLock;

use primrose_core::id::HostId;
use primrose_core::id::ZoneId;

use crate::handshake::Identity;

/// What the test hook cuts off.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum BlockScope {
    /// One host.
    Host(HostId),
    /// All hosts of an availability zone.
    Zone(ZoneId),
}

/// What is cut off at present.
#[derive(Debug, Default)]
pub(crate) struct BlockList {
    scopes: RwLock<HashSet<BlockScope>>,
}

impl BlockList {
    /// Cuts off a scope, or lets it through again.
    pub(crate) fn set_blocked(&self, scope: BlockScope, blocked: bool) {
        let mut scopes = self.scopes.write().expect("block lock poisoned");
        if blocked {
            scopes.insert(scope);
        } else {
            scopes.remove(&scope);
        }
    }

    /// Whether a host is cut off by its name.
    pub(crate) fn is_host_blocked(&self, host: &HostId) -> bool {
        let scopes = self.scopes.read().expect("block lock poisoned");
        !scopes.is_empty() && scopes.contains(&BlockScope::Host(host.clone()))
    }

    /// Whether a peer is cut off by its name or zone.
    pub(crate) fn is_peer_blocked(&self, peer: &Identity) -> bool {
        let scopes = self.scopes.read().expect("block lock poisoned");
        !scopes.is_empty()
            && (scopes.contains(&BlockScope::Host(peer.member.host.clone()))
                || scopes.contains(&BlockScope::Zone(peer.zone.clone())))
    }
}
