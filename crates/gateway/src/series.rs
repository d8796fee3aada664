//! Counters by account, within a bounded number of series.

use std::cell::RefCell;
use std::collections::HashSet;

use primrose_core::id::AccountId;

/// Accounts with series of their own; at four outcomes each, about as many series as all others.
const MOST_ACCOUNTS: usize = 32;
/// Name under which all further accounts are counted.
const OTHERS: &str = "others";

/// Accounts that have series of their own: the first ones that were seen.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    named: RefCell<HashSet<AccountId>>,
}

impl Accounts {
    /// Counts how a request of an account ended.
    pub(crate) fn count(&self, account: Option<&AccountId>, outcome: &str) {
        let Some(account) = account else {
            return;
        };
        let name = self.series(account).to_owned();
        let outcome = outcome.to_owned();
        metrics::counter!("account_requests", "account" => name, "outcome" => outcome).increment(1);
    }

    /// Name under which an account is counted.
    fn series<'a>(&self, account: &'a AccountId) -> &'a str {
        let mut named = self.named.borrow_mut();
        if named.contains(account) {
            return account;
        }
        if named.len() >= MOST_ACCOUNTS {
            return OTHERS;
        }
        named.insert(account.clone());
        account
    }
}
