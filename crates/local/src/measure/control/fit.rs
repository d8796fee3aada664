//! Straight lines through points, by least squares.

use std::fmt;

/// A line, and how far the points lie from it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Line {
    /// Value at 0.
    pub(super) at_zero: f64,
    /// Growth for each unit.
    pub(super) slope: f64,
    /// Greatest distance of a point.
    pub(super) residual: f64,
}

impl Line {
    /// Fits a line; at least two different places are needed.
    pub(super) fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let common: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = common / spread;
        let at_zero = mean_y - slope * mean_x;
        let distance = |(x, y): &(f64, f64)| (y - at_zero - slope * x).abs();
        Self {
            at_zero,
            slope,
            residual: points.iter().map(distance).fold(0.0, f64::max),
        }
    }
}

impl fmt::Display for Line {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{:.4} + {:.4} each, residual {:.4}",
            self.at_zero, self.slope, self.residual
        )
    }
}
