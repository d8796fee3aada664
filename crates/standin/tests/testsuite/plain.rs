//! Tests of the plain service: its record of runs and its faults.

use std::thread;

use primrose_standin::plain::Plain;
use primrose_standin::plain::PlainConfig;
use primrose_standin::plain::PlainFault;
use primrose_standin::runtime::Runtime;

use crate::client::agent;
use crate::client::wait_until;

/// Returns the status and whether the header `x-not-run` is present, or `None` if the connection
/// broke.
fn post(plain: &Plain, key: &str) -> Option<(u16, bool)> {
    let request = agent()
        .post(format!("http://{}/dispatch/orders", plain.addr()))
        .header("idempotency-key", key)
        .header("x-attempt-id", "0001.1");
    let reply = request.send("two vans").ok()?;
    let refused = reply.headers().contains_key("x-not-run");
    Some((reply.status().as_u16(), refused))
}

#[test]
fn each_fault_gives_its_documented_reply_and_number_of_runs() {
    struct Case {
        fault: Option<PlainFault>,
        reply: Option<(u16, bool)>,
        runs: usize,
    }
    let cases = [
        Case {
            fault: None,
            reply: Some((200, false)),
            runs: 1,
        },
        Case {
            fault: Some(PlainFault::LoseReply),
            reply: None,
            runs: 1,
        },
        Case {
            fault: Some(PlainFault::Refuse),
            reply: Some((503, true)),
            runs: 0,
        },
        Case {
            fault: Some(PlainFault::Drop),
            reply: None,
            runs: 0,
        },
    ];
    let runtime = Runtime::new().unwrap();
    for case in cases {
        let plain = Plain::start(&runtime, PlainConfig::default()).unwrap();
        plain.plan([case.fault]);
        assert_eq!(post(&plain, "k"), case.reply, "{:?}", case.fault);
        assert_eq!(plain.runs_of("k"), case.runs, "{:?}", case.fault);
        assert_eq!(plain.refused(), 1 - case.runs, "{:?}", case.fault);
    }
}

#[test]
fn two_requests_with_the_same_key_are_recorded_as_two_runs() {
    let runtime = Runtime::new().unwrap();
    let plain = Plain::start(&runtime, PlainConfig::default()).unwrap();
    post(&plain, "k").unwrap();
    post(&plain, "k").unwrap();
    assert_eq!(plain.runs_of("k"), 2);
    let run = &plain.runs()[0];
    assert_eq!(
        (run.attempt.as_str(), run.body.as_slice()),
        ("0001.1", &b"two vans"[..])
    );
}

#[test]
fn a_hanging_run_is_answered_after_resume() {
    let runtime = Runtime::new().unwrap();
    let plain = Plain::start(&runtime, PlainConfig::default()).unwrap();
    plain.set_fault(Some(PlainFault::Hang));
    thread::scope(|scope| {
        let waiting = scope.spawn(|| post(&plain, "k"));
        wait_until("the run has begun", || plain.runs_of("k") == 1);
        plain.resume();
        assert_eq!(waiting.join().unwrap(), Some((200, false)));
    });
}

#[test]
fn a_stopped_service_listens_again_on_its_address() {
    let runtime = Runtime::new().unwrap();
    let plain = Plain::start(&runtime, PlainConfig::default()).unwrap();
    plain.stop();
    assert_eq!(post(&plain, "k"), None);
    plain.restart().unwrap();
    assert_eq!(post(&plain, "k"), Some((200, false)));
    assert_eq!(plain.runs().len(), 1);
}
