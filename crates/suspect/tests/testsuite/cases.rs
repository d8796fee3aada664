//! Status of a fingerprint after strikes, clearings, lifts, expiry and mass deaths.

use std::time::Duration;

use primrose_suspect::Death;
use primrose_suspect::FingerprintStatus;
use primrose_suspect::InFlightAttempt;
use primrose_suspect::Limits;
use primrose_suspect::Register;

use crate::death;
use crate::in_flight;
use crate::register;
use crate::NOW;

const REFUSED: FingerprintStatus = FingerprintStatus::Refused {
    retry_after: Duration::from_secs(15 * 60),
};
const HOUR: u64 = 3_600_000;

/// Something that happens, mostly to fingerprint 70.
enum Step {
    /// The server dies, in this run of its process, with the fingerprint in flight.
    Died(&'static str, u64),
    /// The server dies, in an unknown run, with an attempt in flight sent this many ms ago.
    DiedInUnknownRun(&'static str, u64),
    /// An attempt is abandoned on the silent server.
    Abandoned(&'static str),
    /// This many other servers die at the same time, without the fingerprint.
    OthersDied(usize),
    /// An attempt that started this many ms ago completes.
    Completed(u64),
    /// An operator lifts the strikes.
    Lifted,
    /// This many ms pass.
    Wait(u64),
}

struct Case {
    name: &'static str,
    steps: Vec<Step>,
    status: FingerprintStatus,
}

fn apply_steps(steps: &[Step]) -> (Register, u64) {
    let mut register = register();
    let mut now = NOW;
    let mut request = 0;
    for step in steps {
        request += 1;
        match step {
            Step::Died(server, run) => {
                let death = Death {
                    run: *run,
                    ..death(server, vec![in_flight(70, request)])
                };
                register.server_died(&death, now);
            }
            Step::DiedInUnknownRun(server, sent_ago) => {
                let in_flight = InFlightAttempt {
                    since: now - sent_ago,
                    ..in_flight(70, request)
                };
                let death = Death {
                    run: 0,
                    ..death(server, vec![in_flight])
                };
                register.server_died(&death, now);
            }
            Step::Abandoned(server) => {
                register.attempts_abandoned(&death(server, vec![in_flight(70, request)]), now);
            }
            Step::OthersDied(servers) => {
                for n in 0..*servers {
                    let fingerprint = 1000 + n as u64;
                    let death = death(
                        &format!("other-{n}"),
                        vec![in_flight(fingerprint, fingerprint)],
                    );
                    register.server_died(&death, now);
                }
            }
            Step::Completed(started_ago) => {
                register.completed(70, now - started_ago, now);
            }
            Step::Lifted => {
                register.lift(70, now);
            }
            Step::Wait(time) => now += time,
        }
    }
    (register, now)
}

#[test]
fn status_follows_from_deaths_clearings_and_lifts() {
    use Step::Abandoned;
    use Step::Completed;
    use Step::Died;
    use Step::DiedInUnknownRun;
    use Step::Lifted;
    use Step::OthersDied;
    use Step::Wait;
    let cases = [
        Case {
            name: "no deaths",
            steps: vec![],
            status: FingerprintStatus::Clear,
        },
        Case {
            name: "one death",
            steps: vec![Died("a", 1)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "two attempts in flight at one death",
            steps: vec![Died("a", 1), Died("a", 1)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "two attempts in flight at one death in an unknown run",
            steps: vec![
                DiedInUnknownRun("a", 50),
                Wait(400),
                DiedInUnknownRun("a", 450),
            ],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "two servers died",
            steps: vec![Died("a", 1), Died("b", 1)],
            status: REFUSED,
        },
        Case {
            name: "one server died in two runs",
            steps: vec![Died("a", 1), Died("a", 2)],
            status: REFUSED,
        },
        Case {
            name: "one server died twice in unknown runs",
            steps: vec![
                DiedInUnknownRun("a", 50),
                Wait(400),
                DiedInUnknownRun("a", 100),
            ],
            status: REFUSED,
        },
        Case {
            name: "only abandoned on silent servers",
            steps: vec![Abandoned("a"), Abandoned("b")],
            status: FingerprintStatus::Clear,
        },
        Case {
            name: "abandoned on one server, another died",
            steps: vec![Abandoned("a"), Died("b", 1)],
            status: REFUSED,
        },
        Case {
            name: "abandoned on the server that died",
            steps: vec![Abandoned("b"), Died("b", 1)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "a completed attempt clears",
            steps: vec![Died("a", 1), Wait(10), Completed(5)],
            status: FingerprintStatus::Clear,
        },
        Case {
            name: "an attempt that started before the death clears nothing",
            steps: vec![Died("a", 1), Wait(10), Completed(15)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "cleared, then another strike",
            steps: vec![Died("a", 1), Wait(10), Completed(5), Died("b", 1)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "lifted",
            steps: vec![Died("a", 1), Died("b", 1), Lifted],
            status: FingerprintStatus::Clear,
        },
        Case {
            name: "another strike after a lift",
            steps: vec![Died("a", 1), Died("b", 1), Lifted, Wait(1), Died("c", 1)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "after the refusal it may run in isolation",
            steps: vec![Died("a", 1), Died("b", 1), Wait(HOUR / 4)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "a third death refuses for longer",
            steps: vec![Died("a", 1), Died("b", 1), Wait(HOUR / 4), Died("c", 1)],
            status: FingerprintStatus::Refused {
                retry_after: Duration::from_secs(3600),
            },
        },
        Case {
            name: "expired after a day",
            steps: vec![Died("a", 1), Died("b", 1), Wait(25 * HOUR)],
            status: FingerprintStatus::Clear,
        },
        Case {
            name: "a mass death does not isolate",
            steps: vec![Died("a", 1), OthersDied(3)],
            status: FingerprintStatus::Clear,
        },
        Case {
            name: "retried on another server of the same mass death",
            steps: vec![Died("a", 1), OthersDied(3), Wait(1000), Died("b", 1)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "a mass death, then a single death",
            steps: vec![Died("a", 1), OthersDied(3), Wait(60_000), Died("b", 1)],
            status: REFUSED,
        },
        Case {
            name: "two other deaths are no mass death",
            steps: vec![Died("a", 1), OthersDied(2)],
            status: FingerprintStatus::Suspect,
        },
    ];
    for case in cases {
        let (register, now) = apply_steps(&case.steps);
        assert_eq!(register.status(70, now), case.status, "{}", case.name);
    }
}

#[test]
fn list_shows_account_route_and_servers() {
    let (register, now) = apply_steps(&[Step::Died("a", 1), Step::Wait(5), Step::Died("b", 1)]);
    let list = register.list(now);
    assert_eq!(list.len(), 1);
    assert_eq!(list[0].status, REFUSED);
    assert_eq!(list[0].account, "parish-3");
    assert_eq!(list[0].servers, ["a", "b"]);
    assert_eq!(list[0].last_death, NOW + 5);
}

#[test]
fn records_expire_and_fingerprints_are_limited() {
    let (mut register, now) = apply_steps(&[Step::Died("a", 1), Step::Completed(0), Step::Lifted]);
    register.expire(now + 25 * HOUR);
    assert!(register.snapshot().is_empty());

    let limits = Limits {
        max_fingerprints: 3,
        ..Limits::default()
    };
    let mut register = Register::new(limits);
    for n in 0..10 {
        register.server_died(&death("a", vec![in_flight(n, n)]), NOW + n);
    }
    assert_eq!(register.list(NOW + 10).len(), 3);
    assert_eq!(register.status(9, NOW + 10), FingerprintStatus::Suspect);
}

#[test]
fn strike_from_a_fast_clock_does_not_last_longer() {
    let mut fast_clock = register();
    let message = fast_clock.server_died(&death("a", vec![in_flight(70, 1)]), NOW + 10 * HOUR);
    let mut register = register();
    register.merge(&message, NOW);
    assert_eq!(register.status(70, NOW), FingerprintStatus::Suspect);
    assert_eq!(
        register.status(70, NOW + 25 * HOUR),
        FingerprintStatus::Clear
    );
}
