//! The forwarding rule.

use primrose_core::id::HostId;
use primrose_core::id::Member;
use primrose_member::DropReason;
use primrose_member::Forward;
use primrose_member::Routed;
use primrose_member::Routes;
use primrose_member::MAX_HOPS;

struct Fixed {
    me: Member,
    next: Option<HostId>,
}

impl Routes for Fixed {
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
    want: Forward<u8>,
}

#[test]
fn each_router_applies_the_same_rule() {
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
            want: Forward::Deliver {
                from: from.clone(),
                message: 9,
            },
        },
        Case {
            name: "for the process before",
            to: member("b", 1),
            hops: 0,
            next: Some("d"),
            want: Forward::Drop(DropReason::Replaced),
        },
        Case {
            name: "for another router",
            to: member("c", 1),
            hops: 3,
            next: Some("d"),
            want: Forward::Relay {
                next: "d".to_owned(),
                routed: relayed,
            },
        },
        Case {
            name: "no way",
            to: member("c", 1),
            hops: 3,
            next: None,
            want: Forward::Drop(DropReason::NoWay),
        },
        Case {
            name: "too far",
            to: member("c", 1),
            hops: MAX_HOPS,
            next: Some("d"),
            want: Forward::Drop(DropReason::Hops),
        },
    ];
    for case in cases {
        let routes = Fixed {
            me: member("b", 2),
            next: case.next.map(str::to_owned),
        };
        let mut routed = Routed::new(from.clone(), case.to, 9);
        routed.hops = case.hops;
        assert_eq!(routed.forward(&routes), case.want, "{}", case.name);
    }
}
