//! Quantiles are exact to 1 %, also after encoding and merging.

use std::time::Duration;

use primrose_report::histogram::DurationHistogram;
use primrose_support::seeded::checker;

fn filled(millis: &[u32]) -> DurationHistogram {
    let mut histogram = DurationHistogram::default();
    for value in millis {
        histogram.record(Duration::from_millis(u64::from(*value % 600_000)));
    }
    histogram
}

fn round_trip(histogram: &DurationHistogram) -> DurationHistogram {
    let mut bytes = Vec::new();
    ciborium::into_writer(histogram, &mut bytes).expect("encodes");
    ciborium::from_reader(bytes.as_slice()).expect("decodes")
}

/// Returns whether two durations differ by at most the precision or one unit of a histogram.
fn is_close(one: Option<Duration>, other: Option<Duration>) -> bool {
    let (Some(one), Some(other)) = (one, other) else {
        return one == other;
    };
    let difference = one.abs_diff(other);
    difference <= one.max(other) / 100 || difference <= Duration::from_micros(100)
}

#[test]
fn quantiles_are_within_one_percent_of_exact_values() {
    fn holds(millis: Vec<u32>) -> bool {
        let mut sorted: Vec<u32> = millis.iter().map(|value| value % 600_000).collect();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * 0.95).ceil() as usize;
        let exact = sorted.get(rank.max(1) - 1);
        let exact = exact.map(|value| Duration::from_millis(u64::from(*value)));
        is_close(filled(&millis).quantile(0.95), exact)
    }
    checker().quickcheck(holds as fn(Vec<u32>) -> bool);
}

#[test]
fn encoding_and_merging_keep_counts_and_quantiles() {
    fn holds(one: Vec<u32>, other: Vec<u32>) -> bool {
        let mut added = filled(&one);
        added.add_all(&round_trip(&filled(&other)));
        let both: Vec<u32> = one.iter().chain(&other).copied().collect();
        let expected = filled(&both);
        let same = |share| is_close(added.quantile(share), expected.quantile(share));
        added.count() == expected.count() && same(0.5) && same(0.95) && same(1.0)
    }
    checker().quickcheck(holds as fn(Vec<u32>, Vec<u32>) -> bool);
}

#[test]
fn arbitrary_encoded_list_decodes_without_a_panic() {
    fn holds(flat: Vec<u64>) -> bool {
        let mut bytes = Vec::new();
        ciborium::into_writer(&flat, &mut bytes).expect("encodes");
        let histogram: DurationHistogram =
            ciborium::from_reader(bytes.as_slice()).expect("a list of numbers");
        let mut doubled = histogram.clone();
        doubled.add_all(&histogram);
        doubled.count() >= histogram.count()
    }
    checker().quickcheck(holds as fn(Vec<u64>) -> bool);
}
