//! The operators' documents of a local deployment.

use std::fmt::Write;

use primrose_core::id::Generation;
use primrose_table::accounts::KeyHash;

use crate::shape::model_name;
use crate::shape::pool_name;
use crate::shape::route_name;
use crate::shape::Shape;
use crate::shape::ORDER_PATH;
use crate::shape::PROBE_MODEL;

/// What the keys of the deployment begin with.
pub const PREFIX: &str = "primrosehall";
/// Key of the tables.
pub const TABLES_KEY: &str = "primrosehall/tables";
/// Key of the client accounts.
pub const ACCOUNTS_KEY: &str = "primrosehall/accounts";

/// The tables of a deployment, to be rendered for any generation.
#[derive(Debug, Clone)]
pub struct TablesText {
    shape: Shape,
}

impl TablesText {
    /// Takes routes and pools from the shape.
    pub fn new(shape: &Shape) -> Self {
        Self {
            shape: shape.clone(),
        }
    }

    /// Renders the document of a generation.
    pub fn render(&self, generation: Generation) -> String {
        let shape = &self.shape;
        let deadline = shape.deadline.as_millis();
        let mut text = format!(
            "[document]\ngeneration = {generation}\nchange = {generation:016x}\n\n\
             [route orders]\npath = {ORDER_PATH}\npool = dispatch\ndeadline = {deadline}ms\n\
             idempotent = no\ncost = 1\n"
        );
        for number in 0..shape.pools {
            text.push_str(&engines_text(shape, number));
        }
        text.push_str(
            "\n[pool dispatch]\nkind = plain\nservice = dispatch\nmin-slots = 4\nmax-slots = 4\n\
             longest-run = 30s\n",
        );
        if shape.probe.is_some() {
            text.push_str(&probe_text(deadline));
        }
        text
    }
}

/// Renders the route and the row of one pool of engines.
fn engines_text(shape: &Shape, number: usize) -> String {
    let (min, max) = shape.slots;
    let (pool, model) = (pool_name(number), model_name(number));
    let route = route_name(number);
    let deadline = shape.deadline.as_millis();
    let queue = shape.queue;
    let mut text = format!(
        "\n[route {route}]\nmodel = {model}\npool = {pool}\ndeadline = {deadline}ms\n\
         idempotent = yes\ncost = 100\n\n\
         [pool {pool}]\nkind = engine\nservice = {pool}\nmin-slots = {min}\n\
         max-slots = {max}\nlongest-run = 60s\nqueue-account-requests = {queue}\n"
    );
    text.push_str(&version_text(shape));
    for account in &shape.accounts {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "weight.{} = {}", account.name, account.weight);
    }
    text
}

/// Renders what the table asks of the engines' model version.
fn version_text(shape: &Shape) -> String {
    if shape.version.is_empty() {
        return String::new();
    }
    let checks = if shape.engine.checks_fence {
        "yes"
    } else {
        "no"
    };
    let version = &shape.version;
    format!("model-version = {version}\nchecks-orders = {checks}\n")
}

/// Renders the route and the pool of the engine for single requests.
fn probe_text(deadline: u128) -> String {
    format!(
        "\n[route probes]\nmodel = {PROBE_MODEL}\npool = probing\ndeadline = {deadline}ms\n\
         idempotent = yes\ncost = 100\n\n\
         [pool probing]\nkind = engine\nservice = probing\nmin-slots = 8\nmax-slots = 8\n\
         longest-run = 60s\n"
    )
}

/// Bearer key of an account.
pub(crate) fn bearer(account: &str) -> String {
    format!("key-of-{account}")
}

/// Renders the document of the client accounts.
pub(crate) fn accounts_text(shape: &Shape) -> String {
    let mut text = "[document]\ngeneration = 1\nchange = 0000000000000001\n".to_owned();
    for account in &shape.accounts {
        let hash = KeyHash::of(bearer(&account.name).as_bytes());
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "\n[account {}]\nkey-sha256.first = {hash}\n",
            account.name
        );
    }
    text
}
