//! Random numbers for change ids and keys.

use rand::rngs::OsRng;
use rand::TryRngCore;

/// Length of a new bearer key before its encoding, in bytes.
pub const KEY_BYTES: usize = 32;

/// The operating system gave no random bytes.
pub type RandomError = rand::rand_core::OsError;

/// Draws random bytes that nobody can guess.
pub trait Random {
    /// Draws the bytes of a new key.
    fn key(&mut self) -> Result<[u8; KEY_BYTES], RandomError>;

    /// Draws a change id; never 0.
    fn change(&mut self) -> Result<u64, RandomError>;
}

/// Draws from the operating system.
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
