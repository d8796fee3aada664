//! Property tests that generate the same values on every run.

use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Size parameter of the generated values.
const SIZE: usize = 100;
/// Seed of every property test.
const SEED: u64 = 1;

/// Creates a checker that generates the same values on every run.
pub fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}
