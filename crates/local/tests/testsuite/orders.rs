//! Orders over the whole fleet: at most one run, and a truthful outcome.

use primrose_local::Client;
use primrose_standin::plain::PlainFault;

use crate::fixture;

#[test]
fn one_key_through_every_router_at_once_runs_once() {
    let deployment = fixture::start(2, 1);
    let answers = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..deployment.places())
            .map(|place| {
                let client = fixture::client(&deployment);
                let router = deployment.router(place).callers();
                scope.spawn(move || client.order(router, "van-1", "{}").unwrap())
            })
            .collect();
        let answers = calls.into_iter().map(|call| call.join().unwrap());
        answers.collect::<Vec<_>>()
    });
    assert_eq!(fixture::runs_of(&deployment, "van-1"), 1);
    for answer in &answers {
        assert_ne!(answer.outcome, "not-run", "{answer:?}");
    }
    assert!(answers.iter().any(|answer| answer.outcome == "done"));
    for place in 0..deployment.places() {
        let router = deployment.router(place).callers();
        let again = fixture::client(&deployment)
            .order(router, "van-1", "{}")
            .unwrap();
        assert_eq!(again.outcome, "done", "{again:?}");
    }
    assert_eq!(fixture::runs_of(&deployment, "van-1"), 1);
}

#[test]
fn a_lost_reply_is_unknown_and_never_runs_again() {
    let deployment = fixture::start(1, 1);
    for plain in deployment.plains() {
        plain.set_fault(Some(PlainFault::LoseReply));
    }
    let client = fixture::client(&deployment);
    let first = client
        .order(deployment.router(0).callers(), "van-2", "{}")
        .unwrap();
    assert_eq!(first.outcome, "unknown", "{first:?}");
    for plain in deployment.plains() {
        plain.set_fault(None);
    }
    for place in 0..deployment.places() {
        let again = client
            .order(deployment.router(place).callers(), "van-2", "{}")
            .unwrap();
        assert_eq!(again.outcome, "unknown", "{again:?}");
    }
    assert_eq!(fixture::runs_of(&deployment, "van-2"), 1);
}

#[test]
fn another_body_is_refused_and_another_account_has_its_own_keys() {
    let deployment = fixture::start(1, 1);
    let client = fixture::client(&deployment);
    let router = deployment.router(0).callers();
    client.order(router, "van-3", "{\"bales\":1}").unwrap();
    let other = client
        .order(deployment.router(1).callers(), "van-3", "{\"bales\":2}")
        .unwrap();
    assert_eq!(other.code, "key-reused");
    let account = deployment.shape().accounts[1].name.clone();
    let neighbour = Client::new(&deployment.bearer(&account));
    let theirs = neighbour.order(router, "van-3", "{\"bales\":2}").unwrap();
    assert_eq!(theirs.outcome, "done");
    assert_eq!(fixture::runs_of(&deployment, "van-3"), 2);
}

#[test]
fn without_the_platform_orders_do_not_run_and_the_rest_goes_on() {
    let deployment = fixture::start(1, 1);
    deployment.kv().stop();
    let client = fixture::client(&deployment);
    let router = deployment.router(0).callers();
    let order = client.order(router, "van-4", "{}").unwrap();
    assert_eq!(order.outcome, "not-run", "{order:?}");
    assert_eq!(order.code, "claims-unavailable");
    assert!(fixture::stream(&deployment, 0, "notice", 5).whole);
    assert_eq!(fixture::runs_of(&deployment, "van-4"), 0);
    deployment.kv().restart().unwrap();
    let what = "an order runs again";
    let retried = deployment.wait(what, fixture::PATIENCE, |_| {
        client.order(router, "van-4", "{}").unwrap().outcome == "done"
    });
    retried.unwrap();
    assert_eq!(fixture::runs_of(&deployment, "van-4"), 1);
}
