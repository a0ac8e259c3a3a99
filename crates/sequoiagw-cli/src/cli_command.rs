//! A command and how it is run.

use clap::ArgMatches;
use clap::Command;

use crate::cli_error::CliError;

/// One command.
#[derive(Clone, Copy)]
pub(crate) struct CliCommand {
    /// Name.
    pub(crate) name: &'static str,
    /// Builds its arguments.
    pub(crate) build: fn() -> Command,
    /// Runs it.
    pub(crate) run: fn(&ArgMatches) -> Result<(), CliError>,
}

/// A group of commands, such as `config`.
#[derive(Clone, Copy)]
pub(crate) struct CommandGroup {
    /// Name; empty for the top level.
    pub(crate) name: &'static str,
    /// What the group is about.
    pub(crate) about: &'static str,
    /// Its commands.
    pub(crate) commands: &'static [CliCommand],
}
