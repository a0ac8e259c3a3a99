//! The command line: each command is a file under `commands` with its description,
//! arguments and examples beside its run function.

mod admin_client;
mod cli_command;
mod cli_error;
mod commands;
mod demo_run;
mod output_format;
mod program;

pub use program::run;
