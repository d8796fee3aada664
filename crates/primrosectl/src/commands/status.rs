//! `primrosectl status`: the state of the routers, pools and queues.

use std::collections::BTreeMap;
use std::fmt::Write;

use bpaf::construct;
use bpaf::Parser;
use primrose_core::id::PoolId;
use primrose_core::id::ZoneId;
use primrose_report::status::PoolStatus;
use primrose_report::status::RouterStatus;
use primrose_table::activation::DocumentStatus;
use serde::Serialize;

use super::target::target;
use crate::context::Context;
use crate::context::Target;
use crate::exit::Failure;
use crate::ops::status::query_all;
use crate::ops::status::Answer;

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    /// The deployment.
    pub target: Target,
}

/// One router as JSON.
#[derive(Debug, Serialize)]
struct View<'a> {
    router: String,
    status: Option<&'a RouterStatus>,
    error: Option<String>,
}

/// Defines the command line.
pub fn cli() -> impl Parser<Args> {
    let target = target();
    construct!(Args { target })
        .to_options()
        .descr(
            "Prints the state of the routers, the generation in force on each, pools and queues.",
        )
        .footer("Example: primrosectl status --router 10.0.1.2:8082 --router 10.0.2.2:8082")
        .command("status")
}

/// Queries the routers and prints their status.
pub fn exec(context: &mut Context, _args: &Args) -> Result<(), Failure> {
    let answers = query_all(context.fleet.as_ref(), context.routers()?);
    let views: Vec<View<'_>> = answers.iter().map(view).collect();
    context.shell.result(&views, &render(&answers));
    let silent = answers
        .iter()
        .filter(|answer| answer.status.is_err())
        .count();
    if silent > 0 {
        let error = format!("{silent} of {} routers did not answer", answers.len());
        return Err(Failure::failed(error).reported());
    }
    Ok(())
}

fn view(answer: &Answer) -> View<'_> {
    View {
        router: answer.router.to_string(),
        status: answer.status.as_ref().ok(),
        error: answer.status.as_ref().err().map(ToString::to_string),
    }
}

fn render(answers: &[Answer]) -> String {
    let mut text = String::new();
    write_table(&mut text, &router_rows(answers));
    let pools = pool_rows(answers);
    if pools.len() > 1 {
        text.push('\n');
        write_table(&mut text, &pools);
    }
    for answer in answers {
        if let Ok(status) = &answer.status {
            write_notes(&mut text, &status.host, "tables", &status.tables);
            write_notes(&mut text, &status.host, "accounts", &status.accounts);
        }
    }
    text
}

fn router_rows(answers: &[Answer]) -> Vec<Vec<String>> {
    let titles = "ROUTER HOST ZONE STATE TABLES ACCOUNTS PEERS PLATFORM";
    let mut rows = vec![titles.split(' ').map(str::to_owned).collect()];
    for answer in answers {
        let mut row = vec![answer.router.to_string()];
        match &answer.status {
            Ok(status) => row.extend(router_row(status)),
            Err(_) => row.extend(["-", "-", "silent"].map(str::to_owned)),
        }
        rows.push(row);
    }
    rows
}

fn router_row(status: &RouterStatus) -> [String; 7] {
    let alive = status.peers.iter().filter(|peer| peer.alive).count();
    let platform = match status.platform_silence {
        None => "never reached".to_owned(),
        Some(silence) => format!("{silence}ms ago"),
    };
    [
        status.host.clone(),
        status.zone.clone(),
        status.state.to_string(),
        generation(&status.tables),
        generation(&status.accounts),
        format!("{alive}/{}", status.peers.len()),
        platform,
    ]
}

/// Renders the generation in activation, with a mark if there is a note about the document.
fn generation(standing: &DocumentStatus) -> String {
    let generation = standing.header.map(|header| header.generation);
    let mut shown =
        generation.map_or_else(|| "none".to_owned(), |generation| generation.to_string());
    if standing.rejected.is_some() || standing.conflict.is_some() || standing.behind.is_some() {
        shown.push('!');
    }
    shown
}

/// Totals of a pool over the routers of one zone.
#[derive(Debug, Default)]
struct PoolTotals {
    dispatcher: String,
    slots: u64,
    busy: u64,
    queued: u64,
    oldest: u64,
    waiting: BTreeMap<String, u64>,
}

impl PoolTotals {
    fn add(&mut self, pool: &PoolStatus) {
        if let Some(host) = &pool.dispatcher {
            self.dispatcher.clone_from(host);
        }
        // Only the pool's dispatcher reports slots, so each slot is counted once.
        self.slots += pool.slots;
        self.busy += pool.busy;
        self.queued += pool.queued;
        for account in &pool.accounts {
            self.oldest = self.oldest.max(account.oldest);
            *self.waiting.entry(account.account.clone()).or_default() += account.queued;
        }
    }
}

fn pool_rows(answers: &[Answer]) -> Vec<Vec<String>> {
    let mut totals_by_pool: BTreeMap<(PoolId, ZoneId), PoolTotals> = BTreeMap::new();
    let statuses = answers
        .iter()
        .filter_map(|answer| answer.status.as_ref().ok());
    for status in statuses {
        for pool in &status.pools {
            let id = (pool.pool.clone(), status.zone.clone());
            totals_by_pool.entry(id).or_default().add(pool);
        }
    }
    let titles = "POOL ZONE DISPATCHER BUSY QUEUED OLDEST ACCOUNTS";
    let mut rows = vec![titles.split(' ').map(str::to_owned).collect()];
    for ((pool, zone), totals) in totals_by_pool {
        rows.push(vec![
            pool,
            zone,
            totals.dispatcher,
            format!("{}/{}", totals.busy, totals.slots),
            totals.queued.to_string(),
            format!("{}ms", totals.oldest),
            totals.waiting.len().to_string(),
        ]);
    }
    rows
}

/// Writes rows as a table with aligned columns.
fn write_table(text: &mut String, rows: &[Vec<String>]) {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(line.join("  ").trim_end());
        text.push('\n');
    }
}

/// Writes why a router has rejected or kept a document.
fn write_notes(text: &mut String, host: &str, name: &str, standing: &DocumentStatus) {
    // Writing to a string cannot fail.
    if let Some(rejected) = &standing.rejected {
        let _ = writeln!(text, "\n{host}: rejected {name} from {}", rejected.source);
        for fault in &rejected.faults.0 {
            let _ = writeln!(text, "  {fault}");
        }
    }
    if let Some(conflict) = &standing.conflict {
        let (kept, other) = (conflict.kept, conflict.other);
        let source = &conflict.source;
        let _ = writeln!(
            text,
            "\n{host}: kept {name} of {kept} against {other} from {source}"
        );
    }
    if let Some(behind) = &standing.behind {
        let shown = match behind.shown {
            Some(shown) => shown.to_string(),
            None => "nothing".to_owned(),
        };
        let kept = behind.kept;
        let _ = writeln!(
            text,
            "\n{host}: kept {name} of {kept}; the key-value service shows {shown}"
        );
        let _ = writeln!(
            text,
            "  hint: `primrosectl restore` stores the newer document again"
        );
    }
}
