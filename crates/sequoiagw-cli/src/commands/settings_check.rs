//! `sequoiagw settings check`

use std::path::PathBuf;

use clap::value_parser;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use sequoiagw_node::NodeSettings;

use crate::cli_command::CliCommand;
use crate::cli_error::CliError;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "check",
    build,
    run,
};

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Check a node's settings without running it")
        .after_help("Example: sequoiagw settings check samples/node-a.toml")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let file = matches
        .get_one::<PathBuf>("file")
        .cloned()
        .unwrap_or_default();
    let settings =
        NodeSettings::from_file(&file).map_err(|error| CliError::Invalid(error.to_string()))?;
    println!(
        "{}: settings of {} in {} are valid",
        file.display(),
        settings.name,
        settings.data_centre
    );
    Ok(())
}
