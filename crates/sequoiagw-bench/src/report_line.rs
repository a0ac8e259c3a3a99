//! Last output line of a benchmark, which holds its results.

use std::fmt::Display;

/// Line of key=value pairs separated by spaces.
#[derive(Debug, Default)]
pub(crate) struct ReportLine {
    pairs: Vec<String>,
}

impl ReportLine {
    /// Adds a key and its value.
    #[must_use]
    pub(crate) fn with<Value>(mut self, key: &str, value: Value) -> Self
    where
        Value: Display,
    {
        self.pairs.push(format!("{key}={value}"));
        self
    }

    /// Adds a number, printed with three decimal places.
    #[must_use]
    pub(crate) fn number(self, key: &str, value: f64) -> Self {
        self.with(key, format!("{value:.3}"))
    }

    /// Prints the line to standard output.
    pub(crate) fn print(&self) {
        println!("{}", self.pairs.join(" "));
    }
}
