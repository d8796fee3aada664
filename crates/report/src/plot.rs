//! Draws small plots over the day as inline SVG.

use plotters::coord::ranged1d::DefaultFormatting;
use plotters::coord::ranged1d::KeyPointHint;
use plotters::coord::ranged1d::Ranged;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

/// Width of a plot, in SVG units.
const WIDTH: u32 = 480;
/// Height of a plot, in SVG units.
const HEIGHT: u32 = 180;
/// Margin around a plot, in SVG units.
const MARGIN: u32 = 6;
/// Space for labels on the left, in SVG units; half of it below and on the right.
const LABEL_ROOM: u32 = 52;
/// Number of labels on the vertical axis.
const Y_LABELS: usize = 4;
/// Hours between two labels on the horizontal axis.
const LABEL_HOURS: f64 = 6.0;
/// Font of labels: readable even when the plot is scaled to the width of a phone.
const FONT: (&str, u32) = ("sans-serif", 18);
/// Background of a time span without data.
const UNSEEN_COLOUR: RGBColor = RGBColor(222, 222, 222);
/// Colours of lines; in black-and-white print, the order of the legend identifies them.
const LINE_COLOURS: [RGBColor; 8] = [
    RGBColor(0, 90, 160),
    RGBColor(200, 80, 0),
    RGBColor(0, 120, 70),
    RGBColor(150, 30, 110),
    RGBColor(110, 90, 0),
    RGBColor(60, 60, 60),
    RGBColor(20, 150, 170),
    RGBColor(150, 150, 150),
];

/// One line of a plot; a value is `None` where there is no data.
pub(crate) struct Line<'a> {
    pub(crate) values: &'a [Option<f64>],
}

/// A plot over the day.
pub(crate) struct Plot<'a> {
    /// Lines of the plot.
    pub(crate) lines: Vec<Line<'a>>,
    /// Number of steps in the day.
    pub(crate) steps: usize,
    /// Steps per hour.
    pub(crate) per_hour: f64,
    /// Minimum for the upper end of the vertical axis.
    pub(crate) min_top: f64,
    /// Time spans for which the data of some zone is missing.
    pub(crate) unseen: Vec<UnseenSpan>,
}

/// Time span for which the data of some zone is missing, in steps.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnseenSpan {
    pub(crate) first: f64,
    pub(crate) steps: f64,
}

/// Returns the colour of a line in CSS notation.
pub(crate) fn colour(line: usize) -> String {
    let RGBColor(red, green, blue) = LINE_COLOURS[line % LINE_COLOURS.len()];
    format!("rgb({red},{green},{blue})")
}

/// Draws a plot; `None` if the plotting library fails.
pub(crate) fn draw(plot: &Plot<'_>) -> Option<String> {
    let mut svg = String::new();
    draw_into(plot, &mut svg).ok()?;
    Some(svg)
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

fn draw_into(plot: &Plot<'_>, svg: &mut String) -> DrawResult {
    let root = SVGBackend::with_string(svg, (WIDTH, HEIGHT)).into_drawing_area();
    let top = highest(plot);
    let mut chart = ChartBuilder::on(&root)
        .margin(MARGIN)
        .margin_right(LABEL_ROOM / 2)
        .x_label_area_size(LABEL_ROOM / 2)
        .y_label_area_size(LABEL_ROOM)
        .build_cartesian_2d(DayAxis::new(plot), 0.0..top)?;
    let unseen = plot.unseen.iter().map(|unseen| {
        let end = unseen.first + unseen.steps;
        Rectangle::new([(unseen.first, 0.0), (end, top)], UNSEEN_COLOUR.filled())
    });
    chart.draw_series(unseen)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(TRANSPARENT)
        .label_style(FONT)
        .y_labels(Y_LABELS)
        .x_label_formatter(&|step| format!("{:.0}:00", step / plot.per_hour))
        .y_label_formatter(&|value| abbreviate(*value))
        .draw()?;
    for (index, line) in plot.lines.iter().enumerate() {
        let style = LINE_COLOURS[index % LINE_COLOURS.len()].stroke_width(2);
        for segment in segments(line.values) {
            chart.draw_series(LineSeries::new(segment, style))?;
        }
    }
    root.present()?;
    drop(chart);
    drop(root);
    Ok(())
}

/// Horizontal axis of the day, with a label every [`LABEL_HOURS`].
struct DayAxis {
    steps: RangedCoordf64,
    labels: Vec<f64>,
}

impl DayAxis {
    fn new(plot: &Plot<'_>) -> Self {
        let steps = plot.steps.max(1) as f64;
        let label_distance = LABEL_HOURS * plot.per_hour;
        let count = (steps / label_distance).floor() as usize;
        Self {
            steps: (0.0..steps).into(),
            labels: (0..=count)
                .map(|label| label as f64 * label_distance)
                .collect(),
        }
    }
}

impl Ranged for DayAxis {
    type FormatOption = DefaultFormatting;
    type ValueType = f64;

    fn map(&self, value: &f64, limit: (i32, i32)) -> i32 {
        self.steps.map(value, limit)
    }

    fn key_points<Hint: KeyPointHint>(&self, _hint: Hint) -> Vec<f64> {
        self.labels.clone()
    }

    fn range(&self) -> std::ops::Range<f64> {
        self.steps.range()
    }
}

fn highest(plot: &Plot<'_>) -> f64 {
    let values = plot
        .lines
        .iter()
        .flat_map(|line| line.values.iter().flatten());
    let highest = values.fold(plot.min_top, |highest, value| value.max(highest));
    // Leaves space above, so that the highest line is not clipped.
    highest * 1.05
}

/// Splits a line at missing values, so that no line is drawn across a gap.
fn segments(values: &[Option<f64>]) -> Vec<Vec<(f64, f64)>> {
    let mut segments: Vec<Vec<(f64, f64)>> = vec![Vec::new()];
    for (step, value) in values.iter().enumerate() {
        match value {
            // Each value is drawn over the full width of its step.
            Some(value) => {
                if let Some(segment) = segments.last_mut() {
                    segment.extend([(step as f64, *value), (step as f64 + 1.0, *value)]);
                }
            }
            None => segments.push(Vec::new()),
        }
    }
    segments.retain(|segment| !segment.is_empty());
    segments
}

/// Formats an axis label with a metric suffix.
fn abbreviate(value: f64) -> String {
    match value {
        value if value >= 1e9 => format!("{}G", value / 1e9),
        value if value >= 1e6 => format!("{}M", value / 1e6),
        value if value >= 1e3 => format!("{}k", value / 1e3),
        value if value >= 10.0 || value == 0.0 => format!("{value:.0}"),
        value => format!("{value:.1}"),
    }
}
