//! `sequoiagw node`

use std::path::PathBuf;

use clap::value_parser;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use sequoiagw_node::run_node;
use sequoiagw_node::NodeSettings;
use sequoiagw_telemetry::start_logs;
use sequoiagw_telemetry::LogOutput;

use crate::cli_command::CliCommand;
use crate::cli_error::CliError;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "node",
    build,
    run,
};

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Run a node until it is stopped by a signal or a drain request")
        .after_help("Example: sequoiagw node --settings samples/node-a.toml")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file of the node"),
        )
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let file = matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default();
    let settings =
        NodeSettings::from_file(&file).map_err(|error| CliError::Invalid(error.to_string()))?;
    let _logs = start_logs(&settings.log_level, LogOutput::Stdout);
    Ok(run_node(settings)?)
}
