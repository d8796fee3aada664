//! Builds the status report for operators.

use primrose_core::clock::Mono;
use primrose_core::host::HostState;
use primrose_core::table::Pool;
use primrose_report::status::PeerStatus;
use primrose_report::status::PoolStatus;
use primrose_report::status::QueueStatus;
use primrose_report::status::RouterState;
use primrose_report::status::RouterStatus;
use primrose_report::status::ServerStatus;

use crate::decide::Decider;

impl Decider {
    /// Returns the status of the router.
    pub(super) fn status(&self) -> RouterStatus {
        let now = self.clock.now();
        let table = self.snapshots.table();
        RouterStatus {
            host: self.me.host.clone(),
            zone: self.zone.clone(),
            region: self.region.clone(),
            incarnation: self.me.incarnation,
            state: self.state(),
            uptime: now.saturating_sub(self.started).as_secs(),
            tables: self.tables.status(),
            accounts: self.accounts.status(),
            platform_silence: self.platform_silence(now),
            peers: self.links.values().map(peer_status).collect(),
            pools: table
                .pools
                .values()
                .map(|pool| self.pool(pool, now))
                .collect(),
        }
    }

    fn state(&self) -> RouterState {
        if self.draining {
            RouterState::Draining
        } else if self.snapshots.ready() {
            RouterState::Ready
        } else {
            RouterState::Starting
        }
    }

    fn platform_silence(&self, now: Mono) -> Option<u64> {
        let heard = self.platform_last_read?;
        u64::try_from(now.saturating_sub(heard).as_millis()).ok()
    }

    fn pool(&self, pool: &Pool, now: Mono) -> PoolStatus {
        let dispatcher = self.dispatchers.get(&pool.name);
        let dispatcher_status = dispatcher.map(|dispatcher| dispatcher.status(now));
        let slots = dispatcher_status.iter().flat_map(|status| &status.servers);
        let (slots, busy) = slots.fold((0, 0), |(slots, busy), server| {
            (
                slots + u64::from(server.limit),
                busy + u64::from(server.busy),
            )
        });
        let accounts = self.queues(pool, now);
        PoolStatus {
            pool: pool.name.clone(),
            dispatcher: self.holder_host(&pool.name),
            slots,
            busy,
            queued: accounts.iter().map(|account| account.queued).sum(),
            servers: self.servers(pool, dispatcher_status.as_ref()),
            accounts,
        }
    }

    fn holder_host(&self, pool: &str) -> Option<String> {
        let holder = self.holders.get(pool)?.as_ref()?;
        Some(holder.host.clone())
    }

    fn servers(
        &self,
        pool: &Pool,
        dispatcher_status: Option<&primrose_dispatch::status::Status>,
    ) -> Vec<ServerStatus> {
        let located = self.directory.servers(pool).into_iter();
        let statuses = located.map(|server| {
            let dispatcher_server = dispatcher_status.and_then(|status| {
                let mut servers = status.servers.iter();
                servers.find(|one| one.server == server.id)
            });
            ServerStatus {
                server: server.id,
                zone: server.zone,
                live: server.state == HostState::Live,
                limit: dispatcher_server.map_or(0, |one| one.limit),
                busy: dispatcher_server.map_or(0, |one| one.busy),
            }
        });
        statuses.collect()
    }

    fn queues(&self, pool: &Pool, now: Mono) -> Vec<QueueStatus> {
        let queued = self.requester.queued().into_iter();
        let mine = queued.filter(|queued| queued.pool == pool.name);
        let statuses = mine.map(|queued| QueueStatus {
            oldest: self.oldest_wait_millis(&pool.name, &queued.account, now),
            account: queued.account,
            queued: queued.requests as u64,
        });
        statuses.collect()
    }
}

fn peer_status(link: &crate::decide::Link) -> PeerStatus {
    PeerStatus {
        host: link.member.host.clone(),
        zone: link.zone.clone(),
        alive: true,
    }
}
