//! `sequoiagw exception list`

use clap::ArgMatches;
use clap::Command;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::command_entry::CommandEntry;
use crate::output_format::print_json;
use crate::output_format::table_with;
use crate::output_format::OutputFormat;

pub(crate) const ENTRY: CommandEntry = CommandEntry {
    name: "list",
    build,
    run,
};

fn build() -> Command {
    Command::new(ENTRY.name)
        .about("Print the exceptions with their reasons")
        .after_help("Example: sequoiagw exception list")
        .arg(AdminClient::arg())
        .arg(OutputFormat::arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let current = AdminClient::of(matches).config()?;
    if OutputFormat::of(matches) == OutputFormat::Json {
        print_json(&current.config.exceptions);
        return Ok(());
    }
    let mut table = table_with(&["name", "setting", "value", "scope", "expires", "reason"]);
    for (name, exception) in &current.config.exceptions {
        table.add_row([
            name.clone(),
            exception.setting.to_string(),
            exception.value.to_string(),
            exception.scope.to_string(),
            exception
                .expires
                .clone()
                .unwrap_or_else(|| "never".to_owned()),
            exception.reason.clone(),
        ]);
    }
    println!("{table}");
    Ok(())
}
