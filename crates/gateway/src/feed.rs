//! Following the platform: tables, servers, gateways.

use std::rc::Rc;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::entry::ServerEntry;
use primrose_fleet::MAX_ALL_FOLLOW;
use tokio::time::timeout;

use crate::border::Batch;
use crate::border::Feed;
use crate::border::News;
use crate::border::PlatformError;
use crate::border::Task;
use crate::border::Version;
use crate::event::Event;
use crate::shared::millis;
use crate::shared::Shared;

/// How long a watch waits at the platform where a gateway is nearly alone. A connection that went
/// silent is noticed after this and the grace, which has to stay below the time in which tables
/// must be in force.
const WATCH_TIME: Duration = Duration::from_millis(900);
/// Gateways to which that applies. With more of them, one that misses a change hears from the
/// others that there is one, so that each may ask the platform less often.
const WATCHERS: u32 = 4;
/// Longest wait of a watch, however many gateways there are.
const WATCH_MOST: Duration = Duration::from_secs(10);
/// How long the platform may take beyond that, or for a list.
const ANSWER_GRACE: Duration = Duration::from_millis(800);
/// Pause after servers changed where gateways are few, and where some read for the others: six
/// of them notice a leaving server within 0.2 s on average, and tell. Each server writes about
/// once a second, so that watches without a pause would be a call for each write.
const SERVERS_PAUSE: (Duration, Duration) =
    (Duration::from_millis(400), Duration::from_millis(1_200));
/// How often a gateway that does not follow looks whether it should.
const IDLE_PAUSE: Duration = Duration::from_millis(100);
/// Pause after tables changed.
const TABLES_PAUSE: Duration = Duration::from_millis(40);
/// First and longest pause after a failure.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(80), Duration::from_millis(700));
/// Failures in a row that count as a lost dependency.
const LOST_FAILURES: u32 = 2;
/// How long the gateways' list holds, for a few gateways; peers name one another in the meantime.
const GATEWAYS_PAUSE: Duration = Duration::from_secs(6);
/// Lease of this gateway's own entry: a few renewals may fail.
const LEASE_TIME: Duration = Duration::from_secs(90);
/// How often the lease is renewed where gateways are few, and at most.
const RENEW_PAUSE: (Duration, Duration) = (Duration::from_secs(8), Duration::from_secs(30));
/// Gateways to which the first pauses apply.
const BASE_SIZE: u32 = 8;

/// Where a feed stands.
struct Position {
    feed: Feed,
    after: Option<Version>,
    failures: u32,
    lost: Option<Mono>,
    /// Whether this gateway left the reading to others.
    idle: bool,
}

/// Follows tables or servers until the process ends.
pub(crate) async fn follow(shared: Rc<Shared>, feed: Feed) {
    let mut position = Position {
        feed,
        after: None,
        failures: 0,
        lost: None,
        idle: false,
    };
    loop {
        if !is_due(&shared, &mut position) {
            tokio::time::sleep(IDLE_PAUSE).await;
            continue;
        }
        let listing = position.after.is_none();
        match read(&shared, &position).await {
            Ok(batch) => {
                regained(&shared, &mut position);
                let quiet = batch.news.is_empty();
                position.after = Some(batch.version);
                apply(&shared, feed, batch, listing);
                if !quiet && !listing {
                    tokio::time::sleep(pause(&shared, feed)).await;
                }
            }
            Err(PlatformError::Forgotten) => {
                position.after = None;
                // A store that forgets again at once is not asked without a pause.
                tokio::time::sleep(retry_pause(0)).await;
            }
            Err(error) => {
                lost(&shared, &mut position, &error);
                tokio::time::sleep(retry_pause(position.failures)).await;
            }
        }
    }
}

/// Whether this gateway reads now: it has to know the list once, and then if it follows.
fn is_due(shared: &Shared, position: &mut Position) -> bool {
    if shared.follows() {
        if std::mem::take(&mut position.idle) {
            // What changed meanwhile may be more than the whole list.
            position.after = None;
        }
        return true;
    }
    let read_once = position.after.is_some();
    position.idle |= read_once;
    !read_once
}

async fn read(shared: &Shared, position: &Position) -> Result<Batch, PlatformError> {
    let (limit, call) = match position.after {
        None => (ANSWER_GRACE, shared.platform.list(position.feed)),
        Some(after) => {
            let wait = watch_time(shared, position.feed);
            let call = shared.platform.watch(position.feed, after, wait);
            (wait + ANSWER_GRACE, call)
        }
    };
    limited(limit, call).await
}

fn gateways(shared: &Shared) -> u32 {
    u32::try_from(shared.fleet.borrow().gateway_count()).unwrap_or(u32::MAX)
}

/// Servers write all the time: their watch must not outlast an outage in which entries lapse.
fn watch_time(shared: &Shared, feed: Feed) -> Duration {
    if feed == Feed::Servers {
        return WATCH_TIME;
    }
    let gateways = gateways(shared).max(WATCHERS);
    (WATCH_TIME * gateways / WATCHERS).min(WATCH_MOST)
}

