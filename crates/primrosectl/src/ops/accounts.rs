//! Adds and removes the keys of client accounts.
//!
//! Unlike an edit of the tables, such a change can be made again on top of another: when it loses
//! a race, the document is read anew and the change is made on that.

use primrose_core::id::AccountId;
use primrose_store::store::Store;
use primrose_store::store::StoreError;
use primrose_table::accounts::Accounts;
use primrose_table::accounts::KeyHash;
use primrose_table::accounts::KeyLabel;
use primrose_table::header::ChangeId;
use primrose_table::header::Header;
use primrose_table::header::MAX_DOCUMENT_BYTES;
use primrose_table::ini::Faults;
use primrose_table::value;
use snafu::ResultExt;
use snafu::Snafu;

use super::pause::Pause;
use super::swap::read;
use super::swap::swap;
use super::swap::Proposal;
use super::swap::Stored;
use super::swap::SwapError;

/// How often a change is made anew after a lost race.
const ROUNDS: u32 = 8;

/// A change of the accounts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AccountEdit {
    /// Adds a key, and the account if it is new.
    Add {
        /// Name of the account.
        account: AccountId,
        /// Name of the key.
        label: KeyLabel,
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Removes one key.
    RemoveKey {
        /// Name of the account.
        account: AccountId,
        /// Name of the key.
        label: KeyLabel,
    },
    /// Removes an account with its keys.
    Remove {
        /// Name of the account.
        account: AccountId,
    },
}

/// Why the accounts were not changed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum AccountsError {
    /// A name cannot be used.
    #[snafu(display("expected {expected}, found {found:?}"))]
    Name {
        /// What was expected.
        expected: String,
        /// What was given.
        found: String,
    },
    /// The account has a key of this label, or the key belongs to an account.
    #[snafu(display("account {account} has a key {label} already, or the key is in use"))]
    Taken {
        /// Name of the account.
        account: AccountId,
        /// Name of the key.
        label: KeyLabel,
    },
    /// There is no such account or key.
    #[snafu(display("there is no {what}"))]
    Absent {
        /// What was to be removed.
        what: String,
    },
    /// The stored document has faults; it must be mended first.
    #[snafu(display("the stored accounts have faults:\n{source}"))]
    Stored {
        /// Every fault.
        source: Faults,
    },
    /// The document would grow too large.
    #[snafu(display("the accounts would have {bytes} bytes, more than {MAX_DOCUMENT_BYTES}"))]
    TooLarge {
        /// Size with the change.
        bytes: usize,
    },
    /// The service could not be read; nothing was changed.
    #[snafu(display("failed to read the key-value service; nothing was changed"))]
    Store {
        /// What the service's adapter saw.
        source: StoreError,
    },
    /// The swap failed.
    #[snafu(display("failed to replace the accounts"))]
    Swap {
        /// Whether nothing was changed, or that is unknown.
        source: SwapError,
    },
}

/// Reads the accounts; none if nothing is stored.
pub fn list(store: &dyn Store, pause: &dyn Pause, key: &str) -> Result<Accounts, AccountsError> {
    let stored = read(store, pause, key).context(StoreSnafu)?;
    parse(key, &stored)
}

/// Makes a change; returns the header of the document that holds it.
pub fn edit(
    store: &dyn Store,
    pause: &dyn Pause,
    key: &str,
    edit: &AccountEdit,
    change: ChangeId,
) -> Result<Header, AccountsError> {
    check_names(edit)?;
    let mut round = 1;
    loop {
        let result = edit_once(store, pause, key, edit, change);
        let raced = matches!(
            result,
            Err(AccountsError::Swap {
                source: SwapError::Race { .. }
            })
        );
        if !raced || round == ROUNDS {
            return result;
        }
        round += 1;
    }
}

fn edit_once(
    store: &dyn Store,
    pause: &dyn Pause,
    key: &str,
    edit: &AccountEdit,
    change: ChangeId,
) -> Result<Header, AccountsError> {
    let stored = read(store, pause, key).context(StoreSnafu)?;
    let mut accounts = parse(key, &stored)?;
    change_accounts(&mut accounts, edit)?;
    let generation = accounts.header.generation + 1;
    accounts.header = Header { generation, change };
    let text = accounts.render();
    let bytes = text.len();
    if bytes > MAX_DOCUMENT_BYTES {
        return TooLargeSnafu { bytes }.fail();
    }
    let proposal = Proposal {
        key,
        base: &stored,
        header: accounts.header,
        text: &text,
    };
    swap(store, pause, &proposal).context(SwapSnafu)?;
    Ok(accounts.header)
}

fn parse(key: &str, stored: &Stored) -> Result<Accounts, AccountsError> {
    if stored.version == 0 {
        return Ok(Accounts::default());
    }
    Accounts::parse(key, &stored.text).context(StoredSnafu)
}

fn check_names(edit: &AccountEdit) -> Result<(), AccountsError> {
    let names = match edit {
        AccountEdit::Add { account, label, .. } => vec![account, label],
        // What is to be removed need not be well formed; it is found or not.
        AccountEdit::RemoveKey { .. } | AccountEdit::Remove { .. } => Vec::new(),
    };
    for found in names {
        if let Err(expected) = value::name(found) {
            return NameSnafu { expected, found }.fail();
        }
    }
    Ok(())
}

fn change_accounts(accounts: &mut Accounts, edit: &AccountEdit) -> Result<(), AccountsError> {
    match edit {
        AccountEdit::Add {
            account,
            label,
            hash,
        } => {
            if accounts.add_key(account, label, *hash) {
                return Ok(());
            }
            TakenSnafu { account, label }.fail()
        }
        AccountEdit::RemoveKey { account, label } => {
            if accounts.remove_key(account, label) {
                return Ok(());
            }
            let what = format!("key {label} of account {account}");
            AbsentSnafu { what }.fail()
        }
        AccountEdit::Remove { account } => {
            if accounts.remove_account(account) {
                return Ok(());
            }
            let what = format!("account {account}");
            AbsentSnafu { what }.fail()
        }
    }
}
