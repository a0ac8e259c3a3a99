//! `sequoiagw config check`

use clap::ArgMatches;
use clap::Command;

use crate::cli_error::CliError;
use crate::command_entry::CommandEntry;
use crate::commands::config_apply::file_arg;
use crate::commands::config_apply::read_config_file;

pub(crate) const ENTRY: CommandEntry = CommandEntry {
    name: "check",
    build,
    run,
};

fn build() -> Command {
    Command::new(ENTRY.name)
        .about("Check a configuration file without applying it")
        .after_help("Example: sequoiagw config check samples/mesh.toml")
        .arg(file_arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let (_, config) = read_config_file(matches)?;
    println!(
        "valid: {} services, {} routes, {} ranks, {} exceptions",
        config.services.len(),
        config.routes.len(),
        config.ranks.len(),
        config.exceptions.len()
    );
    Ok(())
}
