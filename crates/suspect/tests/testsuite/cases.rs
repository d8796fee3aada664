//! Cases of strikes, clearings, lifts, expiry and mass deaths.

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

/// Something that happens to fingerprint 70.
enum Step {
    /// A server dies with it, in this run of its process.
    Died(&'static str, u64),
    /// A server dies with it, which had been sent this long ago, in ms; the run is not known.
    DiedUnknown(&'static str, u64),
    /// It is given up on a silent server.
    GivenUp(&'static str),
    /// Servers die without it, all at the same time.
    OthersDied(usize),
    /// A run that began this long ago, in ms, comes to its end.
    Completed(u64),
    /// The operator lifts.
    Lifted,
    /// Time passes, in ms.
    Wait(u64),
}

struct Case {
    name: &'static str,
    steps: Vec<Step>,
    status: FingerprintStatus,
}

fn play(steps: &[Step]) -> (Register, u64) {
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
            Step::DiedUnknown(server, ago) => {
                let in_flight = InFlightAttempt {
                    since: now - ago,
                    ..in_flight(70, request)
                };
                let death = Death {
                    run: 0,
                    ..death(server, vec![in_flight])
                };
                register.server_died(&death, now);
            }
            Step::GivenUp(server) => {
                register.attempts_abandoned(&death(server, vec![in_flight(70, request)]), now);
            }
            Step::OthersDied(servers) => {
                for n in 0..*servers {
                    let print = 1000 + n as u64;
                    let death = death(&format!("other-{n}"), vec![in_flight(print, print)]);
                    register.server_died(&death, now);
                }
            }
            Step::Completed(ago) => {
                register.completed(70, now - ago, now);
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
fn what_is_held_against_a_fingerprint() {
    use Step::Completed;
    use Step::Died;
    use Step::DiedUnknown;
    use Step::GivenUp;
    use Step::Lifted;
    use Step::OthersDied;
    use Step::Wait;
    let cases = [
        Case {
            name: "nothing",
            steps: vec![],
            status: FingerprintStatus::Clear,
        },
        Case {
            name: "one death",
            steps: vec![Died("a", 1)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "two copies at one death",
            steps: vec![Died("a", 1), Died("a", 1)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "two copies at one death whose run is not known",
            steps: vec![DiedUnknown("a", 50), Wait(400), DiedUnknown("a", 450)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "two servers",
            steps: vec![Died("a", 1), Died("b", 1)],
            status: REFUSED,
        },
        Case {
            name: "one server in two runs",
            steps: vec![Died("a", 1), Died("a", 2)],
            status: REFUSED,
        },
        Case {
            name: "one server twice, runs not known",
            steps: vec![DiedUnknown("a", 50), Wait(400), DiedUnknown("a", 100)],
            status: REFUSED,
        },
        Case {
            name: "given up on silent servers alone",
            steps: vec![GivenUp("a"), GivenUp("b")],
            status: FingerprintStatus::Clear,
        },
        Case {
            name: "given up on one server, another died",
            steps: vec![GivenUp("a"), Died("b", 1)],
            status: REFUSED,
        },
        Case {
            name: "given up on the server that died",
            steps: vec![GivenUp("b"), Died("b", 1)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "a run to the end clears",
            steps: vec![Died("a", 1), Wait(10), Completed(5)],
            status: FingerprintStatus::Clear,
        },
        Case {
            name: "a run that began before the death clears nothing",
            steps: vec![Died("a", 1), Wait(10), Completed(15)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "cleared, then struck again",
            steps: vec![Died("a", 1), Wait(10), Completed(5), Died("b", 1)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "lifted",
            steps: vec![Died("a", 1), Died("b", 1), Lifted],
            status: FingerprintStatus::Clear,
        },
        Case {
            name: "struck again after a lift",
            steps: vec![Died("a", 1), Died("b", 1), Lifted, Wait(1), Died("c", 1)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "after the refusal it may run alone",
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
            name: "forgotten after a day",
            steps: vec![Died("a", 1), Died("b", 1), Wait(25 * HOUR)],
            status: FingerprintStatus::Clear,
        },
        Case {
            name: "a rack dies: not set apart",
            steps: vec![Died("a", 1), OthersDied(3)],
            status: FingerprintStatus::Clear,
        },
        Case {
            name: "run again on a server of the dying rack: still not",
            steps: vec![Died("a", 1), OthersDied(3), Wait(1000), Died("b", 1)],
            status: FingerprintStatus::Suspect,
        },
        Case {
            name: "a rack, then one server alone",
            steps: vec![Died("a", 1), OthersDied(3), Wait(60_000), Died("b", 1)],
            status: REFUSED,
        },
        Case {
            name: "two others are no rack",
            steps: vec![Died("a", 1), OthersDied(2)],
            status: FingerprintStatus::Suspect,
        },
    ];
    for case in cases {
        let (register, now) = play(&case.steps);
        assert_eq!(register.status(70, now), case.status, "{}", case.name);
    }
}

#[test]
fn the_list_names_account_route_and_servers() {
    let (register, now) = play(&[Step::Died("a", 1), Step::Wait(5), Step::Died("b", 1)]);
    let list = register.list(now);
    assert_eq!(list.len(), 1);
    assert_eq!(list[0].status, REFUSED);
    assert_eq!(list[0].account, "parish-3");
    assert_eq!(list[0].servers, ["a", "b"]);
    assert_eq!(list[0].last, NOW + 5);
}

#[test]
fn everything_expires_and_is_bounded() {
    let (mut register, now) = play(&[Step::Died("a", 1), Step::Completed(0), Step::Lifted]);
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
fn a_strike_from_a_clock_ahead_lasts_no_longer() {
    let mut ahead = register();
    let news = ahead.server_died(&death("a", vec![in_flight(70, 1)]), NOW + 10 * HOUR);
    let mut register = register();
    register.merge(&news, NOW);
    assert_eq!(register.status(70, NOW), FingerprintStatus::Suspect);
    assert_eq!(
        register.status(70, NOW + 25 * HOUR),
        FingerprintStatus::Clear
    );
}
