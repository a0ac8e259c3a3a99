//! `sequoiagw demo`

use clap::ArgMatches;
use clap::Command;
use sequoiagw_telemetry::start_logs;
use sequoiagw_telemetry::LogOutput;
use tokio::task::LocalSet;

use crate::cli_command::CliCommand;
use crate::cli_error::CliError;
use crate::demo_run::run_demo;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "demo",
    build,
    run,
};

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Run a small fleet in this process and test a change, a drain and an overload")
        .after_help("Example: sequoiagw demo\nThe exit code is 1 if a guarantee was violated.")
}

fn run(_matches: &ArgMatches) -> Result<(), CliError> {
    let _logs = start_logs("error", LogOutput::Stderr);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CliError::Other(error.into()))?;
    LocalSet::new().block_on(&runtime, run_demo())
}
