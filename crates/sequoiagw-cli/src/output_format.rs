//! Output: a table for people, JSON for programs.

use clap::Arg;
use clap::ArgMatches;
use comfy_table::presets::NOTHING;
use comfy_table::Table;

/// How results are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OutputFormat {
    /// A table.
    Table,
    /// JSON.
    Json,
}

impl OutputFormat {
    /// The argument that chooses the format.
    pub(crate) fn arg() -> Arg {
        Arg::new("format")
            .long("format")
            .value_parser(["table", "json"])
            .default_value("table")
            .help("Output for people or for programs")
    }

    /// Reads the argument.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        match matches.get_one::<String>("format").map(String::as_str) {
            Some("json") => Self::Json,
            _ => Self::Table,
        }
    }
}

/// Builds a table with a header.
pub(crate) fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header(header.iter().map(|name| name.to_uppercase()));
    table
}

/// Prints a value as JSON.
pub(crate) fn print_json<Value>(value: &Value)
where
    Value: serde::Serialize,
{
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}
