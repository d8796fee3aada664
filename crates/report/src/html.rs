//! Renders the page as one self-contained HTML file, without scripts or external resources.
//!
//! Plots are inline SVG. The layout also suits phones, where each row of the table of measures
//! becomes a card, and print. A missed target is marked by a word, not by colour alone.

use crate::calendar::INTERVAL;
use crate::page::Measure;
use crate::page::Page;
use crate::page::PoolPlot;
use crate::plot::colour;
use crate::plot::draw;
use crate::plot::Line;
use crate::plot::Plot;
use crate::plot::UnseenSpan;
use crate::record::ACCOUNT_STEP;
use crate::text::format_count;
use crate::text::format_span;
use crate::text::status_word;

/// Intervals of a day without a clock change.
const DAY_STEPS: usize = 96;
/// Intervals per hour.
const STEPS_PER_HOUR: f64 = 4.0;

/// Style sheet for screens, phones and print.
const STYLE: &str = "\
body{font:16px/1.45 system-ui,sans-serif;max-width:46em;margin:0 auto;padding:1em;color:#111;\
background:#fff}\
h1{font-size:1.35em;line-height:1.3;padding:.6em .8em;border-left:.4em solid #0a7a45;margin:0 0 .6em}\
h1.missed{border-color:#b3261e}h1.unseen{border-color:#8a6d00}\
h2{font-size:1.1em;margin:1.6em 0 .4em}p{margin:.4em 0}.day{color:#555}\
table{border-collapse:collapse;width:100%;table-layout:fixed}\
th:nth-child(1){width:31%}th:nth-child(3){width:24%}th:nth-child(4){width:11%}\
td,th{text-align:left;padding:.35em .5em;border-bottom:1px solid #ddd;vertical-align:top}\
th{font-weight:600;font-size:.85em;color:#555}\
td.met{color:#0a7a45}td.missed{color:#b3261e;font-weight:700}td.none{color:#777}\
svg{width:100%;max-width:40em;height:auto;display:block}figure{margin:.6em 0}\
figcaption{font-size:.9em;color:#333}.key{white-space:nowrap;margin-right:1em}\
.key b{display:inline-block;width:1.4em;border-top:.3em solid;vertical-align:middle;margin-right:.3em}\
@media(max-width:34em){thead{display:none}tr{display:block;border-bottom:1px solid #ddd;\
padding:.4em 0}td{display:block;border:0;padding:.05em 0}td.none{display:none}td.target:not(:empty)::before{\
content:\"target: \";color:#555}td:first-child{font-weight:600}}\
@media print{body{max-width:none;font-size:11pt;padding:0}section,figure,tr{break-inside:avoid}}";

/// Renders the page as HTML.
pub fn render(page: &Page) -> String {
    let title = format!("{} - {}", page.day, page.time_zone);
    let mut html = format!(
        "<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n\
         <title>{}</title>\n<style>{STYLE}</style>\n</head>\n<body>\n",
        escape(&title)
    );
    let verdict = &page.verdict;
    let class = match (verdict.well, verdict.whole) {
        (false, _) => "missed",
        (true, false) => "unseen",
        (true, true) => "met",
    };
    let sentence = escape(&verdict.sentence);
    html.push_str(&format!("<h1 class=\"{class}\">{sentence}</h1>\n"));
    html.push_str(&format!("<p class=\"day\">{}</p>\n", escape(&title)));
    write_measures(&mut html, page);
    write_unseen(&mut html, page);
    for pool in &page.pools {
        write_pool_plots(&mut html, page, pool);
    }
    write_accounts(&mut html, page);
    for note in &page.notes {
        html.push_str(&format!("<p>{}</p>\n", escape(note)));
    }
    html.push_str("</body>\n</html>\n");
    html
}

/// Escapes text for HTML content and attribute values.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            other => escaped.push(other),
        }
    }
    escaped
}

fn write_measures(html: &mut String, page: &Page) {
    let mut pool = None;
    for measure in &page.measures {
        if pool != Some(&measure.pool) {
            if pool.is_some() {
                html.push_str("</tbody></table></section>\n");
            }
            pool = Some(&measure.pool);
            let title = match measure.pool.is_empty() {
                true => "The fleet".to_owned(),
                false => format!("Pool {}", measure.pool),
            };
            html.push_str(&format!("<section><h2>{}</h2>\n", escape(&title)));
            html.push_str("<table><thead><tr><th>Measure</th><th>Found</th><th>Target</th>");
            html.push_str("<th></th></tr></thead><tbody>\n");
        }
        write_row(html, measure);
    }
    if pool.is_some() {
        html.push_str("</tbody></table></section>\n");
    }
}

