//! Messages on the wire: they survive it, stay small, and garbage is an error.

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

use crate::build::attempt;
use crate::build::finished;
use crate::build::grant;
use crate::build::message;
use crate::build::registration;

/// Control traffic of one request: 12 KB/s at 40 requests a second.
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
fn messages_survive_the_wire() {
    for body in bodies() {
        let sent = message(body);
        let received: Message = ciborium::from_reader(encode(&sent).as_slice()).unwrap();
        assert_eq!(received, sent);
    }
}

#[test]
fn one_request_stays_within_its_budget() {
    let bytes: usize = bodies()[..3]
        .iter()
        .map(|body| encode(&message(body.clone())).len())
        .sum();
    assert!(bytes <= BUDGET_BYTES, "{bytes}");
}

/// A message that is cut short is an error; one with a changed byte is one or another message.
#[test]
fn garbage_is_an_error() {
    fn property(pick: usize, at: usize, byte: u8) -> bool {
        let bodies = bodies();
        let mut bytes = encode(&message(bodies[pick % bodies.len()].clone()));
        let at = at % bytes.len();
        let cut: Result<Message, _> = ciborium::from_reader(&bytes[..at]);
        bytes[at] = byte;
        let changed: Result<Message, _> = ciborium::from_reader(bytes.as_slice());
        // What can be read can be written and read again.
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
