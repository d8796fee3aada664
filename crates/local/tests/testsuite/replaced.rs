//! Routers that are killed and replaced.

use crate::fixture;

#[test]
fn the_fleet_serves_through_the_loss_of_each_router_in_turn() {
    let mut deployment = fixture::start(2, 1);
    for place in 0..deployment.places() {
        deployment.kill(place);
        // Its neighbour in the zone takes over whatever it dispatched.
        let neighbour = place ^ 1;
        let answer = fixture::stream(&deployment, neighbour, &format!("without {place}"), 3);
        assert!(answer.whole, "without router {place}: {answer:?}");
        deployment.replace(place).unwrap();
        let what = "the new router serves";
        let served = deployment.wait(what, fixture::PATIENCE, |deployment| {
            fixture::generation(deployment, place) > 0
                && fixture::stream(deployment, place, &format!("with {place}"), 3).whole
        });
        served.unwrap();
    }
}
