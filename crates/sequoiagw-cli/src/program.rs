//! The program: argument parsing and dispatch to commands.

use std::process::ExitCode;

use clap::ArgMatches;
use clap::Command;

use crate::cli_error::CliError;
use crate::command_entry::CommandEntry;
use crate::commands::GROUPS;

/// Runs the program with the process's arguments.
pub fn run() -> ExitCode {
    let matches = program().get_matches();
    match dispatch(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// All commands with their arguments.
pub(crate) fn program() -> Command {
    let mut program = Command::new("sequoiagw")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Configuration distribution for a service mesh")
        .after_help(
            "Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 invalid input, 4 conflict, \
             5 store out, 6 not in force everywhere, 7 node unreachable",
        )
        .subcommand_required(true)
        .arg_required_else_help(true);
    for group in GROUPS {
        if group.name.is_empty() {
            program = program.subcommands(group.entries.iter().map(|entry| (entry.build)()));
            continue;
        }
        let command = Command::new(group.name)
            .about(group.about)
            .subcommand_required(true)
            .arg_required_else_help(true)
            .subcommands(group.entries.iter().map(|entry| (entry.build)()));
        program = program.subcommand(command);
    }
    program
}

fn dispatch(matches: &ArgMatches) -> Result<(), CliError> {
    let Some((name, inner)) = matches.subcommand() else {
        return Ok(());
    };
    for group in GROUPS {
        if group.name.is_empty() {
            if let Some(entry) = find(group.entries, name) {
                return (entry.run)(inner);
            }
        } else if group.name == name {
            let Some((name, inner)) = inner.subcommand() else {
                return Ok(());
            };
            if let Some(entry) = find(group.entries, name) {
                return (entry.run)(inner);
            }
        }
    }
    Ok(())
}

fn find(entries: &'static [CommandEntry], name: &str) -> Option<&'static CommandEntry> {
    entries.iter().find(|entry| entry.name == name)
}
