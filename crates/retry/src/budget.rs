//! Retry budget: limits retries to a share of first attempts.
//!
//! The budget is a token bucket filled by traffic instead of time, as in Finagle's retry budgets.
//! It starts with a small reserve, so that a router with little traffic can retry too. It is
//! capped, so that tokens saved up while nothing failed cannot pay for a burst of retries when an
//! outage begins. Counted from the start, retries never exceed the share plus the reserve.

/// Token cost of one retry; a first attempt earns the configured permille of it.
const RETRY_TOKENS: u64 = 1000;

/// Limits of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetConfig {
    /// Retries allowed per thousand first attempts.
    pub permille: u32,
    /// Maximum number of retries that can be saved up.
    pub burst: u32,
    /// Retries available before any traffic; limited to `burst`.
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
    /// Creates a budget that holds its reserve.
    pub fn new(config: BudgetConfig) -> Self {
        let reserve = config.reserve.min(config.burst);
        let tokens = u64::from(reserve) * RETRY_TOKENS;
        Self { config, tokens }
    }

    /// Records a first attempt, which earns a fraction of a retry.
    pub fn record_attempt(&mut self) {
        let cap = u64::from(self.config.burst) * RETRY_TOKENS;
        self.tokens = (self.tokens + u64::from(self.config.permille)).min(cap);
    }

    /// Takes one retry from the budget; returns false if the caller must not retry.
    #[must_use]
    pub fn try_retry(&mut self) -> bool {
        let Some(rest) = self.tokens.checked_sub(RETRY_TOKENS) else {
            return false;
        };
        self.tokens = rest;
        true
    }

    /// Changes the limits; saved retries beyond the new burst are lost.
    pub fn resize(&mut self, config: BudgetConfig) {
        self.config = config;
        self.tokens = self.tokens.min(u64::from(config.burst) * RETRY_TOKENS);
    }

    /// Returns the number of retries available now.
    pub fn available(&self) -> u64 {
        self.tokens / RETRY_TOKENS
    }
}