fn pause(shared: &Shared, feed: Feed) -> Duration {
    match feed {
        Feed::Tables => TABLES_PAUSE,
        Feed::Servers | Feed::Gateways => {
            if shared.fleet.borrow().gateway_count() <= MAX_ALL_FOLLOW {
                SERVERS_PAUSE.0
            } else {
                SERVERS_PAUSE.1
            }
        }
    }
}

fn retry_pause(failures: u32) -> Duration {
    let pause = RETRY_PAUSE.0 * (1 << failures.min(5));
    let pause = pause.min(RETRY_PAUSE.1);
    // Gateways that failed together do not come back together.
    pause.mul_f64(rand::random_range(0.6..1.2))
}

fn lost(shared: &Shared, position: &mut Position, error: &PlatformError) {
    position.failures += 1;
    metrics::counter!("platform_failures", "feed" => position.feed.to_string()).increment(1);
    if position.failures < LOST_FAILURES || position.lost.is_some() {
        return;
    }
    let now = shared.now();
    position.lost = Some(now);
    if position.feed == Feed::Servers {
        shared
            .fleet
            .borrow_mut()
            .set_list_unreadable_since(Some(now));
    }
    shared.log.event(&Event::DependencyLost {
        dependency: format!("platform {}", position.feed),
        reason: error.to_string(),
    });
}

fn regained(shared: &Shared, position: &mut Position) {
    position.failures = 0;
    let Some(since) = position.lost.take() else {
        return;
    };
    let now = shared.now();
    if position.feed == Feed::Servers {
        let mut fleet = shared.fleet.borrow_mut();
        fleet.set_list_unreadable_since(None);
        fleet.record_outage_end(now);
        // A peer may have told of later changes; the whole list settles what is true.
        position.after = None;
    }
    shared.log.event(&Event::DependencyRegained {
        dependency: format!("platform {}", position.feed),
        lost_ms: millis(now.saturating_sub(since)),
    });
}

fn apply(shared: &Shared, feed: Feed, batch: Batch, listing: bool) {
    let now = shared.now();
    let mut changed = false;
    let mut listed: Vec<ServerEntry> = Vec::new();
    for news in batch.news {
        match news {
            News::Tables(tables) => adopt_tables(shared, *tables, "platform"),
            News::Server(entry) if listing => listed.push(entry),
            News::Server(entry) => {
                let changes = shared.fleet.borrow_mut().upsert_server(entry, now);
                changed |= !changes.is_empty();
                shared.log_changes(&changes, "platform");
            }
            News::ServerGone(id) => {
                let changes = shared.fleet.borrow_mut().remove_server(&id, now);
                changed |= !changes.is_empty();
                shared.log_changes(&changes, "platform");
            }
            News::Gateway(ip) => shared.fleet.borrow_mut().add_contact(ip, now),
            News::Unusable { name, reason } => {
                shared.log.event(&Event::EntryUnusable { name, reason });
            }
        }
    }
    if feed != Feed::Servers {
        return;
    }
    shared
        .fleet
        .borrow_mut()
        .advance_list_version(batch.version);
    if listing {
        let changes = shared.fleet.borrow_mut().replace_servers(listed, now);
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

/// Puts tables into force if they are newer, and logs it.
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

/// Keeps this gateway listed, and reads who else is, until the process ends.
pub(crate) async fn enrol(shared: Rc<Shared>, lease: Rc<std::cell::Cell<Option<u64>>>) {
    let mut failures = 0;
    let mut listed: Option<Mono> = None;
    loop {
        match keep_listed(&shared, &lease, &mut listed).await {
            Ok(()) => {
                failures = 0;
                tokio::time::sleep(renew_pause(&shared)).await;
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

fn renew_pause(shared: &Shared) -> Duration {
    let pause = RENEW_PAUSE.0 * gateways(shared).max(BASE_SIZE) / BASE_SIZE;
    pause.min(RENEW_PAUSE.1)
}

async fn keep_listed(
    shared: &Shared,
    lease: &std::cell::Cell<Option<u64>>,
    listed: &mut Option<Mono>,
) -> Result<(), PlatformError> {
    let platform = &shared.platform;
    match lease.get() {
        Some(held) => match limited(ANSWER_GRACE, platform.renew(held)).await {
            Err(PlatformError::LeaseEnded) => lease.set(None),
            other => other?,
        },
        None => lease.set(Some(
            limited(ANSWER_GRACE, platform.enrol(LEASE_TIME)).await?,
        )),
    }
    let now = shared.now();
    let pause = GATEWAYS_PAUSE * gateways(shared).max(BASE_SIZE) / BASE_SIZE;
    if listed.is_none_or(|at| now.saturating_sub(at) >= pause) {
        let batch = limited(ANSWER_GRACE, platform.list(Feed::Gateways)).await?;
        apply(shared, Feed::Gateways, batch, true);
        *listed = Some(now);
    }
    Ok(())
}

/// Bounds a call: a connection may be silent for good.
async fn limited<T>(
    limit: Duration,
    call: Task<'_, Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    match timeout(limit, call).await {
        Ok(done) => done,
        Err(_) => Err(PlatformError::Unreachable {
            reason: "no answer in time".to_owned(),
        }),
    }
}
