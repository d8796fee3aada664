//! Keeps in the platform's store which builds began streams.
//!
//! Gateways tell one another where streams began, but may all be killed at once, and callers then
//! take their streams up at processes that know none of them. So each gateway that writes for the
//! others stores the builds in service whenever they change, and, while a route has several builds that
//! may have begun its streams, its recent streams at short intervals; a relay stores those of its zone.
//! Each gateway reads all of that when it starts.

use std::rc::Rc;
use std::time::Duration;

use primrose_fleet::origin::OriginHistory;

use crate::adapter::Feed;
use crate::adapter::Lease;
use crate::adapter::PlatformError;
use crate::adapter::PlatformEvent;
use crate::event::Event;
use crate::feed::gateway_count;
use crate::feed::retry_pause;
use crate::feed::with_timeout;
use crate::feed::LeaseCell;
use crate::shared::Shared;

/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which changes are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum and maximum time between two writes of streams. Those begun since the last one cannot go on
/// if all gateways are killed.
const STREAMS_INTERVAL: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(2));
/// Number of gateways up to which the minimum applies; larger fleets scale it up, since the store
/// limits the number of writes a second.
const UNSCALED_GATEWAYS: u32 = 12;
/// Time from the start to the first write. By then a gateway of a large fleet knows whether it writes
/// for the others.
const FIRST_WRITE_DELAY: Duration = Duration::from_secs(1);
/// Time from the first read to the second, which finds what others wrote during the start.
const SECOND_READ_DELAY: Duration = Duration::from_millis(1_200);

/// Reads the origins in the store after the start of the gateway; twice, if streams are stored now.
pub(crate) async fn load(shared: Rc<Shared>) {
    read_until_known(&shared).await;
    tokio::time::sleep(SECOND_READ_DELAY).await;
    let is_ambiguous = shared.fleet.borrow().has_ambiguous_origins();
    if is_ambiguous {
        read_until_known(&shared).await;
    }
}

async fn read_until_known(shared: &Shared) {
    let mut failures = 0;
    while let Err(error) = read(shared).await {
        ::log::debug!("failed to read the origins of streams: {error}");
        failures += 1;
        tokio::time::sleep(retry_pause(failures)).await;
    }
    shared.fleet.borrow_mut().complete_origins();
    let streams = shared.fleet.borrow().known_streams();
    shared.log.event(&Event::OriginsRead { streams, failures });
}

async fn read(shared: &Shared) -> Result<(), PlatformError> {
    let call = shared.platform.list(Feed::Origins);
    let batch = with_timeout(CALL_TIMEOUT, call).await?;
    let now = shared.now();
    for event in batch.events {
        match event {
            PlatformEvent::Origins(history) => {
                shared.fleet.borrow_mut().restore_origins(&history, now);
            }
            PlatformEvent::UnusableEntry { name, reason } => {
                shared.log.event(&Event::EntryUnusable { name, reason });
            }
            _ => {}
        }
    }
    Ok(())
}

fn streams_interval(shared: &Shared) -> Duration {
    let gateways = gateway_count(shared).max(UNSCALED_GATEWAYS);
    let (least, most) = STREAMS_INTERVAL;
    (least * gateways / UNSCALED_GATEWAYS).min(most)
}

/// Stores origins until the process ends.
pub(crate) async fn store(shared: Rc<Shared>, lease: LeaseCell) {
    tokio::time::sleep(FIRST_WRITE_DELAY).await;
    let mut written: Option<(Lease, OriginHistory)> = None;
    let mut failures = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(current) = lease.get().filter(|_| shared.is_follower()) else {
            continue;
        };
        let history = shared.fleet.borrow().origin_history(shared.now());
        let is_known = |(lease, known): &(Lease, OriginHistory)| {
            *lease == current && known.builds == history.builds && known.streams == history.streams
        };
        if history.builds.is_empty() || written.as_ref().is_some_and(is_known) {
            continue;
        }
        let call = shared.platform.write_origins(current, &history);
        match with_timeout(CALL_TIMEOUT, call).await {
            Ok(()) => {
                failures = 0;
                let has_streams = !history.streams.is_empty();
                written = Some((current, history));
                if has_streams {
                    tokio::time::sleep(streams_interval(&shared)).await;
                }
            }
            Err(error) => {
                ::log::debug!("failed to store the origins of streams: {error}");
                failures += 1;
                tokio::time::sleep(retry_pause(failures)).await;
            }
        }
    }
}
