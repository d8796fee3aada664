//! Graceful shutdown.

use crate::fixture;

/// Requests in flight at the shutdown.
const REQUESTS: usize = 12;

#[test]
fn a_shutdown_cuts_nothing_off() {
    let mut deployment = fixture::start(2, 1);
    let router = deployment.router(0).callers();
    let clock = deployment.clock().clone();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|_| fixture::client(&deployment))
        .collect();
    std::thread::scope(|scope| {
        let calls: Vec<_> = clients
            .iter()
            .enumerate()
            .map(|(number, client)| {
                let clock = clock.clone();
                scope.spawn(move || {
                    let text = format!("notice {number}");
                    let body = primrose_local::chat_body(&text, 60, None, true);
                    client
                        .stream(router, &body, &text, &*clock, |_| {})
                        .unwrap()
                })
            })
            .collect();
        let begun = |deployment: &primrose_local::Deployment| {
            let runs = deployment
                .engines()
                .iter()
                .map(|engine| engine.runs().len());
            runs.sum::<usize>() >= REQUESTS
        };
        let what = "all requests have begun";
        deployment.wait(what, fixture::PATIENCE, begun).unwrap();
        let ended = deployment.shut_down(0).unwrap();
        assert_eq!(ended.cut, Vec::new());
        for call in calls {
            let answer = call.join().unwrap();
            assert!(answer.whole, "{answer:?}");
        }
    });
    assert!(fixture::stream(&deployment, 1, "after", 3).whole);
}
