//! `sequoiagw config show`

use clap::ArgMatches;
use clap::Command;

use crate::admin_client::AdminClient;
use crate::cli_command::CliCommand;
use crate::cli_error::CliError;
use crate::output_format::print_json;
use crate::output_format::OutputFormat;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "show",
    build,
    run,
};

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Print the newest accepted configuration")
        .after_help("Example: sequoiagw config show > mesh.toml")
        .arg(AdminClient::arg())
        .arg(OutputFormat::arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let current = AdminClient::from_matches(matches).config()?;
    match OutputFormat::from_matches(matches) {
        OutputFormat::Json => print_json(&current.config),
        OutputFormat::Table => {
            println!("# version {}", current.version);
            print!("{}", current.source);
        }
    }
    Ok(())
}
