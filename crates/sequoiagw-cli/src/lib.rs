//! Command line of sequoiagw. Each command is a module under `commands` that holds its
//! description, arguments, examples and run function.

mod admin_client;
mod cli_command;
mod cli_error;
mod commands;
mod demo_run;
mod output_format;
mod program;

pub use program::run;
