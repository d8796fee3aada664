//! One point: what the routers of a zone use at one size.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::host::Host;
use primrose_core::host::HostState;
use primrose_store::memory::Calls;

use crate::deployment::Deployment;
use crate::measure::control::callers::Callers;
use crate::measure::control::size::Size;
use crate::measure::process;
use crate::measure::process::Thread;
use crate::measure::process::ThreadId;
use crate::measure::Result;
use crate::shape::pool_name;

/// Time until links, queues and streams have settled.
const WARM_UP: Duration = Duration::from_millis(2500);
/// Time of a short run.
const RUN: Duration = Duration::from_secs(5);
/// Time of a run with edits.
const EDITED_RUN: Duration = Duration::from_secs(12);
/// Threads of a router that do control.
const CONTROL: [&str; 8] = [
    "decide", "link", "watch", "hosts", "loads", "claims", "report", "gather",
];
/// Of these, the ones of which each router has exactly one, started with it.
const SINGLE: [&str; 4] = ["decide", "link", "loads", "claims"];
/// Port on which nothing listens.
const UNUSED_PORT: u16 = 1;
/// Edits of a run with edits.
const EDITS: u64 = 6;

/// What all routers of the zone use together, and the one that uses most.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Use {
    /// Sum over the routers.
    pub(super) total: f64,
    /// The greatest of a router.
    pub(super) most: f64,
}

/// Counters at one moment.
struct Reading {
    at: Mono,
    bytes: Vec<f64>,
    messages: Vec<f64>,
    threads: BTreeMap<ThreadId, Thread>,
    calls: Calls,
    lists: u64,
    served: u64,
}

/// What was measured at one size.
#[derive(Debug, Clone)]
pub(super) struct Point {
    /// The size.
    pub(super) size: Size,
    /// Bytes a second over links, both directions.
    pub(super) bytes: Use,
    /// Messages a second over links, both directions.
    pub(super) messages: Use,
    /// Processor time of the control threads, as a share of a core.
    pub(super) cores: Use,
    /// The same, by the name of the thread; all routers together.
    pub(super) by_name: BTreeMap<String, f64>,
    /// Reads and watches a second at the key-value service.
    pub(super) reads: f64,
    /// Writes a second at the key-value service.
    pub(super) writes: f64,
    /// Calls a second at the host list.
    pub(super) lists: f64,
    /// Whole answers a second to short requests.
    pub(super) served: f64,
    /// Requests at the engines at the end.
    pub(super) running: usize,
    /// Resident size of this process, in bytes.
    pub(super) resident: f64,
}

/// A deployment under load, to be read again and again.
pub(super) struct Run {
    size: Size,
    deployment: Deployment,
    callers: Callers,
    earlier: BTreeSet<ThreadId>,
    generation: u64,
}

/// Measures one size.
pub(super) fn measure(size: Size) -> Result<Point> {
    let run = Run::start(size)?;
    let point = run.point(RUN)?;
    run.end();
    println!("# {point}");
    Ok(point)
}

impl Run {
    /// Starts everything and lets it settle.
    pub(super) fn start(size: Size) -> Result<Self> {
        let earlier = process::threads()?.into_keys().collect();
        let deployment = Deployment::start(size.shape())?;
        list_elsewhere(&deployment, size);
        let callers = Callers::start(&deployment, size)?;
        std::thread::sleep(WARM_UP);
        Ok(Self {
            size,
            deployment,
            callers,
            earlier,
            generation: 1,
        })
    }

    /// Measures for a while.
    pub(super) fn point(&self, time: Duration) -> Result<Point> {
        let before = self.read()?;
        std::thread::sleep(time);
        self.since(&before)
    }

    /// Measures for a while in which the tables are edited; also returns edits a second.
    pub(super) fn edited(&mut self) -> Result<(Point, f64)> {
        let before = self.read()?;
        let pause = EDITED_RUN / u32::try_from(EDITS).unwrap_or(1);
        for _ in 0..EDITS {
            self.generation += 1;
            self.deployment.edit_tables(self.generation)?;
            std::thread::sleep(pause);
        }
        let point = self.since(&before)?;
        Ok((point, EDITS as f64 / EDITED_RUN.as_secs_f64()))
    }

    /// Ends the callers and all else; streams end with their routers.
    pub(super) fn end(self) {
        self.callers.stop();
        drop(self.deployment);
        self.callers.join();
    }

    /// Requests at the engines at this moment.
    fn running(&self) -> usize {
        let engines = self.deployment.engines().iter();
        engines.map(|engine| engine.load().running).sum()
    }

