//! Delays grow, never exceed their ceiling and are spread evenly.

use std::time::Duration;

use primrose_retry::Backoff;
use primrose_retry::BackoffConfig;
use primrose_support::seeded::checker;
use rand::rngs::StdRng;
use rand::SeedableRng;

/// Number of clients that lose the same service at the same time.
const CLIENTS: usize = 10_000;
/// Number of equal parts into which the range of delays is divided.
const BUCKETS: usize = 10;

#[test]
fn ceiling_doubles_up_to_the_cap() {
    let config = BackoffConfig {
        base: Duration::from_millis(100),
        cap: Duration::from_millis(1500),
    };
    let mut backoff = Backoff::new(config);
    let mut rng = StdRng::seed_from_u64(1);
    for millis in [100, 200, 400, 800, 1500, 1500] {
        assert_eq!(backoff.ceiling(), Duration::from_millis(millis));
        backoff.next_delay(&mut rng);
    }
    backoff.reset();
    assert_eq!(backoff.ceiling(), config.base);
}

#[test]
fn delays_are_spread_evenly_after_an_outage() {
    let config = BackoffConfig::default();
    let mut rng = StdRng::seed_from_u64(7);
    let mut buckets = [0_usize; BUCKETS];
    for _ in 0..CLIENTS {
        let mut backoff = Backoff::new(config);
        for _ in 0..10 {
            backoff.next_delay(&mut rng);
        }
        let delay = backoff.next_delay(&mut rng);
        let bucket = delay.as_nanos() * BUCKETS as u128 / (config.cap.as_nanos() + 1);
        buckets[bucket as usize] += 1;
    }
    // A uniform spread puts a tenth in each bucket; a deviation of a fifth is far beyond chance.
    let expected = CLIENTS / BUCKETS;
    for count in buckets {
        assert!(count.abs_diff(expected) < expected / 5, "{buckets:?}");
    }
}

#[test]
fn delay_never_exceeds_its_ceiling() {
    let property: fn(u32, u32, u8, u64) -> bool = |base, cap, failures, seed| {
        let config = BackoffConfig {
            base: Duration::from_micros(u64::from(base)),
            cap: Duration::from_micros(u64::from(cap)),
        };
        let mut backoff = Backoff::new(config);
        let mut rng = StdRng::seed_from_u64(seed);
        (0..=failures).all(|_| {
            let ceiling = backoff.ceiling();
            ceiling <= config.cap && backoff.next_delay(&mut rng) <= ceiling
        })
    };
    checker().tests(300).quickcheck(property);
}
