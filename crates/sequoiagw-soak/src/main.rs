//! The `sequoiagw-soak` program.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::value_parser;
use clap::Arg;
use clap::Command;
use sequoiagw_soak::run_soak;
use sequoiagw_soak::SoakOptions;
use tokio::task::LocalSet;

fn arguments() -> Command {
    Command::new("sequoiagw-soak")
        .about("Run real nodes under random faults and check the system's guarantees")
        .after_help(
            "Example: cargo run --release -p sequoiagw-soak -- --seed 7 --seconds 60\n\
             Exits with code 1 if a guarantee was violated.",
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Seed of the fault schedule"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64))
                .default_value("30")
                .help("Time for which faults are injected, in seconds"),
        )
        .arg(
            Arg::new("nodes")
                .long("nodes")
                .value_parser(parse_node_count)
                .default_value("6")
                .help("Number of nodes, each a process, from 4 to 200"),
        )
        .arg(
            Arg::new("program")
                .long("program")
                .value_parser(value_parser!(PathBuf))
                .default_value("target/release/sequoiagw")
                .help("Path of the node program under test"),
        )
}

/// Parses the number of nodes.
fn parse_node_count(argument: &str) -> Result<usize, String> {
    let count: usize = argument.parse().map_err(|error| format!("{error}"))?;
    if (4..=200).contains(&count) {
        Ok(count)
    } else {
        Err("the number of nodes must be between 4 and 200".to_owned())
    }
}

fn main() -> ExitCode {
    let matches = arguments().get_matches();
    let options = SoakOptions {
        seed: matches.get_one::<u64>("seed").copied().unwrap_or(1),
        seconds: matches.get_one::<u64>("seconds").copied().unwrap_or(30),
        nodes: matches.get_one::<usize>("nodes").copied().unwrap_or(6),
        program: matches
            .get_one::<PathBuf>("program")
            .cloned()
            .unwrap_or_default(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        eprintln!("error: cannot build the async runtime");
        return ExitCode::FAILURE;
    };
    match LocalSet::new().block_on(&runtime, run_soak(options)) {
        Ok(report) => {
            println!("{report}");
            ExitCode::from(u8::from(report.has_violations()))
        }
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
