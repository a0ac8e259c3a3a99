//! `sequoiagw config show`

use clap::ArgMatches;
use clap::Command;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::command_entry::CommandEntry;
use crate::output_format::print_json;
use crate::output_format::OutputFormat;

pub(crate) const ENTRY: CommandEntry = CommandEntry {
    name: "show",
    build,
    run,
};

fn build() -> Command {
    Command::new(ENTRY.name)
        .about("Print the newest accepted configuration")
        .after_help("Example: sequoiagw config show > mesh.toml")
        .arg(AdminClient::arg())
        .arg(OutputFormat::arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let current = AdminClient::of(matches).config()?;
    match OutputFormat::of(matches) {
        OutputFormat::Json => print_json(&current.config),
        OutputFormat::Table => {
            println!("# version {}", current.version);
            print!("{}", current.source);
        }
    }
    Ok(())
}
