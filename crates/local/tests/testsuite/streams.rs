//! Answers through a whole fleet.

use crate::fixture;

#[test]
fn every_router_serves_whole_answers() {
    let deployment = fixture::start(2, 1);
    for place in 0..deployment.places() {
        let answer = fixture::stream(&deployment, place, &format!("notice {place}"), 8);
        assert!(answer.whole, "router {place}: {answer:?}");
    }
}

#[test]
fn work_of_one_zone_reaches_the_servers_of_all() {
    let deployment = fixture::start(1, 1);
    std::thread::scope(|scope| {
        for number in 0..24 {
            let deployment = &deployment;
            scope.spawn(move || {
                let answer = fixture::stream(deployment, 0, &format!("bale {number}"), 40);
                assert!(answer.whole, "{answer:?}");
            });
        }
    });
    for (number, engine) in deployment.engines().iter().enumerate() {
        assert!(!engine.runs().is_empty(), "engine {number} stayed idle");
    }
}
