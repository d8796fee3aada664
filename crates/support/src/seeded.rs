//! Property tests that draw the same values on every run.

use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Size of the values that are drawn.
const SIZE: usize = 100;
/// Seed of every property test.
const SEED: u64 = 1;

/// Makes a checker whose values do not change from run to run.
pub fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}
