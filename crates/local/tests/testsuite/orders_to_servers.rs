//! Model versions: from the table to the engines, by the engines' own record.

use std::time::Duration;

use primrose_core::host::Host;
use primrose_core::host::HostState;
use primrose_local::Deployment;
use primrose_local::Shape;
use primrose_local::PREFIX;
use primrose_standin::engine::Engine;
use primrose_standin::engine::Order;
use primrose_store::store::Entry;
use primrose_store::store::Store;

use crate::fixture;

/// Longest wait where the lease of a router that is gone has to lapse.
const TAKEOVER: Duration = Duration::from_secs(180);
/// How long an engine loads where a test acts meanwhile.
const LOADING: Duration = Duration::from_secs(4);
/// Engine whose order the tests look at.
const ENGINE: &str = "barasat-engine-1";

/// Three zones of two routers and some engines.
fn start(engines: usize, change: impl FnOnce(&mut Shape)) -> Deployment {
    let mut shape = Shape::three_zones();
    for zone in &mut shape.zones {
        zone.routers = 2;
        zone.engines = engines;
    }
    change(&mut shape);
    Deployment::start(shape).unwrap()
}

fn wait_version(deployment: &Deployment, version: &str, limit: Duration) {
    let what = format!("every engine has version {version}");
    let loaded = |deployment: &Deployment| {
        let mut engines = deployment.engines().iter();
        engines.all(|engine| engine.order_state().version == version)
    };
    deployment.wait(&what, limit, loaded).unwrap();
}

/// Waits until the first engine was ordered to load a version.
fn wait_ordered(deployment: &Deployment, version: &str) {
    let what = format!("{ENGINE} loads version {version}");
    let ordered = |deployment: &Deployment| {
        let orders = deployment.engines()[0].orders();
        orders.iter().any(|one| one.order == load_of(version))
    };
    deployment.wait(&what, fixture::PATIENCE, ordered).unwrap();
}

/// Whether every router of a zone sees a server as leaving.
fn seen_leaving(deployment: &Deployment, server: &str, zone: &str) -> bool {
    let places = 0..deployment.places();
    let mut places = places.filter(|place| deployment.zone_of(*place) == zone);
    places.all(|place| {
        let status = deployment.status(place).unwrap_or_default();
        let pools = status["pools"].as_array().cloned().unwrap_or_default();
        let servers = pools.iter().flat_map(|pool| pool["servers"].as_array());
        let mut servers = servers.flatten();
        servers.any(|one| one["server"] == server && one["live"] == false)
    })
}

/// Key of an engine's orders.
fn order_key(deployment: &Deployment, engine: &str) -> Entry {
    let key = format!("{PREFIX}/orders/{engine}");
    deployment.kv().store().get(&key).unwrap().unwrap()
}

/// Place of the router that ordered an engine last.
fn holder(deployment: &Deployment, engine: &str) -> usize {
    let entry = order_key(deployment, engine);
    let mark: serde_json::Value = serde_json::from_slice(&entry.value).unwrap();
    let host = mark["holder"].as_str().unwrap();
    deployment.place_of(host).unwrap()
}

/// Fencing numbers of the orders that were carried out, in the order of arrival.
fn fences(engine: &Engine) -> Vec<u64> {
    let orders = engine.orders();
    let carried = orders.iter().filter(|order| order.accepted);
    carried.map(|order| order.fence).collect()
}

fn load_of(version: &str) -> Order {
    Order::Load {
        model: "draft-7b".to_owned(),
        version: version.to_owned(),
    }
}

/// Sends an order as somebody would who has not heard of its successors.
fn send_stale(engine: &Engine, version: &str) {
    let order = serde_json::json!({"fence": 0, "model": "draft-7b", "version": version});
    let url = format!("http://{}/orders", engine.addr());
    let body = serde_json::to_vec(&order).unwrap();
    ureq::post(&url).send(&body[..]).unwrap();
}

#[test]
fn an_edit_of_the_model_version_reaches_every_engine() {
    let mut deployment = start(2, |_| {});
    for engine in deployment.engines() {
        assert_eq!(engine.orders(), Vec::new(), "the table names no version");
    }
    deployment.edit_version(2, "2").unwrap();
    wait_version(&deployment, "2", fixture::PATIENCE);
    deployment.edit_version(3, "3").unwrap();
    wait_version(&deployment, "3", fixture::PATIENCE);
    for engine in deployment.engines() {
        let mut loads: Vec<Order> = engine.orders().into_iter().map(|one| one.order).collect();
        loads.dedup();
        assert_eq!(loads, [load_of("2"), load_of("3")]);
        assert!(fences(engine).is_sorted(), "{:?}", engine.orders());
    }
    let hosts = deployment.board().visible();
    let engines = hosts.iter().filter(|host| host.id.contains("engine"));
    for engine in engines {
        let place = holder(&deployment, &engine.id);
        let zone = deployment.zone_of(place);
        assert_eq!(zone, engine.zone, "{} is ordered from its zone", engine.id);
    }
}

