//! `sequoiagw exception remove`

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::command_entry::CommandEntry;
use crate::commands::config_apply::message_arg;
use crate::commands::config_apply::submit;
use crate::commands::config_apply::wait_args;

pub(crate) const ENTRY: CommandEntry = CommandEntry {
    name: "remove",
    build,
    run,
};

fn build() -> Command {
    Command::new(ENTRY.name)
        .about("Remove an exception, so that the default is in force again")
        .after_help("Example: sequoiagw exception remove slow-press --wait")
        .arg(Arg::new("name").value_name("NAME").required(true))
        .arg(message_arg())
        .args(wait_args())
        .arg(AdminClient::arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let client = AdminClient::of(matches);
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
    submit(&client, matches, &source, current.version)
}
