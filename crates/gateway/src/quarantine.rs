//! Logs quarantines of prompt parts, and keeps them in the platform's store.
//!
//! Gateways tell one another of quarantines, but may all be restarted at once. The gateway that
//! decides on a quarantine writes it to the store, and each gateway reads them when it starts. When
//! the store was restored from an older copy, they are written again.

use std::rc::Rc;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use primrose_fleet::place::PartId;
use primrose_fleet::poison::QuarantineChange;
use primrose_fleet::poison::QuarantineReport;
use tokio::task::spawn_local;

use crate::adapter::Feed;
use crate::adapter::PlatformError;
use crate::adapter::PlatformEvent;
use crate::adapter::StoredQuarantine;
use crate::adapter::UnixMillis;
use crate::event::Event;
use crate::feed::with_timeout;
use crate::shared::millis;
use crate::shared::Shared;

/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// First and longest pause after a failed call.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(10));
/// Time from the first read to the second. Reads may miss the changes of some seconds, such as those
/// just before all gateways were restarted.
const SECOND_READ_DELAY: Duration = Duration::from_millis(2_500);

/// Reads the quarantines in the store after the start of the gateway.
pub(crate) async fn load(shared: Rc<Shared>) {
    for delay in [Duration::ZERO, SECOND_READ_DELAY] {
        tokio::time::sleep(delay).await;
        let mut failures = 0;
        while let Err(error) = read(&shared).await {
            ::log::debug!("failed to read quarantines: {error}");
            tokio::time::sleep(retry_pause(failures)).await;
            failures += 1;
        }
        report_changes(&shared);
    }
}

async fn read(shared: &Shared) -> Result<(), PlatformError> {
    let call = shared.platform.list(Feed::Quarantines);
    let batch = with_timeout(CALL_TIMEOUT, call).await?;
    let (now, wall_ms) = (shared.now(), wall_ms(shared));
    for event in batch.events {
        match event {
            PlatformEvent::Quarantine(stored) => {
                let quarantine = QuarantineReport {
                    part: stored.part,
                    age_ms: to_u32(wall_ms.saturating_sub(stored.since_ms)),
                    left_ms: to_u32(stored.until_ms.saturating_sub(wall_ms)),
                    count: stored.count,
                };
                shared.fleet.borrow_mut().adopt_quarantine(quarantine, now);
            }
            PlatformEvent::UnusableEntry { name, reason } => {
                shared.log.event(&Event::EntryUnusable { name, reason });
            }
            _ => {}
        }
    }
    Ok(())
}

/// Repeats the writes to the store that a restore from an older copy may have undone.
pub(crate) async fn write_after_restores(shared: Rc<Shared>) {
    let mut era = shared.platform.era_change(None).await;
    loop {
        era = shared.platform.era_change(era).await;
        if !shared.is_follower() {
            continue;
        }
        let now = shared.now();
        let (active, released) = shared.fleet.borrow().quarantine_states(now);
        for quarantine in active {
            let stored = to_stored(&shared, quarantine);
            spawn_local(write(Rc::clone(&shared), stored.part, Some(stored)));
        }
        for part in released {
            spawn_local(write(Rc::clone(&shared), part, None));
        }
    }
}

/// Logs the changes of quarantines since the last call, and writes those to the store that this
/// gateway decided on.
pub(crate) fn report_changes(shared: &Rc<Shared>) {
    let changes = shared.fleet.borrow_mut().take_quarantine_changes();
    for change in changes {
        match change {
            QuarantineChange::Began { quarantine, deaths } => {
                shared.log.event(&Event::PartQuarantined {
                    part: format!("{:x}", quarantine.part),
                    deaths,
                    length_ms: quarantine.left_ms.into(),
                });
                if deaths > 0 {
                    let stored = to_stored(shared, quarantine);
                    spawn_local(write(Rc::clone(shared), stored.part, Some(stored)));
                }
            }
            QuarantineChange::Released(part) => {
                let id = format!("{part:x}");
                shared.log.event(&Event::PartReleased { part: id });
                // All gateways release it; in large fleets a few write for the others.
                if shared.is_follower() {
                    spawn_local(write(Rc::clone(shared), part, None));
                }
            }
        }
    }
}

/// Writes a quarantine to the store or removes it there, until that is no longer its state.
async fn write(shared: Rc<Shared>, part: PartId, stored: Option<StoredQuarantine>) {
    let mut failures = 0;
    loop {
        let now = shared.now();
        if shared.fleet.borrow().is_quarantined(part, now) != stored.is_some() {
            return;
        }
        let call = shared.platform.write_quarantine(part, stored);
        match with_timeout(CALL_TIMEOUT, call).await {
            Ok(()) => return,
            Err(error) => ::log::debug!("failed to write a quarantine: {error}"),
        }
        tokio::time::sleep(retry_pause(failures)).await;
        failures += 1;
    }
}

fn to_stored(shared: &Shared, quarantine: QuarantineReport) -> StoredQuarantine {
    let now_ms = wall_ms(shared);
    StoredQuarantine {
        part: quarantine.part,
        since_ms: now_ms.saturating_sub(quarantine.age_ms.into()),
        until_ms: now_ms + u64::from(quarantine.left_ms),
        count: quarantine.count,
    }
}

fn retry_pause(failures: u32) -> Duration {
    let pause = RETRY_PAUSE.0 * (1 << failures.min(6));
    // Jitter, so that gateways that failed together do not retry together.
    pause
        .min(RETRY_PAUSE.1)
        .mul_f64(rand::random_range(0.6..1.2))
}

fn wall_ms(shared: &Shared) -> UnixMillis {
    let wall = shared.clock.wall().duration_since(UNIX_EPOCH);
    millis(wall.unwrap_or_default())
}

fn to_u32(millis: u64) -> u32 {
    u32::try_from(millis).unwrap_or(u32::MAX)
}
