//! Compares each measure of a day with its target.

use std::time::Duration;

use primrose_core::id::PoolId;

use crate::histogram::DurationHistogram;
use crate::page::Measure;
use crate::page::PageContext;
use crate::pool::PoolRecord;
use crate::record::MIN_RATE_SECS;
use crate::target::PoolTarget;
use crate::text::format_count;
use crate::text::format_span;
use crate::text::format_time;
use crate::total::Total;

/// Quantile of a latency that is compared with its target.
const TARGET_QUANTILE: f64 = 0.95;

/// Result of one measure.
struct Finding {
    found: String,
    target: String,
    met: Option<bool>,
}

impl Finding {
    fn untargeted(found: String) -> Self {
        Self {
            found,
            target: String::new(),
            met: None,
        }
    }

    /// Returns the result for a count whose target is zero.
    fn must_be_zero(found: String, value: u64) -> Self {
        Self {
            found,
            target: "0".to_owned(),
            met: Some(value == 0),
        }
    }
}

/// Returns the measures of all pools and of the fleet.
pub(crate) fn measures(total: &Total, context: &PageContext<'_>) -> Vec<Measure> {
    let mut measures = Vec::new();
    // Without any data there are no measures: missing data must not appear as zero.
    if total.covered.is_empty() {
        return measures;
    }
    for (pool, record) in &total.sums.pools {
        let target = context.targets.pools.get(pool).cloned().unwrap_or_default();
        pool_measures(&mut measures, pool, record, &target, context, total);
    }
    fleet_measures(&mut measures, total, context);
    measures
}

fn push(measures: &mut Vec<Measure>, name: &str, pool: &str, finding: Finding) {
    measures.push(Measure {
        name: name.to_owned(),
        pool: pool.to_owned(),
        found: finding.found,
        target: finding.target,
        met: finding.met,
    });
}

fn pool_measures(
    measures: &mut Vec<Measure>,
    pool: &PoolId,
    record: &PoolRecord,
    target: &PoolTarget,
    context: &PageContext<'_>,
    total: &Total,
) {
    let mut add = |name: &str, finding: Finding| push(measures, name, pool, finding);
    add("fairness gap", fairness(record, target, context, total));
    if record.slot_time.slots.total() > 0 {
        add("utilisation", utilisation(record));
        add("idle while work waited", idle(record, context.targets.idle));
    }
    if record.first_token.count() > 0 || target.first_token.is_some() {
        let first_token = quantile_within(&record.first_token, target.first_token);
        add("first token, 95 in 100", first_token);
    }
    if record.inter_token.count() > 0 || target.inter_token.is_some() {
        let inter_token = quantile_within(&record.inter_token, target.inter_token);
        add("between tokens, 95 in 100", inter_token);
    }
    add("broken answers", answers(record));
    if record.orders != Default::default() {
        add("orders with unknown outcome", orders(record));
        let doubled = record.orders.doubled;
        add("orders that ran twice", duplicate_runs(doubled));
    }
    if record.poison > 0 || record.lost > 0 {
        add(
            "servers lost to poison requests",
            poison(record, context.targets.poison),
        );
    }
    let late = record.after_leaving;
    add(
        "work given to leaving servers",
        Finding::must_be_zero(format_count(late), late),
    );
}

fn fairness(
    record: &PoolRecord,
    target: &PoolTarget,
    context: &PageContext<'_>,
    total: &Total,
) -> Finding {
    let bound = target.gap;
    let target_text = bound.map_or_else(String::new, |bound| {
        format!("at most {}", format_count(bound))
    });
    let Some(worst) = &record.worst else {
        let found = "no two accounts were backlogged at once".to_owned();
        return Finding {
            found,
            target: target_text,
            met: bound.map(|_| true),
        };
    };
    let begin = context.calendar.interval_start(&total.day, worst.interval);
    let at = begin.map_or_else(
        |_| String::new(),
        |begin| context.calendar.time_of_day(begin),
    );
    let found = format!(
        "{} units, {} ahead of {} at {at}",
        format_count(worst.gap),
        worst.ahead,
        worst.behind
    );
    Finding {
        found,
        target: target_text,
        met: bound.map(|bound| worst.gap <= bound),
    }
}

fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn utilisation(record: &PoolRecord) -> Finding {
    let times = &record.slot_time;
    let busy = share(times.busy.total(), times.slots.total());
    Finding::untargeted(format!("{:.1} %", 100.0 * busy))
}

fn idle(record: &PoolRecord, limit: f64) -> Finding {
    let times = &record.slot_time;
    let idle = times.idle.total();
    let part = share(idle, times.slots.total());
    let length = format_span(Duration::from_millis(idle).as_secs());
    Finding {
        found: format!("{:.2} % of slot time, {length}", 100.0 * part),
        target: format!("at most {:.2} %", 100.0 * limit),
        met: Some(part <= limit),
    }
}

fn quantile_within(times: &DurationHistogram, target: Option<Duration>) -> Finding {
    let target_text = target.map_or_else(String::new, |target| {
        format!("at most {}", format_time(target))
    });
    let found = times.quantile(TARGET_QUANTILE);
    Finding {
        found: match found {
            None => "nothing was measured".to_owned(),
            Some(found) => format!(
                "{}, {} measured",
                format_time(found),
                format_count(times.count())
            ),
        },
        target: target_text,
        met: found.zip(target).map(|(found, target)| found <= target),
    }
}

fn answers(record: &PoolRecord) -> Finding {
    let answers = record.answers;
    let found = format!(
        "{}; {} whole, {} left by their callers",
        format_count(answers.broken),
        format_count(answers.whole),
        format_count(answers.abandoned)
    );
    Finding::must_be_zero(found, answers.broken)
}

fn orders(record: &PoolRecord) -> Finding {
    let orders = record.orders;
    let found = format!(
        "{}; {} done, {} not run",
        format_count(orders.unknown),
        format_count(orders.done),
        format_count(orders.not_run)
    );
    Finding::must_be_zero(found, orders.unknown)
}

/// Routers do not detect duplicate runs by themselves, so a count of zero proves nothing.
fn duplicate_runs(doubled: u64) -> Finding {
    if doubled > 0 {
        return Finding::must_be_zero(format_count(doubled), doubled);
    }
    Finding {
        found: "not looked for".to_owned(),
        target: "0".to_owned(),
        met: None,
    }
}

fn poison(record: &PoolRecord, limit: u64) -> Finding {
    let (lost, poison) = (record.lost, record.poison);
    Finding {
        found: format!(
            "{} by {} requests",
            format_count(lost),
            format_count(poison)
        ),
        target: format!("at most {limit} each"),
        met: Some(lost <= limit.saturating_mul(poison.max(1))),
    }
}

fn fleet_measures(measures: &mut Vec<Measure>, total: &Total, context: &PageContext<'_>) {
    let fleet = &total.sums.fleet;
    let mut add = |name: &str, finding: Finding| push(measures, name, "", finding);
    add(
        "requests cut by a shutdown",
        Finding::must_be_zero(format_count(fleet.cut), fleet.cut),
    );
    add("table changes", changes(total, context.targets.in_force));
    let limit = context.targets.control;
    let rated = fleet.control_bytes > 0 && fleet.covered.total() >= MIN_RATE_SECS;
    add(
        "control traffic of one router",
        Finding {
            found: match rated {
                true => format!("{} B/s at most", format_count(fleet.control_rate)),
                false => "no router ran for long enough".to_owned(),
            },
            target: format!("at most {} B/s", format_count(limit)),
            met: rated.then_some(fleet.control_rate <= limit),
        },
    );
    let refused: Vec<String> = fleet
        .refused
        .iter()
        .map(|(code, refused)| format!("{} {code}", format_count(*refused)))
        .collect();
    let refused = match refused.is_empty() {
        true => "none".to_owned(),
        false => refused.join(", "),
    };
    add("refused requests", Finding::untargeted(refused));
}

fn changes(total: &Total, limit: Duration) -> Finding {
    let fleet = &total.sums.fleet;
    let generations = fleet.last_generation.zip(fleet.first_generation);
    let changes = generations.map_or(0, |(last, first)| last - first);
    let target = format!("in force within {}", format_time(limit));
    let Some(longest) = fleet.in_force.longest() else {
        return Finding {
            found: format_count(changes),
            target,
            met: None,
        };
    };
    Finding {
        found: format!(
            "{}, in force after {} at most",
            format_count(changes),
            format_time(longest)
        ),
        target,
        met: Some(longest <= limit),
    }
}
