//! The control and readiness listeners.
//!
//! The control listener serves metrics and status to operators, and a snapshot of tables and
//! servers to other gateways.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;

use crate::run::RenderMetrics;
use crate::shared::Shared;

/// Path of the snapshot for other gateways.
pub(crate) const SNAPSHOT_PATH: &str = "/fleet/snapshot";
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Path of the status report.
const STATUS_PATH: &str = "/status";

/// Purpose of a listener.
#[derive(Clone)]
pub(crate) enum ListenerRole {
    /// Reports on any path whether the gateway accepts new connections.
    Ready,
    /// Serves operators and other gateways.
    Control(Option<RenderMetrics>),
}

/// Accepts connections until the process ends.
pub(crate) async fn listen(shared: Rc<Shared>, listener: TcpListener, role: ListenerRole) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                ::log::warn!("failed to accept a control connection: {error}");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let shared = Rc::clone(&shared);
        let role = role.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let response = handle_request(&shared, &role, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                ::log::debug!("a control connection ended: {error}");
            }
        });
    }
}

fn handle_request(
    shared: &Shared,
    role: &ListenerRole,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    if request.method() != Method::GET {
        return reply(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here");
    }
    let render = match role {
        ListenerRole::Ready if shared.is_ready() => return reply(StatusCode::OK, "ready"),
        ListenerRole::Ready => return reply(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        ListenerRole::Control(render) => render,
    };
    match request.uri().path() {
        SNAPSHOT_PATH => match shared.fleet.borrow().snapshot().encode() {
            Ok(bytes) => reply(StatusCode::OK, bytes),
            Err(error) => reply(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        METRICS_PATH => {
            update_gauges(shared);
            let text = render.as_ref().map(|render| render());
            reply(StatusCode::OK, text.unwrap_or_default())
        }
        STATUS_PATH => reply(StatusCode::OK, status(shared)),
        _ => reply(StatusCode::NOT_FOUND, "no such page"),
    }
}

fn reply(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

fn update_gauges(shared: &Shared) {
    let fleet = shared.fleet.borrow();
    metrics::gauge!("requests_running").set(shared.running.get() as f64);
    metrics::gauge!("callers_connected").set(shared.caller_connections.get() as f64);
    metrics::gauge!("gateways_heard").set(fleet.gateway_count() as f64);
    let buffered = shared.answer_memory.used();
    metrics::gauge!("answer_bytes_buffered").set(buffered as f64);
    crate::bound::update_gauges(shared);
    let quarantined = fleet.quarantined_count(shared.now());
    let cold = fleet.cold_count(shared.now());
    metrics::gauge!("cold_servers").set(cold as f64);
    let limits = fleet.limit_counts(shared.now());
    metrics::gauge!("limited_servers").set(f64::from(limits.limited));
    metrics::gauge!("limited_servers_shared").set(f64::from(limits.shared));
    metrics::gauge!("limits_per_second").set(limits.rate_milli as f64 / 1e3);
    metrics::gauge!("own_limits_per_second").set(limits.own_rate_milli as f64 / 1e3);
    metrics::gauge!("parts_quarantined").set(quarantined as f64);
    metrics::gauge!("zones_evacuated").set(fleet.evacuated_zones().len() as f64);
    metrics::gauge!("cost_aware_pools").set(fleet.cost_aware_pools() as f64);
    metrics::gauge!("stream_lengths").set(fleet.known_lengths() as f64);
    metrics::gauge!("stream_origins").set(fleet.known_streams() as f64);
    metrics::gauge!("tables_generation").set(fleet.generation() as f64);
    metrics::gauge!("server_list_version").set(fleet.list_version() as f64);
    metrics::gauge!("follows_platform").set(f64::from(u8::from(shared.is_follower())));
    let oldest = fleet.oldest_digest_age(shared.now());
    metrics::gauge!("oldest_digest_seconds").set(oldest.as_secs_f64());
    metrics::gauge!("relays").set(f64::from(u8::from(fleet.is_relay())));
    metrics::gauge!("view_age_seconds").set(fleet.view_age(shared.now()).as_secs_f64());
    metrics::gauge!("shed_fraction").set(shared.shedder.fraction());
    for (pool, left) in fleet.budgets() {
        metrics::gauge!("retry_budget_left", "pool" => pool).set(left as f64);
    }
    let lost = fleet.list_unreadable_since();
    let age = lost.map_or(0.0, |since| {
        shared.now().saturating_sub(since).as_secs_f64()
    });
    metrics::gauge!("server_list_lost_seconds").set(age);
}

fn status(shared: &Shared) -> String {
    let fleet = shared.fleet.borrow();
    let evacuated = fleet.evacuated_zones().into_iter();
    let evacuated = evacuated.map(|zone| fleet.zone_name(zone));
    json!({
        "ready": shared.is_ready(),
        "draining": shared.draining.get(),
        "generation": fleet.generation(),
        "list_version": fleet.list_version(),
        "gateways": fleet.gateway_count(),
        "follows": shared.is_follower(),
        "relay": fleet.is_relay(),
        "evacuated_zones": evacuated.collect::<Vec<_>>(),
        "shed_fraction": shared.shedder.fraction(),
        "running": shared.running.get(),
        "callers": shared.caller_connections.get(),
        "servers": fleet.status(),
    })
    .to_string()
}
