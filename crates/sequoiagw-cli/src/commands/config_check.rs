//! `sequoiagw config check`

use clap::ArgMatches;
use clap::Command;

use crate::cli_command::CliCommand;
use crate::cli_error::CliError;
use crate::commands::config_apply::config_file_arg;
use crate::commands::config_apply::read_config_file;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "check",
    build,
    run,
};

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Check a configuration file without applying it")
        .after_help("Example: sequoiagw config check samples/mesh.toml")
        .arg(config_file_arg())
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
