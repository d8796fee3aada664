//! Measured figures and their targets.

use std::fmt;

/// What a figure should be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Target {
    /// At most this.
    AtMost(f64),
    /// At least this.
    AtLeast(f64),
    /// Shown beside others; there is no target.
    None,
}

/// One measured figure.
#[derive(Debug, Clone, PartialEq)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// Value.
    pub value: f64,
    /// Unit.
    pub unit: &'static str,
    /// What it should be.
    pub target: Target,
}

impl Figure {
    /// Makes a figure.
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str, target: Target) -> Self {
        Self {
            name: name.into(),
            value,
            unit,
            target,
        }
    }

    /// Whether the target is met; a value that is no number meets none.
    pub fn is_ok(&self) -> bool {
        match self.target {
            Target::AtMost(most) => self.value <= most,
            Target::AtLeast(least) => self.value >= least,
            Target::None => true,
        }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = match (self.target, self.is_ok()) {
            (Target::None, _) => "shown",
            (_, true) => "ok",
            (_, false) => "short",
        };
        let target = match self.target {
            Target::AtMost(most) => format!("<= {most:.3}"),
            Target::AtLeast(least) => format!(">= {least:.3}"),
            Target::None => "-".to_owned(),
        };
        write!(
            out,
            "{:<58} {:>12.3} {:<12} {:<14} {verdict}",
            self.name, self.value, self.unit, target
        )
    }
}
