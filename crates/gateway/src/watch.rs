//! Noticing that the settings changed: by signal, or by looking at the file.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::Signal;

use crate::event::Event;
use crate::run::Reload;
use crate::shared::Shared;

/// How often the settings file is looked at; it may change without a signal.
const LOOK_PAUSE: Duration = Duration::from_secs(2);

/// Reads the settings again whenever they may have changed, until the process ends.
pub(crate) async fn settings(shared: Rc<Shared>, mut hangups: Signal, mut reload: Reload) {
    loop {
        let asked = tokio::select! {
            _ = hangups.recv() => true,
            () = tokio::time::sleep(LOOK_PAUSE) => false,
        };
        let now = shared.now();
        match reload(asked) {
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
