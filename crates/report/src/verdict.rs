//! Summary of a day: whether it met its targets, as one sentence.

use std::collections::BTreeMap;

use primrose_core::id::ZoneId;

use crate::calendar::INTERVAL;
use crate::page::Gap;
use crate::page::Measure;
use crate::page::Verdict;
use crate::text::format_span;
use crate::total::Total;

/// Summarizes a day from its measures and the gaps in its data.
pub(crate) fn verdict(total: &Total, measures: &[Measure], gaps: &[Gap], over: bool) -> Verdict {
    let missed: Vec<&Measure> = measures
        .iter()
        .filter(|measure| measure.met == Some(false))
        .collect();
    let counted = !total.covered.is_empty();
    let well = missed.is_empty() && counted;
    let lost = total.sums.fleet.lost;
    let whole = gaps.is_empty() && counted && lost == 0;
    let sentence = match (counted, missed.split_first()) {
        (false, _) => "Nothing was counted on this day.".to_owned(),
        (true, Some((first, rest))) => {
            let missed = missed_sentence(first, rest.len(), over);
            match whole {
                true => missed,
                false => format!(
                    "{missed} Not all was seen: {}.",
                    describe_unseen(gaps, lost)
                ),
            }
        }
        (true, None) if whole => all_met_sentence(measures, over),
        (true, None) => partly_seen_sentence(gaps, lost, over),
    };
    Verdict {
        well,
        whole,
        over,
        sentence,
    }
}

fn missed_sentence(first: &Measure, more: usize, over: bool) -> String {
    let when = match over {
        true => "The day did not go well",
        false => "The day has not gone well so far",
    };
    let of = match first.pool.is_empty() {
        true => String::new(),
        false => format!(" in pool {}", first.pool),
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

fn all_met_sentence(measures: &[Measure], over: bool) -> String {
    let met = measures.iter().filter(|one| one.met.is_some()).count();
    match over {
        true => format!("The day went well: all {met} measures met their targets."),
        false => format!("The day has gone well so far: all {met} measures meet their targets."),
    }
}

fn partly_seen_sentence(gaps: &[Gap], lost: u64, over: bool) -> String {
    let when = match over {
        true => "The day went well as far as it was seen",
        false => "The day has gone well so far, as far as it was seen",
    };
    format!("{when}: {}.", describe_unseen(gaps, lost))
}

/// Describes the missing data: gaps by zone, and dropped observations.
fn describe_unseen(gaps: &[Gap], lost: u64) -> String {
    let mut zones: BTreeMap<&ZoneId, u64> = BTreeMap::new();
    for gap in gaps {
        let seconds = INTERVAL.as_secs() * gap.intervals as u64;
        *zones.entry(&gap.zone).or_default() += seconds;
    }
    // A platform outage leaves the same gap in all zones, so zones with equal lengths share one
    // phrase.
    let mut lengths: Vec<(u64, Vec<&str>)> = Vec::new();
    for (zone, seconds) in zones {
        match lengths.iter_mut().find(|(length, _)| *length == seconds) {
            Some((_, names)) => names.push(zone),
            None => lengths.push((seconds, vec![zone])),
        }
    }
    let uncounted = (lost > 0).then(|| format!("{lost} observations were not counted"));
    let phrases = lengths
        .iter()
        .map(|(seconds, names)| zones_phrase(names, *seconds));
    let phrases: Vec<String> = phrases.chain(uncounted).collect();
    phrases.join(", ")
}

fn zones_phrase(zones: &[&str], seconds: u64) -> String {
    let length = format_span(seconds);
    match zones.split_last() {
        Some((last, [])) => format!("zone {last} was not seen for {length}"),
        Some((last, first)) => {
            let first = first.join(", ");
            format!("zones {first} and {last} were not seen for {length}")
        }
        None => String::new(),
    }
}
