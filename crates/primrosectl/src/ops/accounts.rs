//! Adds and removes the keys of client accounts.
//!
//! Unlike an edit of the tables, an edit of the accounts can be repeated on top of another change:
//! after a lost race, the document is read again and the edit is applied to the new content.

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

use super::sleep::Sleeper;
use super::swap::read;
use super::swap::swap;
use super::swap::Proposal;
use super::swap::StoredDocument;
use super::swap::SwapError;

/// Limit on the attempts of an edit that keeps losing races.
const MAX_ATTEMPTS: u32 = 8;

/// An edit of the accounts.
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
    /// A name is not valid.
    #[snafu(display("expected {expected}, found {found:?}"))]
    InvalidName {
        /// Description of a valid name.
        expected: String,
        /// The name that was given.
        found: String,
    },
    /// The account already has a key with this label, or the key already belongs to an account.
    #[snafu(display("account {account} has a key {label} already, or the key is in use"))]
    KeyExists {
        /// Name of the account.
        account: AccountId,
        /// Name of the key.
        label: KeyLabel,
    },
    /// The account or key to remove does not exist.
    #[snafu(display("there is no {what}"))]
    NotFound {
        /// Description of the account or key.
        what: String,
    },
    /// The stored document has faults, which must be fixed first.
    #[snafu(display("the stored accounts have faults:\n{source}"))]
    Stored {
        /// All faults of the document.
        source: Faults,
    },
    /// The document would be larger than [`MAX_DOCUMENT_BYTES`].
    #[snafu(display("the accounts would have {bytes} bytes, more than {MAX_DOCUMENT_BYTES}"))]
    TooLarge {
        /// Size of the edited document, in bytes.
        bytes: usize,
    },
    /// The service could not be read; nothing was changed.
    #[snafu(display("failed to read the key-value service; nothing was changed"))]
    Store {
        /// Error of the last call.
        source: StoreError,
    },
    /// The compare-and-swap failed.
    #[snafu(display("failed to replace the accounts"))]
    Swap {
        /// Tells whether nothing was changed or the result is unknown.
        source: SwapError,
    },
}

/// Returns the stored accounts; an absent document has none.
pub fn list(
    store: &dyn Store,
    sleeper: &dyn Sleeper,
    key: &str,
) -> Result<Accounts, AccountsError> {
    let stored = read(store, sleeper, key).context(StoreSnafu)?;
    parse(key, &stored)
}

/// Applies an edit; returns the header of the document that contains it.
pub fn edit(
    store: &dyn Store,
    sleeper: &dyn Sleeper,
    key: &str,
    edit: &AccountEdit,
    change: ChangeId,
) -> Result<Header, AccountsError> {
    check_names(edit)?;
    let mut attempt = 1;
    loop {
        let result = edit_once(store, sleeper, key, edit, change);
        let lost_race = matches!(
            result,
            Err(AccountsError::Swap {
                source: SwapError::Race { .. }
            })
        );
        if !lost_race || attempt == MAX_ATTEMPTS {
            return result;
        }
        attempt += 1;
    }
}

fn edit_once(
    store: &dyn Store,
    sleeper: &dyn Sleeper,
    key: &str,
    edit: &AccountEdit,
    change: ChangeId,
) -> Result<Header, AccountsError> {
    let stored = read(store, sleeper, key).context(StoreSnafu)?;
    let mut accounts = parse(key, &stored)?;
    apply_edit(&mut accounts, edit)?;
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
    swap(store, sleeper, &proposal).context(SwapSnafu)?;
    Ok(accounts.header)
}

fn parse(key: &str, stored: &StoredDocument) -> Result<Accounts, AccountsError> {
    if stored.version == 0 {
        return Ok(Accounts::default());
    }
    Accounts::parse(key, &stored.text).context(StoredSnafu)
}

fn check_names(edit: &AccountEdit) -> Result<(), AccountsError> {
    let names = match edit {
        AccountEdit::Add { account, label, .. } => vec![account, label],
        // A name to remove needs no check: an invalid one is not found.
        AccountEdit::RemoveKey { .. } | AccountEdit::Remove { .. } => Vec::new(),
    };
    for found in names {
        if let Err(expected) = value::name(found) {
            return InvalidNameSnafu { expected, found }.fail();
        }
    }
    Ok(())
}

fn apply_edit(accounts: &mut Accounts, edit: &AccountEdit) -> Result<(), AccountsError> {
    match edit {
        AccountEdit::Add {
            account,
            label,
            hash,
        } => {
            if accounts.add_key(account, label, *hash) {
                return Ok(());
            }
            KeyExistsSnafu { account, label }.fail()
        }
        AccountEdit::RemoveKey { account, label } => {
            if accounts.remove_key(account, label) {
                return Ok(());
            }
            let what = format!("key {label} of account {account}");
            NotFoundSnafu { what }.fail()
        }
        AccountEdit::Remove { account } => {
            if accounts.remove_account(account) {
                return Ok(());
            }
            let what = format!("account {account}");
            NotFoundSnafu { what }.fail()
        }
    }
}
