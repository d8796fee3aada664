//! The test hook that simulates a network partition.

use primrose_link::BlockScope;
use primrose_link::DownReason;
use primrose_link::LinkEvent;

use crate::tools::config;
use crate::tools::member;
use crate::tools::Router;
use crate::tools::QUIET_PERIOD;

struct Case {
    name: &'static str,
    scope: BlockScope,
}

#[test]
fn blocked_link_times_out_at_both_ends_and_reconnects_when_unblocked() {
    let cases = [
        Case {
            name: "host",
            scope: BlockScope::Host("b".to_owned()),
        },
        Case {
            name: "zone",
            scope: BlockScope::Zone("george".to_owned()),
        },
    ];
    for case in cases {
        let a = Router::start_named("a");
        let b = Router::start(config(member("b", 1), "george"));
        a.connect("b", &b);
        b.connect("a", &a);
        a.wait_up();
        b.wait_up();
        std::thread::sleep(QUIET_PERIOD);
        a.endpoint.set_blocked(case.scope.clone(), true);
        let reason = DownReason::Silent;
        for router in [&a, &b] {
            let down = router.wait(|e| matches!(e, LinkEvent::Down { .. }));
            let silent = matches!(&down, LinkEvent::Down { reason: r, .. } if *r == reason);
            // The end that times out first closes the connection to the other.
            let closed =
                matches!(&down, LinkEvent::Down { reason: r, .. } if *r == DownReason::Closed);
            assert!(silent || closed, "{}: {down:?}", case.name);
        }
        // Both keep dialing without success.
        std::thread::sleep(2 * QUIET_PERIOD);
        for router in [&a, &b] {
            assert!(router.endpoint.stats().links.is_empty(), "{}", case.name);
            let up = |e: LinkEvent<String>| matches!(e, LinkEvent::Up { .. });
            assert!(!router.events.try_iter().any(up), "{}", case.name);
        }
        a.endpoint.set_blocked(case.scope, false);
        assert_eq!(a.wait_up(), member("b", 1), "{}", case.name);
        assert_eq!(b.wait_up(), member("a", 1), "{}", case.name);
    }
}

#[test]
fn messages_to_a_blocked_peer_are_dropped() {
    let (a, b) = (Router::start_named("a"), Router::start_named("b"));
    a.connect("b", &b);
    a.wait_up();
    b.wait_up();
    a.endpoint
        .set_blocked(BlockScope::Host("b".to_owned()), true);
    a.send("b", "lost");
    // The writer takes the message while the peer is blocked, at the latest after a keepalive.
    std::thread::sleep(QUIET_PERIOD);
    a.endpoint
        .set_blocked(BlockScope::Host("b".to_owned()), false);
    loop {
        // The link may or may not have survived the block.
        if a.endpoint.send(&"b".to_owned(), &"kept".to_owned()).is_ok() {
            break;
        }
        a.wait_up();
    }
    assert_eq!(b.wait_message(), "kept");
}
