//! Output formats: tables for people and JSON for programs.

use clap::Arg;
use clap::ArgMatches;
use comfy_table::presets::NOTHING;
use comfy_table::Table;

/// Format in which a command prints its result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OutputFormat {
    /// Table with a header.
    Table,
    /// Indented JSON.
    Json,
}

impl OutputFormat {
    /// Defines the `--format` flag.
    pub(crate) fn arg() -> Arg {
        Arg::new("format")
            .long("format")
            .value_parser(["table", "json"])
            .default_value("table")
            .help("Output format: a table for people or JSON for programs")
    }

    /// Reads the `--format` flag.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        match matches.get_one::<String>("format").map(String::as_str) {
            Some("json") => Self::Json,
            _ => Self::Table,
        }
    }
}

/// Builds an empty table without borders; the header is printed in capitals.
pub(crate) fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header(header.iter().map(|name| name.to_uppercase()));
    table
}

/// Prints a value to standard output as indented JSON.
pub(crate) fn print_json<Value>(value: &Value)
where
    Value: serde::Serialize,
{
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}
