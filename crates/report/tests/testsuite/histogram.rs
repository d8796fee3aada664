//! Histograms keep quantiles to one in a hundred, also through the wire and when added up.

use std::time::Duration;

use primrose_report::histogram::DurationHistogram;
use primrose_support::seeded::checker;

fn filled(millis: &[u32]) -> DurationHistogram {
    let mut times = DurationHistogram::default();
    for value in millis {
        times.record(Duration::from_millis(u64::from(*value % 600_000)));
    }
    times
}

fn through_wire(times: &DurationHistogram) -> DurationHistogram {
    let mut bytes = Vec::new();
    ciborium::into_writer(times, &mut bytes).expect("encodes");
    ciborium::from_reader(bytes.as_slice()).expect("decodes")
}

/// Tells whether two durations differ by less than the precision, or by less than a unit.
fn close(one: Option<Duration>, other: Option<Duration>) -> bool {
    let (Some(one), Some(other)) = (one, other) else {
        return one == other;
    };
    let apart = one.abs_diff(other);
    apart <= one.max(other) / 100 || apart <= Duration::from_micros(100)
}

#[test]
fn quantiles_are_close_to_exact_ones() {
    fn holds(millis: Vec<u32>) -> bool {
        let mut sorted: Vec<u32> = millis.iter().map(|value| value % 600_000).collect();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * 0.95).ceil() as usize;
        let exact = sorted.get(rank.max(1) - 1);
        let exact = exact.map(|value| Duration::from_millis(u64::from(*value)));
        close(filled(&millis).quantile(0.95), exact)
    }
    checker().quickcheck(holds as fn(Vec<u32>) -> bool);
}

#[test]
fn the_wire_and_adding_keep_them() {
    fn holds(one: Vec<u32>, other: Vec<u32>) -> bool {
        let mut added = filled(&one);
        added.add_all(&through_wire(&filled(&other)));
        let both: Vec<u32> = one.iter().chain(&other).copied().collect();
        let whole = filled(&both);
        let same = |share| close(added.quantile(share), whole.quantile(share));
        added.count() == whole.count() && same(0.5) && same(0.95) && same(1.0)
    }
    checker().quickcheck(holds as fn(Vec<u32>, Vec<u32>) -> bool);
}

#[test]
fn any_list_is_read_without_a_panic() {
    fn holds(flat: Vec<u64>) -> bool {
        let mut bytes = Vec::new();
        ciborium::into_writer(&flat, &mut bytes).expect("encodes");
        let times: DurationHistogram =
            ciborium::from_reader(bytes.as_slice()).expect("a list of numbers");
        let mut doubled = times.clone();
        doubled.add_all(&times);
        doubled.count() >= times.count()
    }
    checker().quickcheck(holds as fn(Vec<u64>) -> bool);
}
