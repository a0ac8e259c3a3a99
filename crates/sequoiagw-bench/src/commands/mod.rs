//! All measurements.

mod converge;
mod drain;
mod faults;
mod flood;
mod footprint;
mod path;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

/// One measurement.
pub(crate) struct BenchCommand {
    /// Name.
    pub(crate) name: &'static str,
    /// Builds its arguments.
    pub(crate) build: fn() -> Command,
    /// Runs it.
    pub(crate) run: fn(&ArgMatches) -> eyre::Result<()>,
}

/// All measurements.
pub(crate) const COMMANDS: &[BenchCommand] = &[
    path::COMMAND,
    flood::COMMAND,
    faults::COMMAND,
    drain::COMMAND,
    converge::COMMAND,
    footprint::COMMAND,
];

/// The argument for the seed.
pub(crate) fn seed_arg() -> Arg {
    Arg::new("seed")
        .long("seed")
        .default_value("1")
        .value_parser(clap::value_parser!(u64))
}

/// Reads a number argument.
pub(crate) fn u64_arg(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(0)
}
