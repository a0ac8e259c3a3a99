//! `sequoiagw config diff`

use clap::ArgMatches;
use clap::Command;
use sequoiagw_config::SettingTree;

use crate::admin_client::AdminClient;
use crate::cli_command::CliCommand;
use crate::cli_error::CliError;
use crate::commands::config_apply::config_file_arg;
use crate::commands::config_apply::read_config_file;
use crate::output_format::new_table;
use crate::output_format::print_json;
use crate::output_format::OutputFormat;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "diff",
    build,
    run,
};

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Print what a configuration file would change")
        .after_help("Example: sequoiagw config diff mesh.toml")
        .arg(config_file_arg())
        .arg(AdminClient::arg())
        .arg(OutputFormat::arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let (_, config) = read_config_file(matches)?;
    let current = AdminClient::from_matches(matches).config()?;
    let before = SettingTree::from_config(&current.config);
    let changes = before.changes_to(&SettingTree::from_config(&config));
    if OutputFormat::from_matches(matches) == OutputFormat::Json {
        print_json(&changes);
        return Ok(());
    }
    let mut table = new_table(&["setting", "before", "after"]);
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
