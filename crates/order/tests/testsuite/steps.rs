//! Random steps of a test fleet.

use std::time::Duration;

use primrose_store::memory::Fault;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::fleet::Fleet;
use crate::servers::OrderFault;

/// Delays of orders, shorter than the time after which an order is sent again.
const DELAYS_SECS: [u64; 3] = [1, 2, 4];

/// Sleeps that end around the expiry of a lease, and around the end of the takeover delay.
const SLEEPS_SECS: [u64; 5] = [5, 38, 44, 70, 120];

/// One step of a random history.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    Run(usize),
    Pause(usize),
    RunUntilSend(usize),
    Resume(usize),
    Crash(usize),
    Advance(Duration),
    SetDesired(usize, u8),
    InjectStoreFault(Fault),
    Outage(bool),
    InjectOrderFault(usize, OrderFault),
    SetReachable(usize, bool),
    Restart(usize),
    EndLeases,
    Sleep(usize, u64),
    SlowCall(Duration),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = usize::arbitrary(g);
        let kind = u8::arbitrary(g) % 32;
        match kind {
            0..=7 => Self::Run(number),
            8 => Self::Pause(number),
            9..=11 => Self::RunUntilSend(number),
            12..=13 => Self::Resume(number),
            14 => Self::Crash(number),
            15..=18 => Self::Advance(Duration::from_millis(u64::from(u16::arbitrary(g)) / 4)),
            19 => Self::Advance(Duration::from_secs(40)),
            20..=21 => Self::SetDesired(number, u8::arbitrary(g) % 4),
            22 => Self::InjectStoreFault(store_fault(g)),
            23 => Self::Outage(bool::arbitrary(g)),
            24 => Self::InjectOrderFault(number, order_fault(g)),
            25 => Self::SetReachable(number, bool::arbitrary(g)),
            26 => Self::Restart(number),
            27 => Self::EndLeases,
            28 => Self::SlowCall(Duration::from_secs(u64::from(u8::arbitrary(g) % 60))),
            _ => Self::Sleep(number, *g.choose(&SLEEPS_SECS).expect("there are times")),
        }
    }
}

fn store_fault(g: &mut Gen) -> Fault {
    let late = u64::from(u8::arbitrary(g) % 8);
    *g.choose(&[
        Fault::Refused,
        Fault::LostBefore,
        Fault::LostAfter,
        Fault::Late(late),
    ])
    .expect("there are faults")
}

fn order_fault(g: &mut Gen) -> OrderFault {
    let secs = *g.choose(&DELAYS_SECS).expect("there are delays");
    *g.choose(&[
        OrderFault::LoseOrder,
        OrderFault::LoseReply,
        OrderFault::Delay(Duration::from_secs(secs)),
    ])
    .expect("there are faults")
}

impl Step {
    /// Applies the step to a fleet.
    pub(crate) fn apply(&self, fleet: &mut Fleet, servers: usize) {
        let processes = fleet.processes.len();
        match self {
            Self::Run(number) => fleet.run_process(number % processes),
            Self::Pause(number) => fleet.pause(number % processes),
            Self::RunUntilSend(number) => fleet.run_until_send(number % processes),
            Self::Sleep(number, secs) => fleet.sleep(number % processes, *secs),
            Self::SlowCall(delay) => fleet.slow.delay_next(*delay),
            Self::EndLeases => fleet.store.end_leases(),
            Self::Resume(number) => fleet.resume(number % processes),
            Self::Crash(number) => fleet.replace(number % processes),
            Self::Advance(time) => fleet.clock.advance(*time),
            Self::SetDesired(number, version) => {
                fleet.set_desired(number % processes, &version.to_string(), "");
            }
            Self::InjectStoreFault(fault) => fleet.store.fault_in(1, *fault),
            Self::Outage(down) => fleet.store.set_down(*down),
            Self::InjectOrderFault(number, fault) => {
                fleet.servers.set_fault(number % servers, Some(*fault));
            }
            Self::SetReachable(number, reachable) => {
                fleet.servers.set_reachable(number % servers, *reachable);
            }
            Self::Restart(number) => fleet.servers.restart(number % servers),
        }
    }
}
