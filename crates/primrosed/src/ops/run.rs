//! Runs a router until a signal or an operator stops it.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use crossbeam_channel::bounded;
use crossbeam_channel::select;
use crossbeam_channel::Receiver;
use metrics_exporter_prometheus::PrometheusBuilder;
use primrose_core::clock::Clock;
use primrose_core::id::Incarnation;
use primrose_settings::Settings;
use primrose_store::consul::ConsulConfig;
use primrose_store::consul::ConsulHosts;
use primrose_store::consul::ConsulStore;
use primrose_store::hosts::HostList;
use primrose_util::clock::SystemClock;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use snafu::ResultExt;

use crate::ops::check;
use crate::ops::error::ProgramError;
use crate::ops::error::SignalsSnafu;
use crate::ops::error::StartSnafu;
use crate::router::Environment;
use crate::router::HostLists;
use crate::router::Router;
use crate::router::Sharing;

/// Exit code of a shutdown that cut off requests.
pub(crate) const EXIT_CUT: u8 = 3;
/// Capacity of the signal channel.
const SIGNAL_QUEUE_CAPACITY: usize = 4;

/// Runs a router with the given settings file.
pub fn run(path: &Path) -> Result<u8, ProgramError> {
    let settings = check::read(path)?;
    let keys = check::read_keys(&settings.security.peer_key_file)?;
    primrose_util::logger::init(log::LevelFilter::Info);
    let signals = signals().context(SignalsSnafu)?;
    let clock = Arc::new(SystemClock::new());
    let environment = Environment {
        store: Arc::new(ConsulStore::new(ConsulConfig::new(
            settings.platform.addresses.clone(),
        ))),
        hosts: host_lists(&settings),
        keys,
        sharing: Sharing::Fleet,
        incarnation: incarnation(&*clock),
        metrics: PrometheusBuilder::new().install_recorder().ok(),
        clock,
    };
    let router = Router::start(&settings, environment).context(StartSnafu)?;
    select! {
        recv(signals) -> _ => {},
        recv(router.drain_requested()) -> _ => {},
    }
    let shutdown = router.shutdown(settings.limits.shutdown_timeout, &|| !signals.is_empty());
    Ok(if shutdown.cut.is_empty() { 0 } else { EXIT_CUT })
}

fn host_lists(settings: &Settings) -> Option<HostLists> {
    let addrs = settings.platform.hosts.clone();
    if addrs.is_empty() {
        return None;
    }
    let config = ConsulConfig::new(addrs);
    Some(Arc::new(move |service: &str| {
        Arc::new(ConsulHosts::new(config.clone(), service)) as Arc<dyn HostList>
    }))
}

/// Returns the incarnation of this process: its start time, which increases with each restart.
pub(crate) fn incarnation(clock: &dyn Clock) -> Incarnation {
    let since = clock.wall().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or(Duration::ZERO).as_millis();
    Incarnation::try_from(millis).unwrap_or(Incarnation::MAX)
}

/// Returns a channel that receives a message for each termination signal.
fn signals() -> std::io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (sender, receiver) = bounded(SIGNAL_QUEUE_CAPACITY);
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for _ in signals.forever() {
                // Signals beyond the capacity carry no further information.
                let _ = sender.try_send(());
            }
        })?;
    Ok(receiver)
}