fn write_row(html: &mut String, measure: &Measure) {
    let class = match measure.met {
        Some(true) => "met",
        Some(false) => "missed",
        None => "none",
    };
    let (name, found) = (escape(&measure.name), escape(&measure.found));
    let (target, mark) = (escape(&measure.target), status_word(measure.met));
    html.push_str(&format!(
        "<tr><td>{name}</td><td>{found}</td><td class=\"target\">{target}</td>\
         <td class=\"{class}\">{mark}</td></tr>\n"
    ));
}

fn write_unseen(html: &mut String, page: &Page) {
    if !page.gaps.is_empty() {
        html.push_str("<section><h2>Not seen</h2>\n");
        html.push_str("<p>These times are missing above; they are not zero. Plots show them grey.</p>\n<ul>\n");
        for gap in &page.gaps {
            let zone = escape(&gap.zone);
            html.push_str(&format!(
                "<li>zone {zone} from {} to {}</li>\n",
                gap.from, gap.to
            ));
        }
        html.push_str("</ul></section>\n");
    }
    if !page.outages.is_empty() {
        html.push_str("<section><h2>Out of reach</h2>\n<ul>\n");
        for outage in &page.outages {
            let (what, length) = (escape(&outage.what), format_span(outage.length));
            html.push_str(&format!(
                "<li>{what} at {} for {length}</li>\n",
                outage.from
            ));
        }
        html.push_str("</ul></section>\n");
    }
}

/// Returns the gaps of the page, in steps of `per_step` intervals.
fn unseen_spans(page: &Page, per_step: usize) -> Vec<UnseenSpan> {
    let step = per_step as f64;
    let spans = page.gaps.iter().map(|gap| UnseenSpan {
        first: gap.first as f64 / step,
        steps: gap.intervals as f64 / step,
    });
    spans.collect()
}

fn write_figure(html: &mut String, plot: &Plot<'_>, caption: &str) {
    let Some(svg) = draw(plot) else {
        return;
    };
    html.push_str(&format!(
        "<figure><figcaption>{caption}</figcaption>\n{svg}</figure>\n"
    ));
}

fn write_pool_plots(html: &mut String, page: &Page, pool: &PoolPlot) {
    let name = escape(&pool.pool);
    html.push_str(&format!("<section><h2>Pool {name} over the day</h2>\n"));
    let plot = |values, min_top| Plot {
        lines: vec![Line { values }],
        steps: DAY_STEPS.max(pool.busy.len()),
        per_hour: STEPS_PER_HOUR,
        min_top,
        unseen: unseen_spans(page, 1),
    };
    write_figure(html, &plot(&pool.busy, 100.0), "Slots taken, in percent");
    write_figure(html, &plot(&pool.queue, 1.0), "Requests waiting");
    html.push_str("</section>\n");
}

fn write_accounts(html: &mut String, page: &Page) {
    if page.accounts.is_empty() {
        return;
    }
    let lines = page.accounts.iter();
    let steps = page.accounts.iter().map(|account| account.rate.len()).max();
    let plot = Plot {
        lines: lines
            .map(|account| Line {
                values: &account.rate,
            })
            .collect(),
        steps: (DAY_STEPS / ACCOUNT_STEP).max(steps.unwrap_or(0)),
        per_hour: STEPS_PER_HOUR / ACCOUNT_STEP as f64,
        min_top: 1.0,
        unseen: unseen_spans(page, ACCOUNT_STEP),
    };
    let hours = INTERVAL.as_secs() * ACCOUNT_STEP as u64 / 3600;
    let mut caption = format!("Units of service a second, in steps of {hours} hours<br>");
    for (index, account) in page.accounts.iter().enumerate() {
        caption.push_str(&format!(
            "<span class=\"key\"><b style=\"border-color:{}\"></b>{}: {}</span> ",
            colour(index),
            escape(&account.account),
            format_count(account.service)
        ));
    }
    html.push_str("<section><h2>Service by account</h2>\n");
    write_figure(html, &plot, &caption);
    html.push_str("</section>\n");
}
