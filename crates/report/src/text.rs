//! Renders the page as text for a terminal, and formats numbers and times for all renderings.

use std::fmt::Write;
use std::time::Duration;

use crate::page::Measure;
use crate::page::Page;

/// Renders the page as text.
pub fn render(page: &Page) -> String {
    let mut text = format!(
        "{}\n\n{}, {}\n",
        page.verdict.sentence, page.day, page.time_zone
    );
    let mut pool = None;
    for measure in &page.measures {
        if pool != Some(&measure.pool) {
            pool = Some(&measure.pool);
            let title = match measure.pool.is_empty() {
                true => "the fleet".to_owned(),
                false => format!("pool {}", measure.pool),
            };
            text.push_str(&format!("\n{title}\n"));
        }
        write_measure(&mut text, measure);
    }
    write_unseen(&mut text, page);
    for note in &page.notes {
        text.push_str(&format!("\n{note}\n"));
    }
    text
}

fn write_measure(text: &mut String, measure: &Measure) {
    let mark = status_word(measure.met);
    let Measure { name, found, .. } = measure;
    let target = match measure.target.is_empty() {
        true => String::new(),
        false => format!(" (target: {})", measure.target),
    };
    // Writing to a string cannot fail.
    let _ = writeln!(text, "  {mark:<6} {name}: {found}{target}");
}

/// Returns the word that says whether a target was met; `-` without a result.
pub(crate) fn status_word(met: Option<bool>) -> &'static str {
    match met {
        Some(true) => "met",
        Some(false) => "MISSED",
        None => "-",
    }
}

fn write_unseen(text: &mut String, page: &Page) {
    if !page.gaps.is_empty() {
        text.push_str("\nnot seen (these times are missing above, they are not zero)\n");
    }
    for gap in &page.gaps {
        let _ = writeln!(text, "  zone {} from {} to {}", gap.zone, gap.from, gap.to);
    }
    if !page.outages.is_empty() {
        text.push_str("\nout of reach\n");
    }
    for outage in &page.outages {
        let length = format_span(outage.length);
        let _ = writeln!(text, "  {} at {} for {length}", outage.what, outage.from);
    }
}

/// Formats a count with thousands separators.
pub(crate) fn format_count(value: u64) -> String {
    let digits = value.to_string();
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index) % 3 == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

/// Formats a latency, in milliseconds below 10 s.
pub(crate) fn format_time(value: Duration) -> String {
    let millis = value.as_secs_f64() * 1000.0;
    match millis {
        millis if millis < 10.0 => format!("{millis:.1} ms"),
        millis if millis < 10_000.0 => format!("{millis:.0} ms"),
        millis => format!("{:.1} s", millis / 1000.0),
    }
}

/// Formats a number of seconds in hours, minutes and seconds.
pub(crate) fn format_span(seconds: u64) -> String {
    match (seconds / 3600, seconds / 60 % 60, seconds % 60) {
        (0, 0, seconds) => format!("{seconds}s"),
        (0, minutes, 0) => format!("{minutes}m"),
        (0, minutes, seconds) => format!("{minutes}m {seconds}s"),
        (hours, 0, _) => format!("{hours}h"),
        (hours, minutes, _) => format!("{hours}h {minutes}m"),
    }
}
