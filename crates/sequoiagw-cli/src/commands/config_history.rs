//! `sequoiagw config history`

use clap::ArgMatches;
use clap::Command;

use crate::admin_client::AdminClient;
use crate::cli_command::CliCommand;
use crate::cli_error::CliError;
use crate::output_format::new_table;
use crate::output_format::print_json;
use crate::output_format::OutputFormat;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "history",
    build,
    run,
};

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Print the accepted changes, the newest first")
        .after_help("Example: sequoiagw config history --format json")
        .arg(AdminClient::arg())
        .arg(OutputFormat::arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let mut history = AdminClient::from_matches(matches).history()?;
    history.reverse();
    if OutputFormat::from_matches(matches) == OutputFormat::Json {
        print_json(&history);
        return Ok(());
    }
    let mut table = new_table(&["version", "author", "changed", "message", "change id"]);
    for accepted in &history {
        table.add_row([
            accepted.version.to_string(),
            accepted.author.clone(),
            accepted.changes.len().to_string(),
            accepted.message.clone(),
            accepted.change_id.clone(),
        ]);
    }
    println!("{table}");
    Ok(())
}
