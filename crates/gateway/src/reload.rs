//! Reloads the settings on a signal, or when polling finds them changed.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::Signal;

use crate::event::Event;
use crate::run::ReloadSettings;
use crate::shared::Shared;

/// How often the settings file is polled, since it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Rereads the settings on each signal and at each poll, until the process ends.
pub(crate) async fn watch_settings(
    shared: Rc<Shared>,
    mut hangups: Signal,
    mut reload: ReloadSettings,
) {
    loop {
        let is_signalled = tokio::select! {
            _ = hangups.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let now = shared.now();
        match reload(is_signalled) {
            Ok(None) => {}
            Ok(Some(seeds)) => {
                let mut fleet = shared.fleet.borrow_mut();
                for ip in seeds {
                    fleet.add_contact(ip, now);
                }
                drop(fleet);
                shared.log.event(&Event::Reloaded { error: None });
            }
            Err(error) => shared.log.event(&Event::Reloaded { error: Some(error) }),
        }
    }
}
