//! `sequoiagw exception list`

use std::time::SystemTime;

use clap::ArgMatches;
use clap::Command;
use sequoiagw_config::ConfigException;

use crate::admin_client::AdminClient;
use crate::cli_command::CliCommand;
use crate::cli_error::CliError;
use crate::output_format::new_table;
use crate::output_format::print_json;
use crate::output_format::OutputFormat;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "list",
    build,
    run,
};

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Print the exceptions with their reasons, and mark those that have expired")
        .after_help("Example: sequoiagw exception list")
        .arg(AdminClient::arg())
        .arg(OutputFormat::arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let current = AdminClient::from_matches(matches).config()?;
    if OutputFormat::from_matches(matches) == OutputFormat::Json {
        print_json(&current.config.exceptions);
        return Ok(());
    }
    let mut table = new_table(&["name", "setting", "value", "scope", "expires", "reason"]);
    let now = SystemTime::now();
    for (name, exception) in &current.config.exceptions {
        table.add_row([
            name.clone(),
            exception.setting.to_string(),
            exception.value.to_string(),
            exception.scope.to_string(),
            format_expiry(exception, now),
            exception.reason.clone(),
        ]);
    }
    println!("{table}");
    Ok(())
}

fn format_expiry(exception: &ConfigException, now: SystemTime) -> String {
    match &exception.expires {
        Some(expires) if exception.is_expired(now) => format!("{expires} (expired)"),
        Some(expires) => expires.clone(),
        None => "never".to_owned(),
    }
}
