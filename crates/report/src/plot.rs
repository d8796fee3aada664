//! Small plots over the day, as inline SVG.

use plotters::prelude::*;

/// Width of a plot, in pixels of its own coordinates.
const WIDTH: u32 = 640;
/// Height of a plot, in pixels of its own coordinates.
const HEIGHT: u32 = 170;
/// Room for labels on the left and below.
const LABELS: u32 = 46;
/// Labels along an axis.
const TICKS: usize = 5;
/// Grey of a time that was not seen.
const HIDDEN: RGBColor = RGBColor(222, 222, 222);
/// Colours of lines, told apart on paper too by their order in the legend.
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 90, 160),
    RGBColor(200, 80, 0),
    RGBColor(0, 120, 70),
    RGBColor(150, 30, 110),
    RGBColor(110, 90, 0),
    RGBColor(60, 60, 60),
    RGBColor(20, 150, 170),
    RGBColor(150, 150, 150),
];

/// One line of a plot; a value is absent where nothing was seen.
pub(crate) struct Line<'a> {
    pub(crate) values: &'a [Option<f64>],
}

/// A plot over the day.
pub(crate) struct Plot<'a> {
    /// Its lines.
    pub(crate) lines: Vec<Line<'a>>,
    /// Steps of the whole day.
    pub(crate) steps: usize,
    /// Steps in an hour.
    pub(crate) per_hour: f64,
    /// Highest value that the axis shows at least.
    pub(crate) least: f64,
    /// First step and number of steps of each time that was not wholly seen.
    pub(crate) hidden: Vec<Hidden>,
}

/// A time that was not wholly seen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Hidden {
    pub(crate) first: f64,
    pub(crate) steps: f64,
}

/// Returns the colour of a line, as CSS writes it.
pub(crate) fn colour(line: usize) -> String {
    let RGBColor(red, green, blue) = COLOURS[line % COLOURS.len()];
    format!("rgb({red},{green},{blue})")
}

/// Draws a plot; nothing if the library cannot.
pub(crate) fn draw(plot: &Plot<'_>) -> Option<String> {
    let mut svg = String::new();
    draw_into(plot, &mut svg).ok()?;
    Some(svg)
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

fn draw_into(plot: &Plot<'_>, svg: &mut String) -> Drawn {
    let root = SVGBackend::with_string(svg, (WIDTH, HEIGHT)).into_drawing_area();
    let steps = plot.steps.max(1) as f64;
    let top = highest(plot);
    let mut chart = ChartBuilder::on(&root)
        .margin(6)
        .x_label_area_size(LABELS / 2)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..steps, 0.0..top)?;
    let hidden = plot.hidden.iter().map(|hidden| {
        let end = hidden.first + hidden.steps;
        Rectangle::new([(hidden.first, 0.0), (end, top)], HIDDEN.filled())
    });
    chart.draw_series(hidden)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(TRANSPARENT)
        .x_labels(TICKS)
        .y_labels(TICKS)
        .x_label_formatter(&|step| format!("{:.0}:00", step / plot.per_hour))
        .y_label_formatter(&|value| short(*value))
        .draw()?;
    for (index, line) in plot.lines.iter().enumerate() {
        let style = COLOURS[index % COLOURS.len()].stroke_width(2);
        for run in runs(line.values) {
            chart.draw_series(LineSeries::new(run, style))?;
        }
    }
    root.present()?;
    drop(chart);
    drop(root);
    Ok(())
}

fn highest(plot: &Plot<'_>) -> f64 {
    let values = plot
        .lines
        .iter()
        .flat_map(|line| line.values.iter().flatten());
    let highest = values.fold(plot.least, |highest, value| value.max(highest));
    // A little room above, so that the highest line is not cut.
    highest * 1.05
}

/// Splits a line where values are absent, so that no line is drawn through a gap.
fn runs(values: &[Option<f64>]) -> Vec<Vec<(f64, f64)>> {
    let mut runs: Vec<Vec<(f64, f64)>> = vec![Vec::new()];
    for (step, value) in values.iter().enumerate() {
        match value {
            // Each value is drawn over the whole of its step.
            Some(value) => {
                if let Some(run) = runs.last_mut() {
                    run.extend([(step as f64, *value), (step as f64 + 1.0, *value)]);
                }
            }
            None => runs.push(Vec::new()),
        }
    }
    runs.retain(|run| !run.is_empty());
    runs
}

/// Writes an axis label short.
fn short(value: f64) -> String {
    match value {
        value if value >= 1e9 => format!("{:.1}G", value / 1e9),
        value if value >= 1e6 => format!("{:.1}M", value / 1e6),
        value if value >= 1e4 => format!("{:.0}k", value / 1e3),
        value if value >= 10.0 || value == 0.0 => format!("{value:.0}"),
        value => format!("{value:.1}"),
    }
}
