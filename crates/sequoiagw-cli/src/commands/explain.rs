//! `sequoiagw explain`

use std::path::Path;
use std::path::PathBuf;

use clap::value_parser;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use sequoiagw_telemetry::LogLine;
use sequoiagw_telemetry::RequestTrace;

use crate::cli_command::CliCommand;
use crate::cli_error::CliError;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "explain",
    build,
    run,
};

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Print the history of a request from the logs of the nodes")
        .after_help(
            "A line may begin with its node's name; otherwise the file's name is used instead.\n\
             Example: sequoiagw explain 9c41d07be2a35f68 --logs node-a.log node-b.log",
        )
        .arg(Arg::new("request").required(true).help("Id of the request"))
        .arg(
            Arg::new("logs")
                .long("logs")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files, in any order"),
        )
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let request = matches.get_one::<String>("request");
    let request = request.map_or("", String::as_str);
    let mut lines = Vec::new();
    for file in matches.get_many::<PathBuf>("logs").into_iter().flatten() {
        lines.extend(read_log_lines(file)?);
    }
    let trace = RequestTrace::new(request, lines);
    if trace.is_empty() {
        return Err(CliError::Invalid(format!(
            "no log line mentions request {request}; of the requests that were served at once, \
             only one in 32 is logged"
        )));
    }
    print!("{trace}");
    Ok(())
}

fn read_log_lines(file: &Path) -> Result<Vec<LogLine>, CliError> {
    let text = std::fs::read(file)
        .map_err(|error| CliError::Invalid(format!("{} can't be read: {error}", file.display())))?;
    let name = file.file_stem().unwrap_or_default().to_string_lossy();
    let text = String::from_utf8_lossy(&text);
    Ok(text
        .lines()
        .filter_map(|line| LogLine::parse(line, &name))
        .collect())
}
