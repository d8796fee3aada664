//! The links that are up, one for each peer host.
//!
//! A change and its event are made under the same lock, so events are in the order of the changes
//! regardless of which task makes them.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;

use primrose_core::id::HostId;
use primrose_core::id::Member;
use tokio::sync::Notify;

use crate::config::Limits;
use crate::event::DownReason;
use crate::event::RefusedReason;
use crate::handshake::Identity;
use crate::queue::SendQueue;
use crate::resolve::resolve_duplicate;
use crate::resolve::Candidate;
use crate::resolve::Resolution;
use crate::stats::Counters;
use crate::stats::LinkStats;

/// Number of a connection, unique within its endpoint.
pub(crate) type ConnectionId = u64;

/// A change of the set of links.
#[derive(Debug)]
pub(crate) enum Change {
    /// The link to a peer came up.
    Up(Identity),
    /// The link to a peer went down.
    Down(Member, DownReason),
}

/// A link that is up.
#[derive(Debug)]
struct Link {
    peer: Identity,
    dialed: bool,
    connection_id: ConnectionId,
    queue: Arc<SendQueue>,
    closing: Arc<Notify>,
    counters: Arc<Counters>,
}

/// An authenticated connection that is to become a link.
#[derive(Debug)]
pub(crate) struct NewConnection {
    /// The peer.
    pub(crate) peer: Identity,
    /// Whether this end dialed.
    pub(crate) dialed: bool,
    /// Counters of the connection.
    pub(crate) counters: Arc<Counters>,
}

/// Handle of an admitted connection; the link ends when it is dropped.
#[derive(Debug)]
pub(crate) struct LinkGuard {
    registry: Arc<Registry>,
    host: HostId,
    /// Number of the connection.
    pub(crate) connection_id: ConnectionId,
    /// Messages to send.
    pub(crate) queue: Arc<SendQueue>,
    /// Notified when the connection has to close.
    pub(crate) closing: Arc<Notify>,
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        // No-op if the end has been recorded; otherwise the task was aborted.
        self.registry
            .connection_ended(&self.host, self.connection_id, DownReason::Disconnected);
    }
}

/// Mutable state of the registry.
#[derive(Debug, Default)]
struct State {
    links: HashMap<HostId, Link>,
    last_connection_id: ConnectionId,
}

/// Callback that receives the changes in order.
pub(crate) type ChangeHandler = Box<dyn Fn(Change) + Send + Sync>;

/// The links of an endpoint.
pub(crate) struct Registry {
    me: Member,
    limits: Limits,
    state: Mutex<State>,
    on_change: ChangeHandler,
    changed: Notify,
}

impl fmt::Debug for Registry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Registry")
            .field("me", &self.me)
            .finish_non_exhaustive()
    }
}

impl Registry {
    /// Creates an empty registry that reports its changes to `on_change`.
    pub(crate) fn new(me: Member, limits: Limits, on_change: ChangeHandler) -> Self {
        Self {
            me,
            limits,
            state: Mutex::default(),
            on_change,
            changed: Notify::new(),
        }
    }

    /// Makes a connection the link to its peer, or returns why it is refused.
    pub(crate) fn admit(self: &Arc<Self>, new: NewConnection) -> Result<LinkGuard, RefusedReason> {
        let mut state = self.state();
        let host = new.peer.member.host.clone();
        let queue = match state.links.get(&host) {
            Some(old) => self.resolve_with_existing(old, &new)?,
            None if state.links.len() >= self.limits.max_links => {
                return Err(RefusedReason::TooMany)
            }
            None => {
                (self.on_change)(Change::Up(new.peer.clone()));
                Arc::new(SendQueue::new(self.limits))
            }
        };
        state.last_connection_id += 1;
        let guard = LinkGuard {
            registry: Arc::clone(self),
            host: host.clone(),
            connection_id: state.last_connection_id,
            queue: Arc::clone(&queue),
            closing: Arc::new(Notify::new()),
        };
        let link = Link {
            peer: new.peer,
            dialed: new.dialed,
            connection_id: guard.connection_id,
            queue,
            closing: Arc::clone(&guard.closing),
            counters: new.counters,
        };
        state.links.insert(host, link);
        drop(state);
        self.changed.notify_waiters();
        Ok(guard)
    }

