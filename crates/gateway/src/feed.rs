//! Follows the platform's lists of tables, servers and gateways.
//!
//! Each list is read once as a whole and then watched for changes. In large fleets, only followers
//! watch tables and servers; see [`primrose_fleet::Fleet::is_follower`].

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::ZoneId;
use primrose_fleet::entry::ServerEntry;
use primrose_fleet::MAX_ALL_FOLLOW;
use tokio::time::timeout;

use crate::adapter::Batch;
use crate::adapter::Feed;
use crate::adapter::Lease;
use crate::adapter::LocalFuture;
use crate::adapter::PlatformError;
use crate::adapter::PlatformEvent;
use crate::adapter::Version;
use crate::evacuation;
use crate::event::Event;
use crate::shared::millis;
use crate::shared::Shared;

/// How long a watch of the servers waits at the platform. Servers write continually, and the watch
/// must not outlast an outage in which their entries expire.
const SERVERS_WATCH_TIME: Duration = Duration::from_millis(900);
/// How long a watch of the tables waits at the platform. A lost response or a dead connection goes
/// unnoticed for this time plus [`RESPONSE_MARGIN`]. The sum and a retry must stay below three
/// seconds, after which a gateway has to have the current tables again; that holds for a fleet of any
/// size, since the watches of all gateways may be lost at once.
const TABLES_WATCH_TIME: Duration = Duration::from_millis(1_500);
/// Timeout for reading a list, and for the response after the wait of a watch call.
const RESPONSE_MARGIN: Duration = Duration::from_millis(800);
/// Pause after a change of servers: in small fleets, where every gateway follows, and in larger
/// ones, where a few followers read for the others. Six followers notice a leaving server within
/// 0.2 s on average and publish it. Each server writes about once a second, so watches without a
/// pause would be one call for each write.
const SERVERS_PAUSE: (Duration, Duration) =
    (Duration::from_millis(400), Duration::from_millis(1_200));
/// How often a gateway that is not a follower checks whether it has become one.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a change of tables.
const TABLES_PAUSE: Duration = Duration::from_millis(40);
/// First and maximum pause after a failure.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(80), Duration::from_millis(700));
/// Consecutive failures after which the platform is logged as a lost dependency.
const FAILURES_UNTIL_LOST: u32 = 2;
/// Minimum time between two reads of the list of gateways in small fleets; the list is read only
/// after a call that takes or renews the lease. Between reads, gateways learn of one another from
/// digests.
const GATEWAY_LIST_INTERVAL: Duration = Duration::from_secs(6);
/// Lease of this gateway's entry, long enough that a few renewals may fail.
const LEASE_TTL: Duration = Duration::from_secs(90);
/// Interval between renewals of the lease, in small fleets and at most.
const RENEW_INTERVAL: (Duration, Duration) = (Duration::from_secs(8), Duration::from_secs(30));
/// Time within which the gateways register again after a restore of the store, for each gateway: the
/// store limits the number of writes a second.
const REGISTER_SPREAD: Duration = Duration::from_millis(10);
/// Number of gateways up to which [`GATEWAY_LIST_INTERVAL`] and the first [`RENEW_INTERVAL`] apply;
/// larger fleets scale them up.
const UNSCALED_GATEWAYS: u32 = 8;

/// The lease under which this gateway is registered, if it is.
pub(crate) type LeaseCell = Rc<Cell<Option<Lease>>>;

/// Progress of reading one feed.
struct FeedState {
    feed: Feed,
    /// Revision after which the next watch starts; `None` if the whole list is to be read.
    last_version: Option<Version>,
    failures: u32,
    /// When the feed was logged as lost, until it responds again.
    lost_since: Option<Mono>,
    /// Whether reading was left to the followers.
    is_paused: bool,
}

