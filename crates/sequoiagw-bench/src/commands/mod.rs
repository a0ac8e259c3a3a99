//! Commands of the benchmark program, one module each.

mod converge;
mod drain;
mod faults;
mod flood;
mod footprint;
mod path;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

/// Command that runs one benchmark.
pub(crate) struct BenchCommand {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// Builds the clap definition with arguments and help text.
    pub(crate) build: fn() -> Command,
    /// Runs the benchmark with the parsed arguments.
    pub(crate) run: fn(&ArgMatches) -> eyre::Result<()>,
}

/// All commands.
pub(crate) const COMMANDS: &[BenchCommand] = &[
    path::COMMAND,
    flood::COMMAND,
    faults::COMMAND,
    drain::COMMAND,
    converge::COMMAND,
    footprint::COMMAND,
];

/// Defines the `--seed` flag, the seed of the random numbers.
pub(crate) fn seed_arg() -> Arg {
    Arg::new("seed")
        .long("seed")
        .default_value("1")
        .value_parser(clap::value_parser!(u64))
}

/// Reads an unsigned integer argument, 0 if it is missing.
pub(crate) fn u64_arg(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(0)
}
