//! What is asked of the world while the faults strike.

use primrose_core::clock::Mono;

use crate::sim::caller::Work;
use crate::sim::caller::WorkKind;
use crate::sim::check;
use crate::sim::check::PROBES;
use crate::sim::fault::Plan;
use crate::sim::fault::Strike;
use crate::sim::flaw::Flaw;
use crate::sim::item::Item;
use crate::sim::ms;
use crate::sim::world::World;
use crate::steps::Process;
use crate::steps::INGRESS;
use crate::steps::RESEND;
use crate::steps::WATCHED;

/// When the requests come; dispatchers have settled by then.
pub(crate) const BEGIN: Mono = ms(2_000);
/// After this no fault strikes any more; the longest ones last 6 s.
pub(crate) const LAST_STRIKE: Mono = ms(17_000);
/// When the probes come: all faults are over, and so is the desk's longest wait for the service.
const PROBE: Mono = ms(30_000);
/// When the world is judged.
const END: Mono = ms(41_000);

/// What came of a run.
#[derive(Debug, Clone, Default)]
pub(crate) struct Found {
    pub(crate) violations: Vec<String>,
    /// Faults that struck.
    pub(crate) struck: usize,
}

/// A piece of work.
pub(crate) fn work(id: u64, kind: WorkKind) -> Work {
    Work { id, kind }
}

/// Runs a process under faults and judges it.
pub(crate) fn run(process: Process, strikes: &[Strike], flaw: Option<Flaw>) -> Found {
    let mut world = World::new(Plan::new(strikes), flaw);
    match process {
        Process::Request => request(&mut world),
        Process::Claim => claim(&mut world),
        Process::Shutdown => shutdown(&mut world),
        Process::Table | Process::ServerOrder => {}
    }
    finish(world)
}

/// Sends the probes, lets the world come to rest, and judges it.
pub(crate) fn finish(mut world: World) -> Found {
    for no in 0..world.routers.len() {
        let id = PROBES + no as u64;
        world.ask_at(PROBE, id, work(id, WorkKind::Draft), no);
        let id = id + 10;
        world.ask_at(PROBE, id, work(id, WorkKind::Order), no);
    }
    world.run_until(END);
    Found {
        violations: check::violations(&world),
        struck: world.plan.struck.len(),
    }
}

/// A streamed request, with others beside it.
fn request(world: &mut World) {
    world.ask_at(BEGIN, WATCHED, work(2, WorkKind::Draft), INGRESS);
    world.ask_at(BEGIN, 11, work(13, WorkKind::Draft), 0);
    world.ask_at(BEGIN, 12, work(15, WorkKind::Draft), 2);
    world.ask_at(BEGIN, 13, work(17, WorkKind::Summary), INGRESS);
}

/// An order, sent again through two other routers whatever the caller has heard.
fn claim(world: &mut World) {
    let order = work(100, WorkKind::Order);
    world.ask_at(BEGIN, WATCHED, order, INGRESS);
    world.ask_at(BEGIN + ms(6_000), 2, order, RESEND);
    world.ask_at(BEGIN + ms(14_000), 3, order, 0);
    world.ask_at(BEGIN, 11, work(101, WorkKind::KeylessOrder), 0);
}

/// A router shuts down with streams in flight, others waiting, and an order that hangs.
fn shutdown(world: &mut World) {
    for server in [3, 4] {
        world.servers[server].hung_until = BEGIN + ms(20_000);
    }
    for other in [14, 16] {
        world.ask_at(BEGIN - ms(5), other, work(other, WorkKind::Draft), 2);
    }
    for request in 1..=6 {
        world.ask_at(BEGIN, request, work(request * 2, WorkKind::Draft), INGRESS);
    }
    world.ask_at(BEGIN, 7, work(100, WorkKind::Order), INGRESS);
    let drain = BEGIN + ms(30);
    world.at(drain, Item::Drain { router: INGRESS });
    world.at(drain + ms(4_000), Item::HardEnd { router: INGRESS });
}
