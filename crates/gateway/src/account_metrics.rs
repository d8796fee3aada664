//! Counters by account, within a bounded number of series.

use std::cell::RefCell;
use std::collections::HashSet;

use primrose_core::id::AccountId;

/// Accounts with series of their own; at four outcomes each, about as many series as all others.
const MAX_ACCOUNT_SERIES: usize = 32;
/// Name under which all further accounts are counted.
const OTHER_ACCOUNTS: &str = "others";

/// Accounts that have series of their own: the first ones that were seen.
#[derive(Debug, Default)]
pub(crate) struct AccountMetrics {
    accounts: RefCell<HashSet<AccountId>>,
}

impl AccountMetrics {
    /// Counts how a request of an account ended.
    pub(crate) fn count(&self, account: Option<&AccountId>, outcome: &str) {
        let Some(account) = account else {
            return;
        };
        let name = self.label(account).to_owned();
        let outcome = outcome.to_owned();
        metrics::counter!("account_requests", "account" => name, "outcome" => outcome).increment(1);
    }

    /// Name under which an account is counted.
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
