//! `sequoiagw completions`

use clap::value_parser;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap_complete::generate;
use clap_complete::Shell;

use crate::cli_command::CliCommand;
use crate::cli_error::CliError;
use crate::program::root_command;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "completions",
    build,
    run,
};

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Print the completion script for a shell")
        .after_help("Example: sequoiagw completions bash > sequoiagw.bash")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let shell = matches
        .get_one::<Shell>("shell")
        .ok_or_else(|| CliError::Invalid("no shell is given".to_owned()))?;
    generate(
        *shell,
        &mut root_command(),
        "sequoiagw",
        &mut std::io::stdout(),
    );
    Ok(())
}
