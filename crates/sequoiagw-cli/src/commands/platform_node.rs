//! `sequoiagw platform-node`

use clap::ArgMatches;
use clap::Command;
use sequoiagw_platform::run_platform_node;

use crate::cli_error::CliError;
use crate::command_entry::CommandEntry;
use crate::log_setup::start_logs;

pub(crate) const ENTRY: CommandEntry = CommandEntry {
    name: "platform-node",
    build,
    run,
};

fn build() -> Command {
    Command::new(ENTRY.name)
        .about("Run a node on the users' platform, with the settings that it provides")
        .after_help("The platform names the settings file in the environment.")
}

fn run(_matches: &ArgMatches) -> Result<(), CliError> {
    start_logs("info");
    Ok(run_platform_node()?)
}
