//! The forwarding rule for messages to routers without a direct link.

use primrose_core::id::HostId;
use primrose_core::id::Member;
use primrose_member::DropReason;
use primrose_member::Forward;
use primrose_member::Routed;
use primrose_member::Routes;
use primrose_member::MAX_HOPS;

struct FixedRoutes {
    me: Member,
    next: Option<HostId>,
}

impl Routes for FixedRoutes {
    fn me(&self) -> &Member {
        &self.me
    }

    fn next_hop(&self, _to: &Member) -> Option<&HostId> {
        self.next.as_ref()
    }
}

fn member(host: &str, incarnation: u64) -> Member {
    Member {
        host: host.to_owned(),
        incarnation,
    }
}

struct Case {
    name: &'static str,
    to: Member,
    hops: u8,
    next: Option<&'static str>,
    expected: Forward<u8>,
}

#[test]
fn forwarding_rule_delivers_relays_or_drops() {
    let from = member("a", 1);
    let relayed = Routed {
        from: from.clone(),
        to: member("c", 1),
        hops: 4,
        message: 9,
    };
    let cases = [
        Case {
            name: "for this process",
            to: member("b", 2),
            hops: MAX_HOPS,
            next: None,
            expected: Forward::Deliver {
                from: from.clone(),
                message: 9,
            },
        },
        Case {
            name: "for the previous process on the host",
            to: member("b", 1),
            hops: 0,
            next: Some("d"),
            expected: Forward::Drop(DropReason::Replaced),
        },
        Case {
            name: "for another router",
            to: member("c", 1),
            hops: 3,
            next: Some("d"),
            expected: Forward::Relay {
                next: "d".to_owned(),
                routed: relayed,
            },
        },
        Case {
            name: "no route",
            to: member("c", 1),
            hops: 3,
            next: None,
            expected: Forward::Drop(DropReason::NoWay),
        },
        Case {
            name: "too many hops",
            to: member("c", 1),
            hops: MAX_HOPS,
            next: Some("d"),
            expected: Forward::Drop(DropReason::Hops),
        },
    ];
    for case in cases {
        let routes = FixedRoutes {
            me: member("b", 2),
            next: case.next.map(str::to_owned),
        };
        let mut routed = Routed::new(from.clone(), case.to, 9);
        routed.hops = case.hops;
        assert_eq!(routed.forward(&routes), case.expected, "{}", case.name);
    }
}
