//! Benchmarks of sequoiagw. Each command prints its results; its last line holds them as key=value
//! pairs.

mod bench_mesh;
mod commands;
mod fleet_setup;
mod naive_queue;
mod naive_watch;
mod path_caller;
mod paused_run;
mod process_usage;
mod report_line;

use clap::Command;

fn main() -> eyre::Result<()> {
    let program = Command::new("sequoiagw-bench")
        .about("Benchmarks of sequoiagw; the last line of each holds its results as key=value")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(commands::COMMANDS.iter().map(|command| (command.build)()));
    let matches = program.get_matches();
    let Some((name, command_matches)) = matches.subcommand() else {
        return Ok(());
    };
    let command = commands::COMMANDS
        .iter()
        .find(|command| command.name == name);
    command.map_or(Ok(()), |command| (command.run)(command_matches))
}
