//! Wakes waiting queries when the state has changed.

use std::sync::Arc;
use std::time::Duration;

use primrose_store::memory::StateVersion;
use tokio::sync::watch;

use super::serve::Core;
use crate::runtime::Runtime;

/// How often the state is looked at for changes that did not come over HTTP: ended leases and restored copies.
const LOOK_PAUSE: Duration = Duration::from_millis(5);

/// Tells waiting queries how far the state has come.
pub(super) type Signal = watch::Sender<StateVersion>;

/// Looks at the state until the service is dropped.
pub(super) fn spawn(runtime: &Runtime, core: &Arc<Core>) {
    let core = Arc::downgrade(core);
    runtime.handle().spawn(async move {
        while let Some(core) = core.upgrade() {
            core.look();
            drop(core);
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    });
}
