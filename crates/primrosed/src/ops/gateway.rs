//! Runs a gateway with the settings that the platform provides.

use std::cell::Cell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusBuilder;
use primrose_core::clock::Clock;
use primrose_core::id::Incarnation;
use primrose_fleet::entry::short_id;
use primrose_fleet::FleetConfig;
use primrose_gateway::run::Config;
use primrose_gateway::run::ReloadSettings;
use primrose_gateway::run::RenderMetrics;
use primrose_platform::HttpProtocol;
use primrose_platform::Settings;
use primrose_platform::StoreClient;
use primrose_util::clock::SystemClock;
use snafu::ResultExt;

use crate::cli::Options;
use crate::ops::error::GatewaySnafu;
use crate::ops::error::PlatformSettingsSnafu;
use crate::ops::error::ProgramError;
use crate::ops::run::incarnation;
use crate::ops::run::EXIT_CUT;

/// Upper bounds of the latency histogram buckets in seconds, from less than one engine step to the
/// longest time limits.
const LATENCY_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.5, 5.0, 10.0,
];

/// Low bits of an incarnation that distinguish hosts; the bits above them hold milliseconds for
/// centuries.
const HOST_ID_BITS: u32 = 20;

/// Runs a gateway until a signal stops it.
pub fn run(path: &Path, options: &Options) -> Result<u8, ProgramError> {
    let settings = Settings::read(path).context(PlatformSettingsSnafu { path })?;
    primrose_util::logger::init(log::LevelFilter::Warn);
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let store = Rc::new(Cell::new(settings.store));
    let client = StoreClient::new(
        Rc::clone(&store),
        settings.host.clone(),
        settings.ip,
        Arc::clone(&clock),
    );
    let config = Config {
        host: settings.host.clone(),
        fleet: FleetConfig {
            incarnation: unique_incarnation(incarnation(&*clock), &settings.host),
            zone: settings.zone.clone(),
            ip: settings.ip,
            capacity: settings.capacity,
            retry_permille: settings.retry_permille,
            retry_slack: settings.retry_slack,
            cold_bound: settings.cold_bound,
            place_by_cost: options.place_by_cost,
        },
        front: settings.front,
        ready: settings.ready,
        control: settings.control,
        metrics: options
            .metrics_port
            .map(|port| SocketAddr::new(settings.ip, port)),
        digest_port: settings.peer_port,
        seeds: settings.seeds.clone(),
        max_descriptors: settings.descriptors,
        memory: settings.memory,
        grace: settings.grace,
        protocol: Box::new(HttpProtocol),
        platform: Box::new(client),
        clock,
        render_metrics: recorder(),
        reload_settings: reload_settings(path.to_owned(), settings, store),
    };
    let summary = primrose_gateway::run(config).context(GatewaySnafu)?;
    Ok(if summary.interrupted == 0 {
        0
    } else {
        EXIT_CUT
    })
}

/// Checks a platform settings file and prints which gateway it configures.
pub fn check(path: &Path) -> Result<u8, ProgramError> {
    let settings = Settings::read(path).context(PlatformSettingsSnafu { path })?;
    println!(
        "Checked {}: gateway {} in availability zone {}",
        path.display(),
        settings.host,
        settings.zone
    );
    Ok(0)
}

/// Returns an incarnation that is unique among all gateways.
///
/// Hosts may start within the same millisecond, so the low bits hold the short id of the host. A
/// later start of the same host has a higher incarnation.
fn unique_incarnation(started: Incarnation, host: &str) -> Incarnation {
    started << HOST_ID_BITS | u64::from(short_id(host)) >> (u32::BITS - HOST_ID_BITS)
}

fn recorder() -> Option<RenderMetrics> {
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS);
    let installed = builder.and_then(PrometheusBuilder::install_recorder);
    match installed {
        Ok(handle) => Some(Arc::new(move || handle.render())),
        Err(error) => {
            log::error!("failed to install the metrics recorder: {error}");
            None
        }
    }
}

/// Returns a function that reads the settings again.
///
/// Only the addresses of the store and of the seeds can change in a running process; the listeners
/// keep their addresses.
fn reload_settings(
    path: PathBuf,
    settings: Settings,
    store: Rc<Cell<SocketAddr>>,
) -> ReloadSettings {
    let mut active_settings = settings;
    Box::new(move |requested| -> Result<Option<Vec<IpAddr>>, String> {
        let read = Settings::read(&path);
        let read = read.map_err(|error| snafu::Report::from_error(error).to_string())?;
        if read == active_settings && !requested {
            return Ok(None);
        }
        store.set(read.store);
        active_settings = read;
        Ok(Some(active_settings.seeds.clone()))
    })
}
