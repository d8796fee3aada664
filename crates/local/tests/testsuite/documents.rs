//! The tables in force: forward only, everywhere, through outages.

use std::time::Duration;
use std::time::Instant;

use primrose_local::TABLES_KEY;
use primrose_store::store::Op;
use primrose_store::store::Store;

use crate::fixture;

/// Time within which an accepted edit must be in force on every router.
const MAX_ACTIVATION_TIME: Duration = Duration::from_secs(11);

fn all_have(deployment: &primrose_local::Deployment, generation: u64) -> bool {
    let places = 0..deployment.places();
    places
        .filter(|place| deployment.is_running(*place))
        .all(|place| fixture::generation(deployment, place) == generation)
}

#[test]
fn an_edit_comes_into_force_on_every_router_and_an_older_one_stays_out() {
    let deployment = fixture::start(3, 1);
    deployment.edit_tables(5).unwrap();
    let wait = |what| deployment.wait(what, fixture::PATIENCE, |d| all_have(d, 5));
    wait("generation 5 is in force").unwrap();
    // An old copy of the service: the fleet keeps what it has and says so.
    deployment.edit_tables(2).unwrap();
    let reported = |deployment: &primrose_local::Deployment| {
        let mut places = 0..deployment.places();
        places.any(|place| {
            let status = deployment.status(place).unwrap_or_default();
            !status["tables"]["behind"].is_null()
        })
    };
    let what = "a router reports that the service is behind";
    deployment.wait(what, fixture::PATIENCE, reported).unwrap();
    assert!(all_have(&deployment, 5));
}

#[test]
fn an_invalid_document_stays_out_and_status_says_why() {
    let deployment = fixture::start(1, 1);
    let broken = b"[document]\ngeneration = 9\n[route drafts]\npool = nowhere\n".to_vec();
    let op = Op::Put {
        key: TABLES_KEY.to_owned(),
        value: broken,
    };
    deployment.kv().store().commit(&[op]).unwrap();
    let rejected = |deployment: &primrose_local::Deployment| {
        let status = deployment.status(0).unwrap_or_default();
        !status["tables"]["rejected"].is_null()
    };
    let what = "the document is rejected";
    deployment.wait(what, fixture::PATIENCE, rejected).unwrap();
    assert!(all_have(&deployment, 1));
    assert!(fixture::stream(&deployment, 0, "notice", 3).whole);
}

#[test]
fn a_router_that_starts_without_the_platform_takes_the_tables_from_a_peer() {
    let mut deployment = fixture::start(2, 1);
    deployment.edit_tables(3).unwrap();
    let wait = |deployment: &primrose_local::Deployment, what: &str| {
        deployment
            .wait(what, fixture::PATIENCE, |d| all_have(d, 3))
            .unwrap();
    };
    wait(&deployment, "generation 3 is in force");
    deployment.kv().stop();
    deployment.replace(0).unwrap();
    wait(&deployment, "the empty router has the tables of its peer");
}

/// Guards against an edit that comes into force too late after the connections of all watching
/// routers have fallen silent: each waited 13 s for its watch.
#[test]
fn an_edit_comes_into_force_in_time_after_all_watches_fell_silent() {
    let deployment = fixture::start(1, 1);
    deployment.edit_tables(2).unwrap();
    let wait = |what, generation| {
        deployment
            .wait(what, fixture::PATIENCE, |d| all_have(d, generation))
            .unwrap();
    };
    wait("generation 2 is in force", 2);
    // The next watches are under way.
    std::thread::sleep(Duration::from_millis(500));
    deployment.kv().silence_pending();
    deployment.edit_tables(3).unwrap();
    let edited_at = Instant::now();
    wait("generation 3 is in force", 3);
    let elapsed = edited_at.elapsed();
    assert!(elapsed < MAX_ACTIVATION_TIME, "{elapsed:?}");
}
