//! Cases of strikes, clearings, lifts, expiry and mass deaths.

use std::time::Duration;

use primrose_suspect::Aboard;
use primrose_suspect::Death;
use primrose_suspect::Limits;
use primrose_suspect::Register;
use primrose_suspect::Standing;

use crate::aboard;
use crate::death;
use crate::register;
use crate::NOW;

const REFUSED: Standing = Standing::Refused {
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
    standing: Standing,
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
                    ..death(server, vec![aboard(70, request)])
                };
                register.server_died(&death, now);
            }
            Step::DiedUnknown(server, ago) => {
                let aboard = Aboard {
                    since: now - ago,
                    ..aboard(70, request)
                };
                let death = Death {
                    run: 0,
                    ..death(server, vec![aboard])
                };
                register.server_died(&death, now);
            }
            Step::GivenUp(server) => {
                register.given_up(&death(server, vec![aboard(70, request)]), now);
            }
            Step::OthersDied(servers) => {
                for n in 0..*servers {
                    let print = 1000 + n as u64;
                    let death = death(&format!("other-{n}"), vec![aboard(print, print)]);
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
            standing: Standing::Clear,
        },
        Case {
            name: "one death",
            steps: vec![Died("a", 1)],
            standing: Standing::Suspect,
        },
        Case {
            name: "two copies at one death",
            steps: vec![Died("a", 1), Died("a", 1)],
            standing: Standing::Suspect,
        },
        Case {
            name: "two copies at one death whose run is not known",
            steps: vec![DiedUnknown("a", 50), Wait(400), DiedUnknown("a", 450)],
            standing: Standing::Suspect,
        },
        Case {
            name: "two servers",
            steps: vec![Died("a", 1), Died("b", 1)],
            standing: REFUSED,
        },
        Case {
            name: "one server in two runs",
            steps: vec![Died("a", 1), Died("a", 2)],
            standing: REFUSED,
        },
        Case {
            name: "one server twice, runs not known",
            steps: vec![DiedUnknown("a", 50), Wait(400), DiedUnknown("a", 100)],
            standing: REFUSED,
        },
        Case {
            name: "given up on silent servers alone",
            steps: vec![GivenUp("a"), GivenUp("b")],
            standing: Standing::Clear,
        },
        Case {
            name: "given up on one server, another died",
            steps: vec![GivenUp("a"), Died("b", 1)],
            standing: REFUSED,
        },
        Case {
            name: "given up on the server that died",
            steps: vec![GivenUp("b"), Died("b", 1)],
            standing: Standing::Suspect,
        },
        Case {
            name: "a run to the end clears",
            steps: vec![Died("a", 1), Wait(10), Completed(5)],
            standing: Standing::Clear,
        },
        Case {
            name: "a run that began before the death clears nothing",
            steps: vec![Died("a", 1), Wait(10), Completed(15)],
            standing: Standing::Suspect,
        },
        Case {
            name: "cleared, then struck again",
            steps: vec![Died("a", 1), Wait(10), Completed(5), Died("b", 1)],
            standing: Standing::Suspect,
        },
        Case {
            name: "lifted",
            steps: vec![Died("a", 1), Died("b", 1), Lifted],
            standing: Standing::Clear,
        },
        Case {
            name: "struck again after a lift",
            steps: vec![Died("a", 1), Died("b", 1), Lifted, Wait(1), Died("c", 1)],
            standing: Standing::Suspect,
        },
        Case {
            name: "after the refusal it may run alone",
            steps: vec![Died("a", 1), Died("b", 1), Wait(HOUR / 4)],
            standing: Standing::Suspect,
        },
        Case {
            name: "a third death refuses for longer",
            steps: vec![Died("a", 1), Died("b", 1), Wait(HOUR / 4), Died("c", 1)],
            standing: Standing::Refused {
                retry_after: Duration::from_secs(3600),
            },
        },
        Case {
            name: "forgotten after a day",
            steps: vec![Died("a", 1), Died("b", 1), Wait(25 * HOUR)],
            standing: Standing::Clear,
        },
        Case {
            name: "a rack dies: not set apart",
            steps: vec![Died("a", 1), OthersDied(3)],
            standing: Standing::Clear,
        },
        Case {
            name: "run again on a server of the dying rack: still not",
            steps: vec![Died("a", 1), OthersDied(3), Wait(1000), Died("b", 1)],
            standing: Standing::Suspect,
        },
        Case {
            name: "a rack, then one server alone",
            steps: vec![Died("a", 1), OthersDied(3), Wait(60_000), Died("b", 1)],
            standing: REFUSED,
        },
        Case {
            name: "two others are no rack",
            steps: vec![Died("a", 1), OthersDied(2)],
            standing: Standing::Suspect,
        },
    ];
    for case in cases {
        let (register, now) = play(&case.steps);
        assert_eq!(register.standing(70, now), case.standing, "{}", case.name);
    }
}

#[test]
fn the_list_names_account_route_and_servers() {
    let (register, now) = play(&[Step::Died("a", 1), Step::Wait(5), Step::Died("b", 1)]);
    let list = register.list(now);
    assert_eq!(list.len(), 1);
    assert_eq!(list[0].standing, REFUSED);
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
        fingerprints: 3,
        ..Limits::default()
    };
    let mut register = Register::new(limits);
    for n in 0..10 {
        register.server_died(&death("a", vec![aboard(n, n)]), NOW + n);
    }
    assert_eq!(register.list(NOW + 10).len(), 3);
    assert_eq!(register.standing(9, NOW + 10), Standing::Suspect);
}

#[test]
fn a_strike_from_a_clock_ahead_lasts_no_longer() {
    let mut ahead = register();
    let news = ahead.server_died(&death("a", vec![aboard(70, 1)]), NOW + 10 * HOUR);
    let mut register = register();
    register.merge(&news, NOW);
    assert_eq!(register.standing(70, NOW), Standing::Suspect);
    assert_eq!(register.standing(70, NOW + 25 * HOUR), Standing::Clear);
}
