//! `sequoiagw config history`

use clap::ArgMatches;
use clap::Command;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::command_entry::CommandEntry;
use crate::output_format::print_json;
use crate::output_format::table_with;
use crate::output_format::OutputFormat;

pub(crate) const ENTRY: CommandEntry = CommandEntry {
    name: "history",
    build,
    run,
};

fn build() -> Command {
    Command::new(ENTRY.name)
        .about("Print the accepted changes, the newest first")
        .after_help("Example: sequoiagw config history --format json")
        .arg(AdminClient::arg())
        .arg(OutputFormat::arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let mut history = AdminClient::of(matches).history()?;
    history.reverse();
    if OutputFormat::of(matches) == OutputFormat::Json {
        print_json(&history);
        return Ok(());
    }
    let mut table = table_with(&["version", "author", "changed", "message", "change id"]);
    for entry in &history {
        table.add_row([
            entry.version.to_string(),
            entry.author.clone(),
            entry.changes.len().to_string(),
            entry.message.clone(),
            entry.change_id.clone(),
        ]);
    }
    println!("{table}");
    Ok(())
}
