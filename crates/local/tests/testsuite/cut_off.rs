//! One router that is cut off from the platform while its zone is not.

use primrose_local::PREFIX;
use primrose_store::store::Store;

use crate::fixture;

#[test]
fn a_router_that_is_cut_off_follows_edits_by_its_peers_and_claims_nothing() {
    let deployment = fixture::start(2, 1);
    deployment.cut_off(0, true);
    deployment.edit_tables(4).unwrap();
    let in_force = |deployment: &primrose_local::Deployment| {
        (0..deployment.places()).all(|place| fixture::generation(deployment, place) == 4)
    };
    let what = "generation 4 is in force, on the router that is cut off too";
    deployment.wait(what, fixture::PATIENCE, in_force).unwrap();
    assert!(fixture::stream(&deployment, 0, "notice", 3).whole);

    let client = fixture::client(&deployment);
    let router = deployment.router(0).callers();
    let answer = client.order(router, "van-7", "two bundles").unwrap();
    assert_eq!(answer.outcome, "not-run");
    assert_eq!(fixture::runs_of(&deployment, "van-7"), 0);
    let claims = deployment.kv().store().list(&format!("{PREFIX}/claims/"));
    assert_eq!(claims.unwrap(), Vec::new());
}

#[test]
fn engines_are_spread_over_several_pools() {
    let mut shape = primrose_local::Shape::three_zones();
    shape.pools = 2;
    for zone in &mut shape.zones {
        zone.engines = 3;
    }
    let deployment = primrose_local::Deployment::start(shape).unwrap();
    let status = deployment.status(0).unwrap();
    let pools = status["pools"].as_array().unwrap();
    let servers = |name: &str| {
        let pool = pools.iter().find(|pool| pool["pool"] == name);
        pool.and_then(|pool| pool["servers"].as_array())
            .map(Vec::len)
    };
    assert_eq!(servers("drafting"), Some(6));
    assert_eq!(servers("drafting-1"), Some(3));
}
