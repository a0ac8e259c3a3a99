//! Argument parsing and dispatch to the commands.

use std::process::ExitCode;

use clap::ArgMatches;
use clap::Command;

use crate::cli_command::CliCommand;
use crate::cli_error::CliError;
use crate::commands::COMMAND_GROUPS;

/// Parses the process's arguments, runs the command and returns its exit code. Errors are printed
/// to standard error.
pub fn run() -> ExitCode {
    let matches = root_command().get_matches();
    match dispatch(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Builds the clap definition of the whole command line.
pub(crate) fn root_command() -> Command {
    let mut program = Command::new("sequoiagw")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Configuration distribution for a service mesh")
        .after_help(
            "Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 invalid input, 4 conflict, \
             5 store unavailable, 6 not in force everywhere, 7 node unreachable",
        )
        .subcommand_required(true)
        .arg_required_else_help(true);
    for group in COMMAND_GROUPS {
        if group.name.is_empty() {
            program = program.subcommands(group.commands.iter().map(|command| (command.build)()));
            continue;
        }
        let command = Command::new(group.name)
            .about(group.about)
            .subcommand_required(true)
            .arg_required_else_help(true)
            .subcommands(group.commands.iter().map(|command| (command.build)()));
        program = program.subcommand(command);
    }
    program
}

fn dispatch(matches: &ArgMatches) -> Result<(), CliError> {
    let Some((name, subcommand_matches)) = matches.subcommand() else {
        return Ok(());
    };
    for group in COMMAND_GROUPS {
        if group.name.is_empty() {
            if let Some(command) = find_command(group.commands, name) {
                return (command.run)(subcommand_matches);
            }
        } else if group.name == name {
            let Some((name, subcommand_matches)) = subcommand_matches.subcommand() else {
                return Ok(());
            };
            if let Some(command) = find_command(group.commands, name) {
                return (command.run)(subcommand_matches);
            }
        }
    }
    Ok(())
}

fn find_command(commands: &'static [CliCommand], name: &str) -> Option<&'static CliCommand> {
    commands.iter().find(|command| command.name == name)
}
