//! Endpoints over loopback: links come up, transfer messages, resolve duplicates and end.

use primrose_link::DownReason;
use primrose_link::LinkEvent;
use primrose_link::RefusedReason;
use primrose_link::SendError;

use crate::tools::config;
use crate::tools::member;
use crate::tools::Router;
use crate::tools::QUIET_PERIOD;

#[test]
fn carries_messages_both_ways_in_order() {
    let (a, b) = (Router::start_named("a"), Router::start_named("b"));
    a.connect("b", &b);
    assert_eq!(a.wait_up(), member("b", 1));
    assert_eq!(b.wait_up(), member("a", 1));
    for number in 0..500 {
        a.send("b", &format!("to b {number}"));
        b.send("a", &format!("to a {number}"));
    }
    for number in 0..500 {
        assert_eq!(b.wait_message(), format!("to b {number}"));
        assert_eq!(a.wait_message(), format!("to a {number}"));
    }
    let stats = a.endpoint.stats();
    assert_eq!(stats.total.messages_out, 500);
    assert_eq!(stats.total.messages_in, 500);
    assert_eq!(stats.links.len(), 1);
    assert_eq!(stats.links[0].host, "b");
    assert!(stats.links[0].traffic.bytes_out > 500 * 8);
}

#[test]
fn queued_messages_share_a_frame() {
    let (a, b) = (Router::start_named("a"), Router::start_named("b"));
    a.connect("b", &b);
    a.wait_up();
    let message = "x".repeat(10);
    (0..2000).for_each(|_| a.send("b", &message));
    (0..2000).for_each(|_| drop(b.wait_message()));
    let total = a.endpoint.stats().total;
    assert_eq!(total.messages_out, 2000);
    assert!(total.frames_out < total.messages_out, "{total:?}");
}

#[test]
fn simultaneous_connects_result_in_one_link() {
    for _ in 0..10 {
        let (a, b) = (Router::start_named("a"), Router::start_named("b"));
        a.connect("b", &b);
        b.connect("a", &a);
        a.wait_up();
        b.wait_up();
        std::thread::sleep(QUIET_PERIOD);
        assert_eq!(a.endpoint.stats().links.len(), 1);
        assert_eq!(b.endpoint.stats().links.len(), 1);
        // After one link is chosen, it does not flap.
        a.events.try_iter().for_each(drop);
        b.events.try_iter().for_each(drop);
        std::thread::sleep(QUIET_PERIOD);
        assert!(a.events.is_empty() && b.events.is_empty());
        a.send("b", "hello");
        assert_eq!(b.wait_message(), "hello");
    }
}

#[test]
fn newer_process_replaces_the_link_of_the_older() {
    let hub = Router::start_named("hub");
    let old = Router::start(config(member("m", 1), "barasat"));
    old.connect("hub", &hub);
    assert_eq!(hub.wait_up(), member("m", 1));
    let new = Router::start(config(member("m", 2), "barasat"));
    new.connect("hub", &hub);
    let down = hub.wait(|e| matches!(e, LinkEvent::Down { .. }));
    let reason = DownReason::Replaced;
    let member_old = member("m", 1);
    assert_eq!(
        down,
        LinkEvent::Down {
            member: member_old,
            reason
        }
    );
    assert_eq!(hub.wait_up(), member("m", 2));
    // The older process is refused from then on.
    let refused = hub.wait_refused();
    assert_eq!(refused, RefusedReason::Duplicate);
    new.send("hub", "from the new");
    assert_eq!(hub.wait_message(), "from the new");
}

#[test]
fn restarted_peer_is_linked_again() {
    let a = Router::start_named("a");
    let b = Router::start_named("b");
    let addr = b.addr();
    a.connect("b", &b);
    a.wait_up();
    b.endpoint.stop();
    a.wait(|e| matches!(e, LinkEvent::Down { .. }));
    let mut restarted = config(member("b", 2), "barasat");
    restarted.listen = addr;
    let _b = Router::start(restarted);
    assert_eq!(a.wait_up(), member("b", 2));
}