#[test]
fn an_edit_reaches_the_engines_while_the_host_list_is_away() {
    let mut deployment = start(1, |_| {});
    deployment.edit_version(2, "2").unwrap();
    wait_version(&deployment, "2", fixture::PATIENCE);
    deployment.hosts().stop();
    deployment.edit_version(3, "3").unwrap();
    wait_version(&deployment, "3", fixture::PATIENCE);
}

#[test]
fn an_engine_that_restarts_with_another_version_is_corrected() {
    let mut deployment = start(1, |_| {});
    deployment.edit_version(2, "2").unwrap();
    wait_version(&deployment, "2", fixture::PATIENCE);
    let engine = &deployment.engines()[0];
    let before = engine.orders().len();
    engine.crash();
    engine.restart().unwrap();
    let corrected = |deployment: &Deployment| deployment.engines()[0].orders().len() > before;
    let what = "the engine that starts empty is ordered again";
    deployment.wait(what, TAKEOVER, corrected).unwrap();
    wait_version(&deployment, "2", TAKEOVER);
}

#[test]
fn another_router_corrects_when_the_one_with_the_duty_is_killed() {
    let mut deployment = start(1, |shape| shape.engine.loading_time = LOADING);
    deployment.edit_version(2, "2").unwrap();
    wait_ordered(&deployment, "2");
    let killed = holder(&deployment, ENGINE);
    deployment.kill(killed);
    deployment.edit_version(3, "3").unwrap();
    wait_version(&deployment, "3", TAKEOVER);
    assert_eq!(holder(&deployment, ENGINE), killed ^ 1);
    let fences = fences(&deployment.engines()[0]);
    assert!(fences.first() < fences.last(), "{fences:?}");
    assert!(fences.is_sorted(), "{fences:?}");
}

#[test]
fn a_graceful_shutdown_gives_back_what_is_held() {
    let mut deployment = start(1, |shape| shape.engine.loading_time = LOADING);
    deployment.edit_version(2, "2").unwrap();
    wait_ordered(&deployment, "2");
    let leaving = holder(&deployment, ENGINE);
    let held = order_key(&deployment, ENGINE).lease;
    deployment.shut_down(leaving).unwrap();
    // The other router may have taken the key by now, under a lease of its own.
    let now = order_key(&deployment, ENGINE).lease;
    assert!(now.is_none() || now != held, "{now:?}");
    if let Some(lease) = held {
        let renewed = deployment.kv().store().renew(&lease);
        assert!(renewed.is_err(), "the lease outlived its router");
    }
    deployment.edit_version(3, "3").unwrap();
    wait_version(&deployment, "3", fixture::PATIENCE);
}

#[test]
fn an_engine_that_obeys_anybody_ends_at_the_version_of_the_table() {
    let mut deployment = start(1, |shape| shape.engine.checks_fence = false);
    deployment.edit_version(2, "2").unwrap();
    wait_version(&deployment, "2", fixture::PATIENCE);
    let engine = &deployment.engines()[0];
    send_stale(engine, "1");
    let orders = engine.orders();
    let stale = orders.iter().position(|one| one.order == load_of("1"));
    let stale = stale.unwrap();
    assert!(orders[stale].accepted, "the engine checks nothing");
    assert!(orders[stale].fence < orders[stale - 1].fence);
    let corrected = |deployment: &Deployment| deployment.engines()[0].orders().len() > stale + 1;
    deployment
        .wait("a router orders again", TAKEOVER, corrected)
        .unwrap();
    wait_version(&deployment, "2", TAKEOVER);
    let last = deployment.engines()[0].orders().pop().unwrap();
    assert_eq!(last.order, load_of("2"));
    assert!(last.fence > 0);
}

#[test]
fn a_leaving_engine_gets_no_order() {
    let mut deployment = start(2, |_| {});
    let hosts = deployment.board().visible();
    let leaving = hosts.iter().find(|host| host.id == ENGINE).unwrap();
    deployment.board().put(Host {
        state: HostState::Leaving,
        ..leaving.clone()
    });
    let seen = |deployment: &Deployment| seen_leaving(deployment, ENGINE, &leaving.zone);
    let what = "the routers see the engine as leaving";
    deployment.wait(what, fixture::PATIENCE, seen).unwrap();
    deployment.edit_version(2, "2").unwrap();
    let others_loaded = |deployment: &Deployment| {
        let mut others = deployment.engines().iter().skip(1);
        others.all(|engine| engine.order_state().version == "2")
    };
    let what = "the other engines have the version";
    deployment
        .wait(what, fixture::PATIENCE, others_loaded)
        .unwrap();
    assert_eq!(deployment.engines()[0].orders(), Vec::new());
}
