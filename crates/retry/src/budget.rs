//! The retry budget: retries as a share of first attempts.
//!
//! A token bucket that is filled by traffic in place of time, as in Finagle's retry budgets. It
//! starts with a small reserve, so that the few requests of a quiet router are retried too, and is
//! capped, so a quiet hour does not pay for a burst of retries when the outage begins. Over every
//! prefix of the traffic, retries stay within the share plus the reserve.

/// Tokens that one retry costs; a first attempt earns the configured permille of it.
const RETRY_TOKENS: u64 = 1000;

/// Bounds of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetConfig {
    /// Retries allowed for every thousand first attempts.
    pub permille: u32,
    /// Most retries that can be saved up.
    pub burst: u32,
    /// Retries allowed before any traffic has earned one; at most `burst`.
    pub reserve: u32,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        Self {
            permille: 100,
            burst: 20,
            reserve: 10,
        }
    }
}

/// Counts first attempts and decides whether a retry is allowed.
#[derive(Debug, Clone)]
pub struct Budget {
    config: BudgetConfig,
    tokens: u64,
}

impl Budget {
    /// Makes a budget that holds its reserve.
    pub fn new(config: BudgetConfig) -> Self {
        let reserve = config.reserve.min(config.burst);
        let tokens = u64::from(reserve) * RETRY_TOKENS;
        Self { config, tokens }
    }

    /// Records a first attempt, which earns a part of a retry.
    pub fn record_attempt(&mut self) {
        let cap = u64::from(self.config.burst) * RETRY_TOKENS;
        self.tokens = (self.tokens + u64::from(self.config.permille)).min(cap);
    }

    /// Takes one retry from the budget; false if the caller must not retry.
    #[must_use]
    pub fn try_retry(&mut self) -> bool {
        let Some(rest) = self.tokens.checked_sub(RETRY_TOKENS) else {
            return false;
        };
        self.tokens = rest;
        true
    }

    /// Changes the bounds; what has been saved up beyond them is lost.
    pub fn resize(&mut self, config: BudgetConfig) {
        self.config = config;
        self.tokens = self.tokens.min(u64::from(config.burst) * RETRY_TOKENS);
    }

    /// Returns how many retries are allowed at this moment.
    pub fn available(&self) -> u64 {
        self.tokens / RETRY_TOKENS
    }
}
