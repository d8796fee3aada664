//! Values of every type are validated for form and range.

use crate::faults::Case;

#[test]
fn invalid_values_are_reported() {
    let route = "route chat";
    let pool = "pool engines";
    let cases = [
        Case {
            name: "duration without unit",
            from: "deadline = 30s",
            to: "deadline = 30",
            line: 7,
            section: route,
            key: "deadline",
            expected: "such as 1300ms",
            ..Case::DEFAULT
        },
        Case {
            name: "duration of zero",
            from: "longest-run = 60s",
            to: "longest-run = 0s",
            line: 22,
            section: pool,
            key: "longest-run",
            expected: "above 0",
            ..Case::DEFAULT
        },
        Case {
            name: "duration beyond 64 bits",
            from: "deadline = 30s",
            to: "deadline = 18446744073709551615h",
            line: 7,
            section: route,
            key: "deadline",
            expected: "up to a year",
            ..Case::DEFAULT
        },
        Case {
            name: "neither yes nor no",
            from: "idempotent = yes",
            to: "idempotent = true",
            line: 8,
            section: route,
            key: "idempotent",
            expected: "expected yes or no, found \"true\"",
            ..Case::DEFAULT
        },
        Case {
            name: "cost of zero",
            from: "cost = 500",
            to: "cost = 0",
            line: 9,
            section: route,
            key: "cost",
            expected: "from 1",
            ..Case::DEFAULT
        },
        Case {
            name: "kind",
            from: "kind = engine",
            to: "kind = gpu",
            line: 17,
            section: pool,
            key: "kind",
            expected: "engine or plain",
            ..Case::DEFAULT
        },
        Case {
            name: "server by host name",
            from: "a@10.0.0.1:80",
            to: "a@engine-1:80",
            line: 18,
            section: pool,
            key: "server.e1",
            expected: "ZONE@IP:PORT",
            ..Case::DEFAULT
        },
        Case {
            name: "maximum of slots of zero",
            from: "max-slots = 8",
            to: "max-slots = 0",
            line: 21,
            section: pool,
            key: "max-slots",
            expected: "from 1 to 65536",
            ..Case::DEFAULT
        },
        Case {
            name: "weight of zero",
            from: "weight.large = 4",
            to: "weight.large = 0",
            line: 23,
            section: pool,
            key: "weight.large",
            expected: "from 1 to 10000",
            ..Case::DEFAULT
        },
        Case {
            name: "weight without an account",
            from: "weight.large = 4",
            to: "weight. = 4",
            line: 23,
            section: pool,
            key: "weight.",
            expected: "a name of up to 64",
            ..Case::DEFAULT
        },
        Case {
            name: "queue limit of one account above the total",
            from: "weight.large = 4",
            to: "queue-total-requests = 3",
            line: 23,
            section: pool,
            key: "queue-total-requests",
            expected: "at least what one account may queue",
            ..Case::DEFAULT
        },
        Case {
            name: "path that the router serves itself",
            from: "path = /orders",
            to: "path = /healthz",
            line: 11,
            section: "route order",
            key: "path",
            expected: "a path that the router does not answer itself",
            ..Case::DEFAULT
        },
        Case {
            name: "path with a query",
            from: "path = /orders",
            to: "path = /orders?x=1",
            line: 11,
            section: "route order",
            key: "path",
            expected: "a path that begins with /",
            ..Case::DEFAULT
        },
        Case {
            name: "change id",
            from: "change = 00000000000000aa",
            to: "change = +aa",
            line: 3,
            section: "document",
            key: "change",
            expected: "16 hexadecimal digits",
            ..Case::DEFAULT
        },
        Case {
            name: "generation that has no successor",
            from: "generation = 7",
            to: "generation = 18446744073709551615",
            line: 2,
            section: "document",
            key: "generation",
            expected: "up to 9007199254740992",
            ..Case::DEFAULT
        },
        Case {
            name: "generation",
            from: "generation = 7",
            to: "generation = -7",
            line: 2,
            section: "document",
            key: "generation",
            expected: "a whole number",
            ..Case::DEFAULT
        },
    ];
    for case in cases {
        case.check();
    }
}