    /// Decides between the existing link and a new connection; returns the queue to continue with.
    fn resolve_with_existing(
        &self,
        old: &Link,
        new: &NewConnection,
    ) -> Result<Arc<SendQueue>, RefusedReason> {
        let old_candidate = Candidate {
            peer: &old.peer.member,
            dialed: old.dialed,
        };
        let new_candidate = Candidate {
            peer: &new.peer.member,
            dialed: new.dialed,
        };
        match resolve_duplicate(&self.me, old_candidate, new_candidate) {
            Resolution::KeepOld => Err(RefusedReason::Duplicate),
            Resolution::SwapConnection => {
                old.closing.notify_one();
                Ok(Arc::clone(&old.queue))
            }
            Resolution::ReplaceProcess => {
                old.closing.notify_one();
                let old_member = old.peer.member.clone();
                (self.on_change)(Change::Down(old_member, DownReason::Replaced));
                (self.on_change)(Change::Up(new.peer.clone()));
                Ok(Arc::new(SendQueue::new(self.limits)))
            }
        }
    }

    /// Removes the link of an ended connection; no-op if another connection has replaced it.
    pub(crate) fn connection_ended(
        &self,
        host: &HostId,
        connection_id: ConnectionId,
        reason: DownReason,
    ) {
        let mut state = self.state();
        if state
            .links
            .get(host)
            .is_none_or(|l| l.connection_id != connection_id)
        {
            return;
        }
        if let Some(link) = state.links.remove(host) {
            (self.on_change)(Change::Down(link.peer.member, reason));
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Closes the link to a host and reports it as down.
    pub(crate) fn disconnect(&self, host: &HostId) {
        let mut state = self.state();
        if let Some(link) = state.links.remove(host) {
            link.closing.notify_one();
            (self.on_change)(Change::Down(link.peer.member, DownReason::Disconnected));
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Notifies all connections to flush and close, without reporting any change.
    ///
    /// Returns one weak reference per connection, which is dead once the connection has ended.
    pub(crate) fn close_all(&self) -> Vec<Weak<Notify>> {
        let mut state = self.state();
        let close_link = |(_, link): (HostId, Link)| {
            link.closing.notify_one();
            Arc::downgrade(&link.closing)
        };
        state.links.drain().map(close_link).collect()
    }

    /// Returns whether the link to the member's host is to this very process.
    pub(crate) fn is_current(&self, member: &Member) -> bool {
        let state = self.state();
        let link = state.links.get(&member.host);
        link.is_some_and(|link| link.peer.member == *member)
    }

    /// Returns whether a link to the host is up.
    pub(crate) fn is_linked(&self, host: &HostId) -> bool {
        self.state().links.contains_key(host)
    }

    /// Returns the queue and the counters of the link to a host.
    pub(crate) fn queue_and_counters(
        &self,
        host: &HostId,
    ) -> Option<(Arc<SendQueue>, Arc<Counters>)> {
        let state = self.state();
        let link = state.links.get(host)?;
        Some((Arc::clone(&link.queue), Arc::clone(&link.counters)))
    }

    /// Returns the statistics of all links, sorted by host.
    pub(crate) fn stats(&self) -> Vec<LinkStats> {
        let state = self.state();
        let link_stats = |(host, link): (&HostId, &Link)| LinkStats {
            host: host.clone(),
            traffic: link.counters.snapshot(),
        };
        let mut stats: Vec<LinkStats> = state.links.iter().map(link_stats).collect();
        stats.sort_by(|a, b| a.host.cmp(&b.host));
        stats
    }

    /// Waits for the next change of the set of links.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Locks the state.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("registry lock poisoned")
    }
}