    fn read(&self) -> Result<Reading> {
        let home = 0..self.size.routers;
        let totals = home.map(|place| self.deployment.router(place).endpoint().stats().total);
        let totals: Vec<_> = totals.collect();
        let bytes = totals
            .iter()
            .map(|all| (all.bytes_in + all.bytes_out) as f64);
        let messages = totals
            .iter()
            .map(|all| (all.messages_in + all.messages_out) as f64);
        let mut threads = process::threads()?;
        threads.retain(|id, thread| {
            !self.earlier.contains(id) && CONTROL.contains(&thread.name.as_str())
        });
        Ok(Reading {
            at: self.deployment.clock().now(),
            bytes: bytes.collect(),
            messages: messages.collect(),
            threads,
            calls: self.deployment.kv().store().calls(),
            lists: self.deployment.board().calls(),
            served: self.callers.served(),
        })
    }

    fn since(&self, before: &Reading) -> Result<Point> {
        let after = self.read()?;
        let seconds = after.at.saturating_sub(before.at).as_secs_f64();
        let rate = |after: u64, before: u64| (after - before) as f64 / seconds;
        let reads = |calls: Calls| calls.reads + calls.watches;
        let by_name = by_name(before, &after, seconds);
        let routers = self.deployment.places();
        Ok(Point {
            size: self.size,
            bytes: grown(&before.bytes, &after.bytes, seconds),
            messages: grown(&before.messages, &after.messages, seconds),
            cores: cores(before, &after, seconds, self.size.routers, routers),
            by_name,
            reads: rate(reads(after.calls), reads(before.calls)),
            writes: rate(after.calls.writes, before.calls.writes),
            lists: rate(after.lists, before.lists),
            served: rate(after.served, before.served),
            running: self.running(),
            resident: process::resident()? as f64,
        })
    }
}

/// Puts servers that nobody needs to reach into the host list of the first neighbour.
fn list_elsewhere(deployment: &Deployment, size: Size) {
    for number in 0..size.elsewhere {
        deployment.board().put(Host {
            id: format!("elsewhere-{number}"),
            zone: "near-1".to_owned(),
            service: pool_name(number % deployment.shape().pools),
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, UNUSED_PORT)),
            state: HostState::Live,
            incarnation: 1,
        });
    }
}

fn grown(before: &[f64], after: &[f64], seconds: f64) -> Use {
    let rates = before.iter().zip(after).map(|(b, a)| (a - b) / seconds);
    rates.fold(Use::default(), |used, rate| Use {
        total: used.total + rate,
        most: used.most.max(rate),
    })
}

/// Processor time of each thread between two readings, as a share of a core.
fn shares(before: &Reading, after: &Reading, seconds: f64) -> Vec<(Thread, ThreadId, f64)> {
    let share = |(id, thread): (&ThreadId, &Thread)| {
        let earlier = before
            .threads
            .get(id)
            .map_or(Duration::ZERO, |old| old.time);
        let time = thread.time.saturating_sub(earlier).as_secs_f64();
        (thread.clone(), *id, time / seconds)
    };
    after.threads.iter().map(share).collect()
}

fn by_name(before: &Reading, after: &Reading, seconds: f64) -> BTreeMap<String, f64> {
    let mut sums = BTreeMap::new();
    for (thread, _, share) in shares(before, after, seconds) {
        *sums.entry(thread.name).or_default() += share;
    }
    sums
}

/// Shares of the routers of the first zone, which were started first.
///
/// A router starts its threads one after another, so the single threads of one kind are in the
/// order of the routers. The others are spread evenly over all routers.
fn cores(before: &Reading, after: &Reading, seconds: f64, home: usize, routers: usize) -> Use {
    let mut shares = shares(before, after, seconds);
    shares.sort_by_key(|(thread, id, _)| (thread.started, *id));
    let mut each = vec![0.0; home];
    for name in SINGLE {
        let named = shares.iter().filter(|(thread, ..)| thread.name == name);
        for (sum, (.., share)) in each.iter_mut().zip(named) {
            *sum += share;
        }
    }
    let others = shares
        .iter()
        .filter(|(thread, ..)| !SINGLE.contains(&thread.name.as_str()));
    let other = others.map(|(.., share)| share).sum::<f64>() / routers as f64;
    grown(
        &vec![0.0; home],
        &each.iter().map(|sum| sum + other).collect::<Vec<_>>(),
        1.0,
    )
}

impl fmt::Display for Point {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{}: {:.0} B/s ({:.0} busiest), {:.0} msg/s ({:.0}), {:.2} % of a core ({:.2}), \
             key-value {:.2} reads/s {:.2} writes/s, host list {:.2} calls/s, {:.0} served/s, \
             {} running, {:.0} MB resident;",
            self.size,
            self.bytes.total,
            self.bytes.most,
            self.messages.total,
            self.messages.most,
            self.cores.total * 100.0,
            self.cores.most * 100.0,
            self.reads,
            self.writes,
            self.lists,
            self.served,
            self.running,
            self.resident / 1e6,
        )?;
        for (name, share) in &self.by_name {
            write!(out, " {name} {:.2} %", share * 100.0)?;
        }
        Ok(())
    }
}
