//! Resolution of duplicate links: both ends keep the same link.

use primrose_link::resolve::resolve_duplicate;
use primrose_link::resolve::Candidate;
use primrose_link::resolve::Resolution;

use crate::tools::member;

struct Case {
    name: &'static str,
    me: &'static str,
    old: (u64, bool),
    new: (u64, bool),
    want: Resolution,
}

#[test]
fn resolution_prefers_newer_process_then_lesser_dialer() {
    let cases = [
        Case {
            name: "newer process",
            me: "a",
            old: (1, true),
            new: (2, false),
            want: Resolution::ReplaceProcess,
        },
        Case {
            name: "older process",
            me: "a",
            old: (2, false),
            new: (1, true),
            want: Resolution::KeepOld,
        },
        Case {
            name: "the lesser end dialed the new one",
            me: "a",
            old: (1, false),
            new: (1, true),
            want: Resolution::SwapConnection,
        },
        Case {
            name: "the lesser end dialed the old one",
            me: "a",
            old: (1, true),
            new: (1, false),
            want: Resolution::KeepOld,
        },
        Case {
            name: "seen from the greater end",
            me: "z",
            old: (1, true),
            new: (1, false),
            want: Resolution::SwapConnection,
        },
        Case {
            name: "dialed again by the same end",
            me: "z",
            old: (1, true),
            new: (1, true),
            want: Resolution::SwapConnection,
        },
    ];
    for case in cases {
        let old = member("m", case.old.0);
        let new = member("m", case.new.0);
        let got = resolve_duplicate(
            &member(case.me, 1),
            Candidate {
                peer: &old,
                dialed: case.old.1,
            },
            Candidate {
                peer: &new,
                dialed: case.new.1,
            },
        );
        assert_eq!(got, case.want, "{}", case.name);
    }
}

#[test]
fn both_ends_keep_the_same_link_in_any_order() {
    let a = member("a", 1);
    let b = member("b", 1);
    // Whichever link each end saw first, both keep the one that a dialed.
    for first_dialed in [true, false] {
        let old = Candidate {
            peer: &b,
            dialed: first_dialed,
        };
        let new = Candidate {
            peer: &b,
            dialed: !first_dialed,
        };
        let kept_at_a = resolve_duplicate(&a, old, new) == Resolution::KeepOld;
        assert_eq!(kept_at_a, first_dialed);
        let old = Candidate {
            peer: &a,
            dialed: first_dialed,
        };
        let new = Candidate {
            peer: &a,
            dialed: !first_dialed,
        };
        let kept_at_b = resolve_duplicate(&b, old, new) == Resolution::KeepOld;
        assert_eq!(kept_at_b, !first_dialed);
    }
}