/// Reads and watches tables or servers until the process ends.
pub(crate) async fn follow(shared: Rc<Shared>, feed: Feed) {
    let mut state = FeedState {
        feed,
        last_version: None,
        failures: 0,
        lost_since: None,
        is_paused: false,
    };
    loop {
        if !should_read(&shared, &mut state) {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let is_full_list = state.last_version.is_none();
        let began = shared.now();
        match read(&shared, &state).await {
            Ok(batch) => {
                record_success(&shared, &mut state);
                let is_change = !batch.events.is_empty() || is_early(&shared, feed, began);
                state.last_version = Some(batch.version);
                apply_batch(&shared, feed, batch, is_full_list);
                if is_change && !is_full_list {
                    tokio::time::sleep(pause_after_change(&shared, feed)).await;
                }
            }
            Err(error @ (PlatformError::Compacted | PlatformError::Restored)) => {
                if matches!(error, PlatformError::Restored) {
                    record_restore(&shared, feed);
                }
                state.last_version = None;
                // The pause bounds the calls to a store that discards its changes again at once.
                tokio::time::sleep(retry_pause(0)).await;
            }
            Err(error) => {
                record_failure(&shared, &mut state, &error);
                tokio::time::sleep(retry_pause(state.failures)).await;
            }
        }
    }
}

/// Returns whether this gateway reads now: until the list was read once, and then as a follower.
fn should_read(shared: &Shared, state: &mut FeedState) -> bool {
    if shared.is_follower() {
        if std::mem::take(&mut state.is_paused) {
            // The changes since the last read may be more than the whole list.
            state.last_version = None;
        }
        return true;
    }
    let read_once = state.last_version.is_some();
    state.is_paused |= read_once;
    !read_once
}

/// Whether a watch that began at `began` has ended long before its time. A change of a key that is
/// not used ends a watch without events; with no pause after it, each such change costs a call.
fn is_early(shared: &Shared, feed: Feed, began: Mono) -> bool {
    let elapsed = shared.now().saturating_sub(began);
    feed == Feed::Tables && elapsed < watch_time(feed) / 2
}

async fn read(shared: &Shared, state: &FeedState) -> Result<Batch, PlatformError> {
    let (limit, call) = match state.last_version {
        None => (RESPONSE_MARGIN, shared.platform.list(state.feed)),
        Some(last_version) => {
            let wait = watch_time(state.feed);
            let call = shared.platform.watch(state.feed, last_version, wait);
            (wait + RESPONSE_MARGIN, call)
        }
    };
    with_timeout(limit, call).await
}

pub(crate) fn gateway_count(shared: &Shared) -> u32 {
    u32::try_from(shared.fleet.borrow().gateway_count()).unwrap_or(u32::MAX)
}

fn watch_time(feed: Feed) -> Duration {
    match feed {
        Feed::Tables => TABLES_WATCH_TIME,
        Feed::Servers | Feed::Gateways | Feed::Quarantines | Feed::Origins => SERVERS_WATCH_TIME,
    }
}

fn pause_after_change(shared: &Shared, feed: Feed) -> Duration {
    match feed {
        Feed::Tables => TABLES_PAUSE,
        Feed::Servers | Feed::Gateways | Feed::Quarantines | Feed::Origins => {
            if shared.fleet.borrow().gateway_count() <= MAX_ALL_FOLLOW {
                SERVERS_PAUSE.0
            } else {
                SERVERS_PAUSE.1
            }
        }
    }
}

pub(crate) fn retry_pause(failures: u32) -> Duration {
    let pause = RETRY_PAUSE.0 * (1 << failures.min(5));
    let pause = pause.min(RETRY_PAUSE.1);
    // Jitter, so that gateways that failed together do not retry together.
    pause.mul_f64(rand::random_range(0.6..1.2))
}

fn record_failure(shared: &Shared, state: &mut FeedState, error: &PlatformError) {
    state.failures += 1;
    metrics::counter!("platform_failures", "feed" => state.feed.to_string()).increment(1);
    if state.failures < FAILURES_UNTIL_LOST || state.lost_since.is_some() {
        return;
    }
    let now = shared.now();
    state.lost_since = Some(now);
    if state.feed == Feed::Servers {
        shared
            .fleet
            .borrow_mut()
            .set_list_unreadable_since(Some(now));
    }
    shared.log.event(&Event::DependencyLost {
        dependency: format!("platform {}", state.feed),
        reason: error.to_string(),
    });
}

fn record_success(shared: &Shared, state: &mut FeedState) {
    state.failures = 0;
    let Some(since) = state.lost_since.take() else {
        return;
    };
    let now = shared.now();
    if state.feed == Feed::Servers {
        let mut fleet = shared.fleet.borrow_mut();
        fleet.set_list_unreadable_since(None);
        fleet.record_outage_end(now);
        // Peers may have reported later changes; the whole list is authoritative.
        state.last_version = None;
    }
    shared.log.event(&Event::DependencyRegained {
        dependency: format!("platform {}", state.feed),
        lost_ms: millis(now.saturating_sub(since)),
    });
}

/// Records that the store was restored from an older copy. Servers that started after the copy are
/// not listed until they register again.
fn record_restore(shared: &Shared, feed: Feed) {
    if feed == Feed::Servers {
        let now = shared.now();
        shared.fleet.borrow_mut().record_outage_end(now);
    }
    metrics::counter!("platform_restores", "feed" => feed.to_string()).increment(1);
    shared.log.event(&Event::StoreRestored {
        feed: feed.to_string(),
        era: shared.platform.era().unwrap_or_default(),
    });
}

fn apply_batch(shared: &Shared, feed: Feed, batch: Batch, is_full_list: bool) {
    let now = shared.now();
    let mut changed = false;
    let mut entries: Vec<ServerEntry> = Vec::new();
    let mut evacuations: Vec<(ZoneId, bool)> = Vec::new();
    for event in batch.events {
        match event {
            PlatformEvent::Tables(tables) => adopt_tables(shared, *tables, "platform"),
            PlatformEvent::ZoneEvacuated(zone) => evacuations.push((zone, true)),
            PlatformEvent::ZoneRestored(zone) => evacuations.push((zone, false)),
            PlatformEvent::Server(entry) if is_full_list => entries.push(entry),
            PlatformEvent::Server(entry) => {
                let changes = shared.fleet.borrow_mut().upsert_server(entry, now);
                changed |= !changes.is_empty();
                shared.log_changes(&changes, "platform");
            }
            PlatformEvent::ServerRemoved(id) => {
                let changes = shared.fleet.borrow_mut().remove_server(&id, now);
                changed |= !changes.is_empty();
                shared.log_changes(&changes, "platform");
            }
            PlatformEvent::Gateway(ip) => shared.fleet.borrow_mut().add_contact(ip, now),
            // Read by tasks of their own.
            PlatformEvent::Quarantine(_) | PlatformEvent::Origins(_) => {}
            PlatformEvent::UnusableEntry { name, reason } => {
                shared.log.event(&Event::EntryUnusable { name, reason });
            }
        }
    }
    if feed == Feed::Tables {
        // In the same step as the tables, without which the gateway does not serve.
        evacuation::apply(shared, evacuations, batch.version, is_full_list);
    }
    if feed != Feed::Servers {
        return;
    }
    shared
        .fleet
        .borrow_mut()
        .advance_list_version(batch.version);
    if is_full_list {
        let changes = shared.fleet.borrow_mut().replace_servers(entries, now);
        changed |= !changes.is_empty();
        shared.log_changes(&changes, "platform");
    }
    if changed {
        shared
            .fleet
            .borrow_mut()
            .record_membership_change(batch.version);
    }
}

/// Puts tables into force if they are newer than the current ones, and logs the change.
pub(crate) fn adopt_tables(shared: &Shared, tables: primrose_fleet::catalog::Tables, source: &str) {
    let generation = tables.generation;
    let before = shared.fleet.borrow_mut().adopt_tables(tables);
    if let Some(before) = before {
        shared.log.event(&Event::TablesInForce {
            generation,
            before,
            source: source.to_owned(),
        });
    }
}

/// Keeps this gateway registered and reads the list of gateways, until the process ends.
pub(crate) async fn keep_registered(shared: Rc<Shared>, lease: LeaseCell) {
    let mut failures = 0;
    let mut last_listed: Option<Mono> = None;
    loop {
        match renew_registration(&shared, &lease, &mut last_listed).await {
            Ok(()) => {
                failures = 0;
                let era = lease.get().and_then(|lease| lease.era);
                tokio::select! {
                    () = tokio::time::sleep(renew_interval(&shared)) => {}
                    _ = shared.platform.era_change(era) => {
                        let spread = REGISTER_SPREAD * gateway_count(&shared);
                        tokio::time::sleep(spread.mul_f64(rand::random())).await;
                    }
                }
            }
            Err(error) => {
                failures += 1;
                ::log::debug!("failed to keep this gateway listed: {error}");
                metrics::counter!("platform_failures", "feed" => "gateways").increment(1);
                tokio::time::sleep(retry_pause(failures)).await;
            }
        }
    }
}

fn renew_interval(shared: &Shared) -> Duration {
    let interval =
        RENEW_INTERVAL.0 * gateway_count(shared).max(UNSCALED_GATEWAYS) / UNSCALED_GATEWAYS;
    interval.min(RENEW_INTERVAL.1)
}

async fn renew_registration(
    shared: &Shared,
    lease: &LeaseCell,
    last_listed: &mut Option<Mono>,
) -> Result<(), PlatformError> {
    let platform = &shared.platform;
    if let Some(current) = lease.get() {
        match with_timeout(RESPONSE_MARGIN, platform.renew(current)).await {
            Err(PlatformError::LeaseEnded) => lease.set(None),
            other => other?,
        }
    }
    if lease.get().is_none() {
        let registered = with_timeout(RESPONSE_MARGIN, platform.register(LEASE_TTL)).await?;
        lease.set(Some(registered));
    }
    let now = shared.now();
    let interval =
        GATEWAY_LIST_INTERVAL * gateway_count(shared).max(UNSCALED_GATEWAYS) / UNSCALED_GATEWAYS;
    if last_listed.is_none_or(|at| now.saturating_sub(at) >= interval) {
        let batch = with_timeout(RESPONSE_MARGIN, platform.list(Feed::Gateways)).await?;
        apply_batch(shared, Feed::Gateways, batch, true);
        *last_listed = Some(now);
    }
    Ok(())
}

/// Applies a timeout to a platform call, since a dead connection may never return an error.
pub(crate) async fn with_timeout<T>(
    limit: Duration,
    call: LocalFuture<'_, Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    match timeout(limit, call).await {
        Ok(result) => result,
        Err(_) => Err(PlatformError::Unreachable {
            reason: "no answer in time".to_owned(),
        }),
    }
}
