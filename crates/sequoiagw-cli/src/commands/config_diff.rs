//! `sequoiagw config diff`

use clap::ArgMatches;
use clap::Command;
use sequoiagw_config::SettingTree;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::command_entry::CommandEntry;
use crate::commands::config_apply::file_arg;
use crate::commands::config_apply::read_config_file;
use crate::output_format::print_json;
use crate::output_format::table_with;
use crate::output_format::OutputFormat;

pub(crate) const ENTRY: CommandEntry = CommandEntry {
    name: "diff",
    build,
    run,
};

fn build() -> Command {
    Command::new(ENTRY.name)
        .about("Print what a configuration file would change")
        .after_help("Example: sequoiagw config diff mesh.toml")
        .arg(file_arg())
        .arg(AdminClient::arg())
        .arg(OutputFormat::arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let (_, config) = read_config_file(matches)?;
    let current = AdminClient::of(matches).config()?;
    let before = SettingTree::from_config(&current.config);
    let changes = before.changes_to(&SettingTree::from_config(&config));
    if OutputFormat::of(matches) == OutputFormat::Json {
        print_json(&changes);
        return Ok(());
    }
    let mut table = table_with(&["setting", "before", "after"]);
    for change in &changes {
        let text = |value: Option<&serde_json::Value>| {
            value.map_or_else(|| "-".to_owned(), ToString::to_string)
        };
        table.add_row([
            change.path.clone(),
            text(before.get(&change.path)),
            text(change.value.as_ref()),
        ]);
    }
    println!("{} changes from version {}", changes.len(), current.version);
    if !changes.is_empty() {
        println!("{table}");
    }
    Ok(())
}
