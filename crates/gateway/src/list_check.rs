//! Checks in the platform's list whether servers of a build have joined that this gateway does not
//! know.
//!
//! A caller may take up a stream that no gateway has published. If this gateway knows one build only,
//! the stream goes on there, unless another gateway began it at a build that joined since the list was
//! last read. So the list is read once more, after the caller has come: a gateway begins streams only
//! at servers that are listed. One check serves all callers that came before it began.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::sync::Notify;

use crate::adapter::Feed;
use crate::adapter::PlatformError;
use crate::adapter::PlatformEvent;
use crate::feed::with_timeout;
use crate::shared::Shared;

/// Timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a check. It bounds the calls to the platform while many callers take streams up.
const CHECK_PAUSE: Duration = Duration::from_millis(25);
/// Wait of the watch call that reads the changes: the shortest one.
const WATCH_TIME: Duration = Duration::from_millis(1);

/// Number of a check; increases with each.
type CheckNumber = u64;

/// The result of a check.
#[derive(Debug, Clone, Copy, Default)]
struct Ended {
    number: CheckNumber,
    is_read: bool,
}

/// Requests for checks, and their results.
#[derive(Debug, Default)]
pub(crate) struct ListCheck {
    /// The last check that has begun.
    begun: Cell<CheckNumber>,
    wanted: Notify,
    ended: watch::Sender<Ended>,
}

impl ListCheck {
    /// Waits for the end of a check that begins after this call; returns whether the list was read.
    pub(crate) async fn run(&self) -> bool {
        let number = self.begun.get() + 1;
        let mut ended = self.ended.subscribe();
        self.wanted.notify_one();
        let result = ended.wait_for(|ended| ended.number >= number).await;
        result.is_ok_and(|ended| ended.is_read)
    }
}

/// Makes the checks that are asked for until the process ends.
pub(crate) async fn serve(shared: Rc<Shared>) {
    let check = &shared.list_check;
    loop {
        check.wanted.notified().await;
        let number = check.begun.get() + 1;
        check.begun.set(number);
        let result = with_timeout(CHECK_TIMEOUT, Box::pin(read_joins(&shared))).await;
        if let Err(error) = &result {
            ::log::debug!("failed to check the list of servers: {error}");
        }
        let outcome = if result.is_ok() { "read" } else { "failed" };
        metrics::counter!("list_checks", "outcome" => outcome).increment(1);
        check.ended.send_replace(Ended {
            number,
            is_read: result.is_ok(),
        });
        tokio::time::sleep(CHECK_PAUSE).await;
    }
}

/// Records the builds of the servers that have joined. Other changes are left to the feed.
async fn read_joins(shared: &Shared) -> Result<(), PlatformError> {
    let known = shared.fleet.borrow().joins_version();
    let changes = shared.platform.watch(Feed::Servers, known, WATCH_TIME);
    let batch = match changes.await {
        Err(PlatformError::Compacted) => shared.platform.list(Feed::Servers).await?,
        other => other?,
    };
    let now = shared.now();
    let mut fleet = shared.fleet.borrow_mut();
    for event in &batch.events {
        if let PlatformEvent::Server(entry) = event {
            fleet.record_listed(entry, now);
        }
    }
    Ok(())
}
