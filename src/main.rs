//! The `sequoiagw` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    sequoiagw_cli::run()
}
