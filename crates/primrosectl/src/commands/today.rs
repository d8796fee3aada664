//! `primrosectl today`: the daily page.

use std::path::Path;
use std::path::PathBuf;

use bpaf::construct;
use bpaf::long;
use bpaf::Parser;
use bpaf::ShellComp;
use primrose_report::html;
use primrose_report::page::Page;
use primrose_report::text;

use super::target::target;
use crate::context::Context;
use crate::context::Target;
use crate::exit::Failure;
use crate::ops::today::fetch;

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    /// Date of the page; `None` for today.
    pub date: Option<String>,
    /// File to which the page is written as HTML.
    pub html: Option<PathBuf>,
    /// The deployment.
    pub target: Target,
}

/// Defines the command line.
pub fn cli() -> impl Parser<Args> {
    let date = long("date")
        .help("A day as 2026-12-04; today in the deployment's time zone if not given")
        .argument::<String>("DAY")
        .optional();
    let html = long("html")
        .help("Write the page to this file as HTML, with plots")
        .argument::<PathBuf>("FILE")
        .complete_shell(ShellComp::File { mask: None })
        .optional();
    let target = target();
    construct!(Args { date, html, target })
        .to_options()
        .descr("Shows whether the day went well, and each measure against its target.")
        .footer("Example: primrosectl today --html today.html")
        .command("today")
}

/// Fetches the page and prints it.
pub fn exec(context: &mut Context, args: &Args) -> Result<(), Failure> {
    let routers = context.routers()?;
    let page = fetch(context.fleet.as_ref(), routers, args.date.as_deref());
    let page = page.map_err(Failure::failed)?;
    if let Some(path) = &args.html {
        write_html(path, &page)?;
        let file = path.display().to_string();
        context.shell.progress("Wrote", &file);
        let sentence = page.verdict.sentence.clone();
        context.shell.result(&page, &sentence);
        return Ok(());
    }
    let shown = text::render(&page);
    context.shell.result(&page, &shown);
    Ok(())
}

fn write_html(path: &Path, page: &Page) -> Result<(), Failure> {
    let written = std::fs::write(path, html::render(page));
    let shown = path.display();
    written.map_err(|error| Failure::failed(format!("failed to write {shown}: {error}")))
}
