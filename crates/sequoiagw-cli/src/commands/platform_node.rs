//! `sequoiagw platform-node`

use std::net::SocketAddr;

use clap::value_parser;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use sequoiagw_platform::run_platform_node;
use sequoiagw_platform::NodeOptions;
use sequoiagw_telemetry::start_logs;
use sequoiagw_telemetry::LogOutput;

use crate::cli_command::CliCommand;
use crate::cli_error::CliError;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "platform-node",
    build,
    run,
};

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Run a node on the users' platform, with the settings that the platform provides")
        .after_help(
            "The platform sets the path of the settings file in SEQUOIAGW_CONFIG.\n\
             Example: sequoiagw platform-node --metrics-port 9464",
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .value_parser(value_parser!(u16))
                .help("Port on the node's own address at which /metrics is served"),
        )
        .arg(
            Arg::new("peer-listen")
                .long("peer-listen")
                .value_parser(value_parser!(SocketAddr))
                .help("Address to listen on for links, if other nodes are given another one"),
        )
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let logs = start_logs("info", LogOutput::Stdout);
    let options = NodeOptions {
        metrics_port: matches.get_one::<u16>("metrics-port").copied(),
        peer_listen: matches.get_one::<SocketAddr>("peer-listen").copied(),
        dropped_lines: Box::new(move || logs.dropped()),
    };
    Ok(run_platform_node(options)?)
}