#[test]
fn unsendable_messages_are_errors() {
    let mut small = config(member("a", 1), "barasat");
    small.limits.max_queue_messages = 10;
    small.limits.max_frame_bytes = 100;
    let a = Router::start(small);
    let b = Router::start_named("b");
    let host = "b".to_owned();
    let not_linked = a.endpoint.send(&host, &"x".to_owned()).unwrap_err();
    assert_eq!(not_linked, SendError::NoLink { host: host.clone() });
    a.connect("b", &b);
    a.wait_up();
    let large = a.endpoint.send(&host, &"x".repeat(200)).unwrap_err();
    assert!(matches!(large, SendError::TooLarge { limit: 100, .. }));
    let full = (0..1_000_000).find_map(|_| a.endpoint.send(&host, &"x".to_owned()).err());
    assert_eq!(full, Some(SendError::Full { host }));
    assert!(a.endpoint.stats().total.dropped >= 1);
}

#[test]
fn stopping_endpoint_flushes_queued_messages() {
    let (a, b) = (Router::start_named("a"), Router::start_named("b"));
    a.connect("b", &b);
    a.wait_up();
    (0..1000).for_each(|number| a.send("b", &number.to_string()));
    a.endpoint.stop();
    (0..1000).for_each(|number| assert_eq!(b.wait_message(), number.to_string()));
    let down = b.wait(|e| matches!(e, LinkEvent::Down { .. }));
    let reason = DownReason::Closed;
    let member = member("a", 1);
    assert_eq!(down, LinkEvent::Down { member, reason });
}

#[test]
fn disconnect_closes_the_link_and_stops_dialing() {
    let (a, b) = (Router::start_named("a"), Router::start_named("b"));
    a.connect("b", &b);
    a.wait_up();
    b.wait_up();
    a.endpoint.disconnect(&"b".to_owned());
    let down = a.wait(|e| matches!(e, LinkEvent::Down { .. }));
    let reason = DownReason::Disconnected;
    let member = member("b", 1);
    assert_eq!(down, LinkEvent::Down { member, reason });
    b.wait(|e| matches!(e, LinkEvent::Down { .. }));
    std::thread::sleep(QUIET_PERIOD);
    assert!(a.events.is_empty());
}

#[test]
fn seed_that_is_this_router_is_no_longer_dialed() {
    let (a, b) = (Router::start_named("a"), Router::start_named("b"));
    a.endpoint.connect_seed(a.addr());
    a.endpoint.connect_seed(b.addr());
    assert_eq!(a.wait_up(), member("b", 1));
    a.endpoint.disconnect_seed(b.addr());
    a.wait(|e| matches!(e, LinkEvent::Down { .. }));
    std::thread::sleep(QUIET_PERIOD);
    assert!(a.endpoint.stats().links.is_empty());
}

#[test]
fn seed_that_becomes_a_host_to_connect_keeps_its_link() {
    let (a, b) = (Router::start_named("a"), Router::start_named("b"));
    a.endpoint.connect_seed(b.addr());
    a.wait_up();
    a.connect("b", &b);
    a.endpoint.disconnect_seed(b.addr());
    std::thread::sleep(QUIET_PERIOD);
    assert!(a.events.is_empty());
    a.send("b", "still here");
    assert_eq!(b.wait_message(), "still here");
}

#[test]
fn slow_receiver_applies_backpressure_without_loss() {
    let mut patient_config = config(member("b", 1), "barasat");
    patient_config.limits.idle_timeout = std::time::Duration::from_secs(20);
    patient_config.limits.write_timeout = std::time::Duration::from_secs(20);
    let (sender, events) = crossbeam_channel::bounded(2);
    let b = primrose_link::Endpoint::<String>::start(patient_config, sender).unwrap();
    let a = Router::start_named("a");
    a.endpoint.connect(&"b".to_owned(), b.local_addr());
    a.wait_up();
    for number in 0..1000 {
        a.send("b", &number.to_string());
    }
    std::thread::sleep(QUIET_PERIOD);
    let mut seen = 0;
    while seen < 1000 {
        let event = events.recv_timeout(crate::tools::EVENT_TIMEOUT).unwrap();
        if let LinkEvent::Message { message, .. } = event {
            assert_eq!(message, seen.to_string());
            seen += 1;
        }
    }
}
