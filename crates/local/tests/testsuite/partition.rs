//! Availability zones that are cut off from each other.

use primrose_link::BlockScope;

use crate::fixture;

#[test]
fn zones_that_are_cut_off_go_on_and_join_again() {
    let deployment = fixture::start(2, 1);
    let zones: Vec<String> = deployment
        .shape()
        .zones
        .iter()
        .map(|zone| zone.name.clone())
        .collect();
    let cut = |blocked: bool| {
        for place in 0..deployment.places() {
            let others = zones
                .iter()
                .filter(|zone| *zone != deployment.zone_of(place));
            for zone in others {
                let scope = BlockScope::Zone(zone.clone());
                deployment
                    .router(place)
                    .endpoint()
                    .set_blocked(scope, blocked);
            }
        }
    };
    cut(true);
    for place in 0..deployment.places() {
        let answer = fixture::stream(&deployment, place, &format!("apart {place}"), 5);
        assert!(answer.whole, "router {place}: {answer:?}");
    }
    cut(false);
    // All work in one zone reaches the others again once they have joined.
    let before = deployment.engines()[2].runs().len();
    let what = "work crosses zones again";
    let joined = deployment.wait(what, fixture::PATIENCE, |deployment| {
        std::thread::scope(|scope| {
            for number in 0..20 {
                scope
                    .spawn(move || fixture::stream(deployment, 0, &format!("joined {number}"), 20));
            }
        });
        deployment.engines()[2].runs().len() > before
    });
    joined.unwrap();
}
