//! The last line of a measurement.

use std::fmt::Display;

/// A line of key=value pairs.
#[derive(Debug, Default)]
pub(crate) struct ReportLine {
    pairs: Vec<String>,
}

impl ReportLine {
    /// Adds a pair.
    #[must_use]
    pub(crate) fn with<Value>(mut self, key: &str, value: Value) -> Self
    where
        Value: Display,
    {
        self.pairs.push(format!("{key}={value}"));
        self
    }

    /// Adds a decimal number.
    #[must_use]
    pub(crate) fn number(self, key: &str, value: f64) -> Self {
        self.with(key, format!("{value:.3}"))
    }

    /// Prints the line.
    pub(crate) fn print(&self) {
        println!("{}", self.pairs.join(" "));
    }
}
