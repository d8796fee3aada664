//! Random change ids and bearer keys.

use rand::rngs::OsRng;
use rand::TryRngCore;

/// Length of a new bearer key before its encoding, in bytes.
pub const KEY_BYTES: usize = 32;

/// Failure of the operating system's random number generator.
pub type RandomError = rand::rand_core::OsError;

/// A source of unpredictable random numbers.
pub trait Random {
    /// Generates the bytes of a new bearer key.
    fn key(&mut self) -> Result<[u8; KEY_BYTES], RandomError>;

    /// Generates a change id; never 0.
    fn change(&mut self) -> Result<u64, RandomError>;
}

/// [`Random`] from the operating system's generator.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemRandom;

impl Random for SystemRandom {
    fn key(&mut self) -> Result<[u8; KEY_BYTES], RandomError> {
        let mut key = [0; KEY_BYTES];
        OsRng.try_fill_bytes(&mut key)?;
        Ok(key)
    }

    fn change(&mut self) -> Result<u64, RandomError> {
        Ok(OsRng.try_next_u64()?.max(1))
    }
}
