//! Formats the results of a bench, each with its target.

use std::fmt;

/// How a value is compared with its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Bound {
    /// The value must not be above the target.
    AtMost,
    /// The value must not be below the target.
    AtLeast,
}

/// A measured value and its target.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Dotted name, unique within the bench.
    pub name: String,
    /// The measured value.
    pub value: f64,
    /// The unit, such as `ms` or `ratio`.
    pub unit: &'static str,
    /// How the value is compared with the target.
    pub bound: Bound,
    /// The target, in the same unit as the value.
    pub target: f64,
}

impl Figure {
    /// Creates a figure whose value must be at most `target`.
    pub fn at_most(name: impl Into<String>, value: f64, unit: &'static str, target: f64) -> Self {
        Self::new(name, value, unit, Bound::AtMost, target)
    }

    /// Creates a figure whose value must be at least `target`.
    pub fn at_least(name: impl Into<String>, value: f64, unit: &'static str, target: f64) -> Self {
        Self::new(name, value, unit, Bound::AtLeast, target)
    }

    fn new(
        name: impl Into<String>,
        value: f64,
        unit: &'static str,
        bound: Bound,
        target: f64,
    ) -> Self {
        Self {
            name: name.into(),
            value,
            unit,
            bound,
            target,
        }
    }

    /// Returns whether the value meets its target.
    pub fn is_met(&self) -> bool {
        match self.bound {
            Bound::AtMost => self.value <= self.target,
            Bound::AtLeast => self.value >= self.target,
        }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let op = match self.bound {
            Bound::AtMost => "<=",
            Bound::AtLeast => ">=",
        };
        let verdict = if self.is_met() { "met" } else { "missed" };
        write!(
            f,
            "figure {} {:.4} {} target {op} {} {verdict}",
            self.name, self.value, self.unit, self.target
        )
    }
}
