//! `primrosectl account`: client accounts and their keys.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use bpaf::Parser;
use primrose_core::id::AccountId;
use primrose_table::accounts::KeyHash;
use primrose_table::accounts::KeyLabel;
use primrose_table::header::Header;
use serde::Serialize;

use super::target::target;
use crate::context::Context;
use crate::context::Target;
use crate::exit::Failure;
use crate::ops::accounts::edit;
use crate::ops::accounts::list;
use crate::ops::accounts::AccountEdit;
use crate::ops::accounts::AccountsError;
use crate::ops::swap::SwapError;

/// Prefix of every bearer key, by which a leaked key is recognized.
const KEY_PREFIX: &str = "phk_";

/// Arguments of the command.
#[derive(Debug, Clone)]
pub enum Args {
    /// Adds a key, and the account if it is new.
    Add {
        /// The deployment.
        target: Target,
        /// Name of the key.
        label: KeyLabel,
        /// Name of the account.
        account: AccountId,
    },
    /// Removes a key, or the account.
    Remove {
        /// The deployment.
        target: Target,
        /// Name of the key; `None` removes the whole account.
        key: Option<KeyLabel>,
        /// Name of the account.
        account: AccountId,
    },
    /// Lists the accounts.
    List {
        /// The deployment.
        target: Target,
    },
}

impl Args {
    pub(super) fn target(&self) -> &Target {
        match self {
            Self::Add { target, .. } | Self::Remove { target, .. } | Self::List { target } => {
                target
            }
        }
    }
}

/// A new key as JSON; the key itself is shown only here.
#[derive(Debug, Serialize)]
struct Added<'a> {
    account: &'a str,
    label: &'a str,
    key: &'a str,
    #[serde(flatten)]
    header: Header,
}

/// One account with the labels of its keys, as JSON.
#[derive(Debug, Serialize)]
struct Row<'a> {
    account: &'a str,
    keys: Vec<&'a str>,
}

/// Defines the command line.
pub fn cli() -> impl Parser<Args> {
    let add = add_cli();
    let remove = remove_cli();
    let list = list_cli();
    construct!([add, remove, list])
        .to_options()
        .descr("Adds, removes and lists client accounts and their keys.")
        .footer("Example: primrosectl account add temple-kazipara --label spring")
        .command("account")
}

fn add_cli() -> impl Parser<Args> {
    let label = long("label")
        .help("Name of the new key, to remove it by")
        .argument::<KeyLabel>("LABEL")
        .fallback("first".to_owned())
        .display_fallback();
    let account = positional::<AccountId>("ACCOUNT");
    let target = target();
    construct!(Args::Add {
        target,
        label,
        account
    })
    .to_options()
    .descr("Creates a new key for an account and prints it once.")
    .footer("Example: primrosectl account add temple-kazipara --label spring")
    .command("add")
}

fn remove_cli() -> impl Parser<Args> {
    let key = long("key")
        .help("Remove only the key of this label")
        .argument::<KeyLabel>("LABEL")
        .optional();
    let account = positional::<AccountId>("ACCOUNT");
    let target = target();
    construct!(Args::Remove {
        target,
        key,
        account
    })
    .to_options()
    .descr("Removes one key of an account, or the account with all its keys.")
    .footer("Example: primrosectl account remove temple-kazipara --key spring")
    .command("remove")
}

fn list_cli() -> impl Parser<Args> {
    let target = target();
    construct!(Args::List { target })
        .to_options()
        .descr("Lists the accounts with the labels of their keys.")
        .footer("Example: primrosectl account list")
        .command("list")
}

/// Runs the command.
pub fn exec(context: &mut Context, args: &Args) -> Result<(), Failure> {
    match args {
        Args::Add { label, account, .. } => exec_add(context, account, label),
        Args::Remove { key, account, .. } => exec_remove(context, account, key.as_deref()),
        Args::List { .. } => exec_list(context),
    }
}

fn exec_add(context: &mut Context, account: &str, label: &str) -> Result<(), Failure> {
    let random = context.random.key().map_err(Failure::failed)?;
    let key = format!("{KEY_PREFIX}{}", URL_SAFE_NO_PAD.encode(random));
    let change = AccountEdit::Add {
        account: account.to_owned(),
        label: label.to_owned(),
        hash: KeyHash::of(key.as_bytes()),
    };
    let header = apply_edit(context, &change)?;
    let object = format!("key {label} of {account}; it will not be shown again");
    context.shell.progress("Added", &object);
    let added = Added {
        account,
        label,
        key: &key,
        header,
    };
    context.shell.result(&added, &key);
    Ok(())
}

fn exec_remove(context: &mut Context, account: &str, key: Option<&str>) -> Result<(), Failure> {
    let account = account.to_owned();
    let (change, object) = match key {
        Some(label) => {
            let object = format!("key {label} of {account}");
            let label = label.to_owned();
            (AccountEdit::RemoveKey { account, label }, object)
        }
        None => {
            let object = format!("account {account}");
            (AccountEdit::Remove { account }, object)
        }
    };
    let header = apply_edit(context, &change)?;
    context.shell.progress("Removed", &object);
    context.shell.result(&header, "");
    Ok(())
}

fn apply_edit(context: &mut Context, change: &AccountEdit) -> Result<Header, Failure> {
    let id = context.random.change().map_err(Failure::failed)?;
    let store = context.store()?;
    let key = &context.keys.accounts;
    edit(store, context.sleeper.as_ref(), key, change, id).map_err(failure)
}

fn exec_list(context: &mut Context) -> Result<(), Failure> {
    let store = context.store()?;
    let key = &context.keys.accounts;
    let accounts = list(store, context.sleeper.as_ref(), key).map_err(failure)?;
    let rows: Vec<Row<'_>> = accounts
        .list()
        .iter()
        .map(|(account, keys)| Row {
            account,
            keys: keys.keys().map(String::as_str).collect(),
        })
        .collect();
    let lines: Vec<String> = rows
        .iter()
        .map(|row| format!("{}: {}", row.account, row.keys.join(", ")))
        .collect();
    context.shell.result(&rows, &lines.join("\n"));
    Ok(())
}

fn failure(error: AccountsError) -> Failure {
    match &error {
        AccountsError::InvalidName { .. } => Failure::bad_input(error),
        AccountsError::Swap {
            source: SwapError::Unknown { .. },
        } => {
            Failure::unknown(error).hint("`primrosectl account list` shows whether it took effect")
        }
        _ => Failure::failed(error),
    }
}
