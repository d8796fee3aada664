//! Bound on the enlarged receive buffers of callers' connections.
//!
//! Guards against a fault in which each connection had a large buffer, so that a crowd filled more memory of
//! the kernel than the host had. See `docs/incidents/unread-bodies.md`.

use primrose_conn::ReceiveBuffers;

struct Case {
    bytes: usize,
    enlarged: usize,
}

const CASES: [Case; 4] = [
    Case {
        bytes: 0,
        enlarged: 0,
    },
    Case {
        bytes: (64 << 10) - 1,
        enlarged: 0,
    },
    Case {
        bytes: 64 << 10,
        enlarged: 1,
    },
    Case {
        bytes: 10_000_000,
        enlarged: 152,
    },
];

#[test]
fn as_many_buffers_are_enlarged_as_fit() {
    for case in &CASES {
        let buffers = ReceiveBuffers::within(case.bytes);
        let leases: Vec<_> = std::iter::from_fn(|| buffers.reserve()).collect();
        assert_eq!(leases.len(), case.enlarged, "{} bytes", case.bytes);
    }
}

#[test]
fn a_connection_that_ends_leaves_its_buffer_to_another() {
    let buffers = ReceiveBuffers::within(64 << 10);
    let lease = buffers.reserve();
    assert!(lease.is_some() && buffers.reserve().is_none());
    drop(lease);
    assert!(buffers.reserve().is_some());
}
