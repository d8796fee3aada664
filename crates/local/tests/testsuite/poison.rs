//! A request that crashes every engine that runs it.

use crate::fixture;

/// Text that crashes the stand-in engine.
const MARKER: &str = "crash-the-engine";
/// Most engines that one request may take.
const MOST_CRASHES: usize = 2;

#[test]
fn a_poison_request_takes_two_engines_at_most_through_any_router() {
    let deployment = fixture::start(2, 2);
    let mut refused = false;
    for round in 0..4 {
        for place in 0..deployment.places() {
            let answer = fixture::stream(&deployment, place, MARKER, 5);
            assert!(!answer.whole, "round {round}, router {place}: {answer:?}");
            refused |= answer.code == "poison";
        }
    }
    let crashes: usize = deployment
        .engines()
        .iter()
        .map(|engine| engine.crashes())
        .sum();
    assert!(crashes <= MOST_CRASHES, "{crashes} engines were lost");
    assert!(refused, "the request was never refused");
    for place in 0..deployment.places() {
        let answer = fixture::stream(&deployment, place, &format!("innocent {place}"), 3);
        assert!(answer.whole, "router {place}: {answer:?}");
    }
}
