//! Request counters by client account, with a bounded number of time series.

use std::cell::RefCell;
use std::collections::HashSet;

use primrose_core::id::AccountId;

/// Accounts that get time series of their own. With four outcomes each, these are about as many
/// series as all other metrics have together.
const MAX_ACCOUNT_SERIES: usize = 32;
/// Label value under which all further accounts are counted.
const OTHER_ACCOUNTS: &str = "others";

/// Counts requests by account. The first accounts that are seen get time series of their own.
#[derive(Debug, Default)]
pub(crate) struct AccountMetrics {
    accounts: RefCell<HashSet<AccountId>>,
}

impl AccountMetrics {
    /// Counts a request of an account by its outcome.
    pub(crate) fn count(&self, account: Option<&AccountId>, outcome: &str) {
        let Some(account) = account else {
            return;
        };
        let name = self.label(account).to_owned();
        let outcome = outcome.to_owned();
        metrics::counter!("account_requests", "account" => name, "outcome" => outcome).increment(1);
    }

    /// Returns the label value under which an account is counted.
    fn label<'a>(&self, account: &'a AccountId) -> &'a str {
        let mut accounts = self.accounts.borrow_mut();
        if accounts.contains(account) {
            return account;
        }
        if accounts.len() >= MAX_ACCOUNT_SERIES {
            return OTHER_ACCOUNTS;
        }
        accounts.insert(account.clone());
        account
    }
}
