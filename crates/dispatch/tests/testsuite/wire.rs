//! Message encoding: round trips, sizes, and truncated or corrupted input.

use primrose_dispatch::message::Body;
use primrose_dispatch::message::Decline;
use primrose_dispatch::message::Demand;
use primrose_dispatch::message::Digest;
use primrose_dispatch::message::Ending;
use primrose_dispatch::message::Loan;
use primrose_dispatch::message::LoanId;
use primrose_dispatch::message::LoanReturn;
use primrose_dispatch::message::Loans;
use primrose_dispatch::message::Message;
use primrose_dispatch::message::Progress;
use primrose_dispatch::message::Registration;
use primrose_dispatch::message::Renew;
use primrose_dispatch::message::Seen;
use primrose_dispatch::message::Wait;
use primrose_dispatch::message::Want;
use primrose_dispatch::message::Withdraw;
use primrose_share::Row;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::harness::attempt;
use crate::harness::finished;
use crate::harness::grant;
use crate::harness::message;
use crate::harness::registration;

/// Budget of control traffic per request: 12 KB/s at 40 requests per second.
const BUDGET_BYTES: usize = 300;

const SEEN: Seen = Seen {
    epoch: u32::MAX,
    sequence: 1 << 20,
};

const LOAN: LoanId = LoanId {
    epoch: u32::MAX,
    sequence: 1 << 20,
};

fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).unwrap();
    bytes
}

fn full_registration() -> Registration {
    Registration {
        prefixes: vec![u32::MAX; 4],
        account: "altar-linen-annex".into(),
        route: "draft-rota-notices".into(),
        ..registration(u64::MAX, "")
    }
}

fn bodies() -> Vec<Body> {
    let mut granted = grant(u64::MAX, 1 << 20, 1 << 20);
    granted.epoch = u32::MAX;
    granted.server = "drafting-worker-07".into();
    vec![
        Body::Register(full_registration()),
        Body::Grant(granted),
        Body::Finished(finished(u64::MAX, Ending::Done)),
        Body::Withdraw(Withdraw { request: 1 }),
        Body::Resync,
        Body::Join,
        Body::Decline(Decline {
            attempt: attempt(5),
            epoch: 7,
            sequence: 9,
            waits: true,
        }),
        Body::Renew(Renew {
            beat: 3,
            seen: SEEN,
            waiting: [attempt(1), attempt(2)].into_iter().collect(),
            running: [attempt(3)].into_iter().collect(),
            progress: vec![Progress {
                attempt: attempt(3),
                used: 700,
            }],
        }),
        Body::Digest(Digest {
            sequence: 4,
            age: 1000,
            rows: vec![Row {
                account: "a".into(),
                charged: 3,
                refunded: 2,
                settled: 1,
            }],
            waiting: vec![Wait {
                account: "a".into(),
                waited: 1500,
            }],
            hosts: true,
            loans: Some(Loans {
                seen: SEEN,
                loans: Vec::new(),
            }),
        }),
        Body::Demand(Demand {
            sequence: 1,
            seen: SEEN,
            wants: vec![Want {
                account: "a".into(),
                count: 3,
            }],
            suspects: 1,
        }),
        Body::Loan(Loan {
            id: LOAN,
            server: "s0".into(),
            account: Some("a".into()),
            suspect: true,
        }),
        Body::LoanReturn(LoanReturn {
            id: LOAN,
            finished: Some(finished(5, Ending::Lost)),
            orphaned: true,
        }),
    ]
}

#[test]
fn messages_round_trip() {
    for body in bodies() {
        let sent = message(body);
        let received: Message = ciborium::from_reader(encode(&sent).as_slice()).unwrap();
        assert_eq!(received, sent);
    }
}

#[test]
fn one_request_stays_within_the_byte_budget() {
    let bytes: usize = bodies()[..3]
        .iter()
        .map(|body| encode(&message(body.clone())).len())
        .sum();
    assert!(bytes <= BUDGET_BYTES, "{bytes}");
}

/// A truncated message is an error. A message with a changed byte is an error or decodes to a
/// message that encodes consistently.
#[test]
fn truncated_messages_are_errors_and_corrupted_ones_stay_consistent() {
    fn property(pick: usize, at: usize, byte: u8) -> bool {
        let bodies = bodies();
        let mut bytes = encode(&message(bodies[pick % bodies.len()].clone()));
        let at = at % bytes.len();
        let cut: Result<Message, _> = ciborium::from_reader(&bytes[..at]);
        bytes[at] = byte;
        let changed: Result<Message, _> = ciborium::from_reader(bytes.as_slice());
        // A message that can be decoded must survive another round trip.
        let again = changed.map_or(true, |message| {
            let read: Result<Message, _> = ciborium::from_reader(encode(&message).as_slice());
            read.is_ok_and(|read| read == message)
        });
        cut.is_err() && again
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1000, 9))
        .tests(5000)
        .quickcheck(property as fn(usize, usize, u8) -> bool);
}
