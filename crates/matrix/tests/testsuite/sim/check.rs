//! Judges a world that has come to rest, by the servers' own records and by what callers saw.
//!
//! Nothing here asks a router. The rules are those of the users' brief.

use std::collections::BTreeMap;

use primrose_core::clock::Mono;
use primrose_core::id::AttemptId;
use primrose_core::id::RequestId;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;

use super::caller::answer_of;
use super::caller::Caller;
use super::caller::Work;
use super::caller::WorkKind;
use super::ms;
use super::server::length;
use super::server::Ran;
use super::world::World;

/// Time after which a leaving server must get no new work.
const LEAVE: Mono = ms(3_000);
/// Requests whose ids begin here are probes: they come when all faults are over.
pub(crate) const PROBES: RequestId = 900;
/// Most runs that a server may have beside one another: its limit under two dispatchers.
const MOST_BESIDE: usize = 4;
/// Most servers that one poison request may cost for each router that hears nothing of the others.
const MOST_POISONED: usize = 2;

/// Returns every rule that the record breaks.
pub(crate) fn violations(world: &World) -> Vec<String> {
    let mut out = Vec::new();
    let record = record(world);
    check_runs(&record, &mut out);
    for (request, caller) in &world.callers {
        check_caller(world, *request, caller, &record, &mut out);
    }
    check_servers(world, &mut out);
    out
}

/// Everything that any server ran.
fn record(world: &World) -> Vec<Ran> {
    let servers = world.servers.iter();
    servers.flat_map(|server| server.record.clone()).collect()
}

fn check_runs(record: &[Ran], out: &mut Vec<String>) {
    let mut runs: BTreeMap<(Work, RequestId), usize> = BTreeMap::new();
    for ran in record.iter().filter(|ran| ran.work.kind.once()) {
        // Without a key a caller's resend is another order.
        let keyless = ran.work.kind == WorkKind::KeylessOrder;
        let request = if keyless { ran.attempt.request } else { 0 };
        *runs.entry((ran.work, request)).or_default() += 1;
    }
    for ((work, _), count) in runs.iter().filter(|(_, count)| **count > 1) {
        out.push(format!("order {} ran {count} times", work.id));
    }
}

fn check_caller(
    world: &World,
    request: RequestId,
    caller: &Caller,
    record: &[Ran],
    out: &mut Vec<String>,
) {
    if caller.heard.len() > 1 {
        out.push(format!("caller {request} was told twice"));
    }
    let Some(verdict) = caller.heard.first() else {
        if !caller.cut && !caller.left {
            out.push(format!("caller {request} was told nothing"));
        }
        return;
    };
    let own: Vec<&Ran> = record
        .iter()
        .filter(|r| r.attempt.request == request)
        .collect();
    if verdict.outcome == Outcome::NotRun && !own.is_empty() {
        out.push(format!("caller {request} was told not run, but it ran"));
    }
    match &caller.stored {
        Some(stored) => check_stored(request, stored, caller, record, out),
        None => check_seen(world, request, caller, &own, out),
    }
    if request >= PROBES && verdict.outcome != Outcome::Done {
        out.push(format!(
            "probe {request} was not served: {:?}",
            verdict.code
        ));
    }
    // The hard end of a shutdown is the one that may cut requests.
    let cut = verdict.code == Some(ErrorCode::ShuttingDown) && verdict.outcome == Outcome::Unknown;
    if cut && !world.hard_ended {
        out.push(format!(
            "caller {request} was cut off by a graceful shutdown"
        ));
    }
}

/// A stored answer must be that of the one finished run of this work.
fn check_stored(
    request: RequestId,
    stored: &[u8],
    caller: &Caller,
    record: &[Ran],
    out: &mut Vec<String>,
) {
    let mut same = record
        .iter()
        .filter(|ran| ran.work == caller.work && ran.finished);
    if !same.any(|ran| answer_of(ran.attempt) == stored) {
        out.push(format!(
            "caller {request} got a stored answer that no server made"
        ));
    }
}

fn check_seen(
    world: &World,
    request: RequestId,
    caller: &Caller,
    own: &[&Ran],
    out: &mut Vec<String>,
) {
    let first: Option<AttemptId> = caller.seen.first().map(|(attempt, _)| *attempt);
    let truth = world.true_items.get(&request);
    for (place, (attempt, seq)) in caller.seen.iter().enumerate() {
        let wanted = place as u64 + 1;
        let seq = truth.and_then(|items| items.get(place)).unwrap_or(seq);
        if *seq != wanted || Some(*attempt) != first {
            out.push(format!("caller {request} saw a gap, a repeat or a splice"));
            return;
        }
    }
    let done = caller
        .heard
        .first()
        .is_some_and(|v| v.outcome == Outcome::Done);
    if !done {
        return;
    }
    let ran = own.iter().find(|ran| Some(ran.attempt) == first);
    let whole = ran.is_some_and(|ran| ran.finished && length(ran.work) == caller.seen.len() as u64);
    if !whole {
        out.push(format!(
            "caller {request} was told done without the whole answer"
        ));
    }
}

fn check_servers(world: &World, out: &mut Vec<String>) {
    for server in &world.servers {
        let late = |since: Mono| server.record.iter().any(|ran| ran.at > since + LEAVE);
        if server.leaving_since.is_some_and(late) {
            out.push(format!(
                "{} got work long after it began to leave",
                server.id
            ));
        }
        if server.record.iter().any(|ran| ran.beside > MOST_BESIDE) {
            out.push(format!("{} had more runs than two limits", server.id));
        }
    }
    if world.poisoned > most_poisoned(world) {
        out.push(format!("{} servers died of one request", world.poisoned));
    }
}

/// Two servers, or two for each router if a fault kept routers from hearing or remembering.
fn most_poisoned(world: &World) -> usize {
    let deaf = world
        .plan
        .struck
        .iter()
        .any(|strike| strike.fault.deafens());
    if deaf {
        MOST_POISONED * world.routers.len()
    } else {
        MOST_POISONED
    }
}
