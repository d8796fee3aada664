//! Which connections of callers are closed when there are too many.
//!
//! Guards against a hot gateway that closed each connection after its response, since hundreds of
//! others that nobody used any more took all places: every request then came on a new connection,
//! and accepting them took all of the processor's time.

use std::rc::Rc;
use std::time::Duration;

use primrose_gateway::idle::CallerConnection;
use primrose_gateway::idle::IdleConnections;
use quickcheck::quickcheck;

const SECOND: Duration = Duration::from_secs(1);

/// Returns whether the connection was told to close.
fn is_closed(connection: &CallerConnection) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("a runtime").block_on(async {
        tokio::select! {
            biased;
            () = connection.closed() => true,
            () = std::future::ready(()) => false,
        }
    })
}

#[test]
fn the_connection_that_was_idle_for_longest_is_closed() {
    let idle = Rc::new(IdleConnections::default());
    let [fresh, busy, old, recent] = [(); 4].map(|()| CallerConnection::new(&idle));
    busy.set_idle(SECOND);
    old.set_idle(SECOND);
    recent.set_idle(SECOND * 2);
    busy.set_active();
    assert!(!idle.close_oldest(SECOND * 2), "it may be used again");
    assert!(idle.close_oldest(SECOND * 3));
    assert!(is_closed(&old));
    assert!(!idle.close_oldest(SECOND * 3));
    assert!(idle.close_oldest(SECOND * 4));
    assert!(is_closed(&recent));
    assert!(
        !idle.close_oldest(SECOND * 9),
        "no other connection is idle"
    );
    assert!(!is_closed(&fresh) && !is_closed(&busy));
}

quickcheck! {
    fn only_idle_connections_are_closed_and_each_once(steps: Vec<(u8, bool)>) -> bool {
        let idle = Rc::new(IdleConnections::default());
        let connections: Vec<_> = (0..8).map(|_| CallerConnection::new(&idle)).collect();
        let mut is_idle = [false; 8];
        for (number, becomes_idle) in steps {
            let number = usize::from(number) % 8;
            is_idle[number] = becomes_idle;
            if becomes_idle {
                connections[number].set_idle(SECOND);
            } else {
                connections[number].set_active();
            }
        }
        let closed = std::iter::from_fn(|| idle.close_oldest(SECOND * 9).then_some(())).count();
        closed == is_idle.iter().filter(|idle| **idle).count()
            && connections.iter().zip(is_idle).all(|(c, idle)| is_closed(c) == idle)
    }
}
