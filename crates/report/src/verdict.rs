//! The one sentence that says whether a day went well.

use primrose_core::id::ZoneId;

use crate::calendar::INTERVAL;
use crate::page::Gap;
use crate::page::Measure;
use crate::page::Verdict;
use crate::text::span;
use crate::total::Total;

/// Judges a day by its measures and by what nobody saw.
pub(crate) fn verdict(total: &Total, measures: &[Measure], gaps: &[Gap], over: bool) -> Verdict {
    let missed: Vec<&Measure> = measures
        .iter()
        .filter(|measure| measure.met == Some(false))
        .collect();
    let counted = !total.covered.is_empty();
    let well = missed.is_empty() && counted;
    let whole = gaps.is_empty() && counted;
    let sentence = match (counted, missed.split_first()) {
        (false, _) => "Nothing was counted on this day.".to_owned(),
        (true, Some((first, rest))) => not_well(first, rest.len(), over),
        (true, None) if whole => all_well(measures, over),
        (true, None) => well_as_seen(gaps, over),
    };
    Verdict {
        well,
        whole,
        over,
        sentence,
    }
}

fn not_well(first: &Measure, more: usize, over: bool) -> String {
    let when = match over {
        true => "The day did not go well",
        false => "The day has not gone well so far",
    };
    let of = match first.pool.is_empty() {
        true => String::new(),
        false => format!(" of {}", first.pool),
    };
    let Measure {
        name,
        found,
        target,
        ..
    } = first;
    let rest = match more {
        0 => String::new(),
        1 => "; 1 more measure missed its target".to_owned(),
        _ => format!("; {more} more measures missed their targets"),
    };
    format!("{when}: {name}{of} was {found}, the target is {target}{rest}.")
}

fn all_well(measures: &[Measure], over: bool) -> String {
    let met = measures.iter().filter(|one| one.met.is_some()).count();
    match over {
        true => format!("The day went well: all {met} measures met their targets."),
        false => format!("The day has gone well so far: all {met} measures meet their targets."),
    }
}

fn well_as_seen(gaps: &[Gap], over: bool) -> String {
    let when = match over {
        true => "The day went well as far as it was seen",
        false => "The day has gone well so far, as far as it was seen",
    };
    let mut zones: Vec<(&ZoneId, u64)> = Vec::new();
    for gap in gaps {
        let seconds = INTERVAL.as_secs() * gap.intervals as u64;
        match zones.iter_mut().find(|(zone, _)| *zone == &gap.zone) {
            Some((_, sum)) => *sum += seconds,
            None => zones.push((&gap.zone, seconds)),
        }
    }
    let hidden: Vec<String> = zones
        .iter()
        .map(|(zone, seconds)| format!("zone {zone} was not seen for {}", span(*seconds)))
        .collect();
    format!("{when}: {}.", hidden.join(", "))
}
