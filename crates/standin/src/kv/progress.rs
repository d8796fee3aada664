//! Wakes blocking queries when the state has changed.

use std::sync::Arc;
use std::time::Duration;

use primrose_store::memory::StateVersion;
use tokio::sync::watch;

use super::serve::Core;
use crate::runtime::Runtime;

/// How often to check for changes that were not made over HTTP: expired leases and restored backups.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Notifies blocking queries of the current state version.
pub(super) type Signal = watch::Sender<StateVersion>;

/// Starts the task that polls the state until the service is dropped.
pub(super) fn spawn(runtime: &Runtime, core: &Arc<Core>) {
    let core = Arc::downgrade(core);
    runtime.handle().spawn(async move {
        while let Some(core) = core.upgrade() {
            core.notify_if_changed();
            drop(core);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
}
