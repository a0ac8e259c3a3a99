//! `sequoiagw exception remove`

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use crate::admin_client::AdminClient;
use crate::cli_command::CliCommand;
use crate::cli_error::CliError;
use crate::commands::config_apply::message_arg;
use crate::commands::config_apply::submit_change;
use crate::commands::config_apply::wait_args;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "remove",
    build,
    run,
};

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Remove an exception, so that the default is in force again")
        .after_help("Example: sequoiagw exception remove slow-press --wait")
        .arg(Arg::new("name").value_name("NAME").required(true))
        .arg(message_arg())
        .args(wait_args())
        .arg(AdminClient::arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let client = AdminClient::from_matches(matches);
    let current = client.config()?;
    let name = matches
        .get_one::<String>("name")
        .cloned()
        .unwrap_or_default();
    let mut config = current.config;
    if config.exceptions.remove(&name).is_none() {
        return Err(CliError::Invalid(format!(
            "there is no exception named \"{name}\""
        )));
    }
    let source = config
        .to_toml()
        .map_err(|error| CliError::Invalid(error.to_string()))?;
    submit_change(&client, matches, &source, current.version)
}
