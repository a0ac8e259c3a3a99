//! Definition of a command and of a group of commands.

use clap::ArgMatches;
use clap::Command;

use crate::cli_error::CliError;

/// Command of the command line.
#[derive(Clone, Copy)]
pub(crate) struct CliCommand {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// Builds the clap definition with arguments and help text.
    pub(crate) build: fn() -> Command,
    /// Runs the command with the parsed arguments.
    pub(crate) run: fn(&ArgMatches) -> Result<(), CliError>,
}

/// Group of commands under a common name, such as `config`.
#[derive(Clone, Copy)]
pub(crate) struct CommandGroup {
    /// Name on the command line; empty for the top level.
    pub(crate) name: &'static str,
    /// Description in the help text.
    pub(crate) about: &'static str,
    /// Commands of the group.
    pub(crate) commands: &'static [CliCommand],
}
