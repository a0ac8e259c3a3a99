//! `sequoiagw config apply`

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use clap::value_parser;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use rand::Rng;
use sequoiagw_config::MeshConfig;

use crate::admin_client::AdminClient;
use crate::admin_client::ChangeRequest;
use crate::cli_command::CliCommand;
use crate::cli_error::CliError;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "apply",
    build,
    run,
};

/// Interval at which the fleet's status is polled while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Submit a configuration to be accepted as the next version")
        .after_help(
            "Example: sequoiagw config apply mesh.toml --message \"faster lookups\" --wait\n\
             The token for changes is read from SEQUOIAGW_TOKEN.",
        )
        .arg(config_file_arg())
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("Version the file was made from [default: the newest]"),
        )
        .arg(
            Arg::new("change-id")
                .long("change-id")
                .value_name("ID")
                .help("Id of an unconfirmed change that is applied again"),
        )
        .arg(message_arg())
        .args(wait_args())
        .arg(AdminClient::arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let (source, _) = read_config_file(matches)?;
    let client = AdminClient::from_matches(matches);
    let base_version = match matches.get_one::<u64>("base") {
        Some(base) => *base,
        None => client.config()?.version,
    };
    submit_change(&client, matches, &source, base_version)
}

/// Defines the argument for a configuration file.
pub(crate) fn config_file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

/// Defines the `--message` flag, the reason for a change.
pub(crate) fn message_arg() -> Arg {
    Arg::new("message")
        .long("message")
        .value_name("TEXT")
        .default_value("")
        .help("Why")
}

/// Defines the flags `--wait` and `--wait-seconds`.
pub(crate) fn wait_args() -> [Arg; 2] {
    [
        Arg::new("wait")
            .long("wait")
            .action(ArgAction::SetTrue)
            .help("Wait until the change is in force at every node"),
        Arg::new("wait-seconds")
            .long("wait-seconds")
            .value_parser(value_parser!(u64).range(1..=3600))
            .default_value("30")
            .help("Seconds to wait before the command fails"),
    ]
}

/// Reads and validates the configuration file, and returns its text and the parsed configuration.
///
/// Errors: the file is unreadable or the configuration is invalid.
pub(crate) fn read_config_file(matches: &ArgMatches) -> Result<(String, MeshConfig), CliError> {
    let file = matches
        .get_one::<PathBuf>("file")
        .cloned()
        .unwrap_or_default();
    let source = std::fs::read_to_string(&file)
        .map_err(|error| CliError::Invalid(format!("{}: {error}", file.display())))?;
    let config = MeshConfig::from_toml(&source)
        .map_err(|error| CliError::Invalid(format!("{}: {error}", file.display())))?;
    Ok((source, config))
}

/// Submits a change and prints its version. With `--wait`, also waits until it is in force at
/// every node.
///
/// Errors: as [`AdminClient::apply`], or the change isn't in force in time.
pub(crate) fn submit_change(
    client: &AdminClient,
    matches: &ArgMatches,
    source: &str,
    base_version: u64,
) -> Result<(), CliError> {
    let generated_id = format!("{:032x}", rand::rng().random::<u128>());
    let requested_id = matches.try_get_one::<String>("change-id").ok().flatten();
    let change_id = requested_id.unwrap_or(&generated_id);
    let message = matches
        .get_one::<String>("message")
        .map_or("", String::as_str);
    let change = ChangeRequest {
        source,
        base_version,
        change_id,
        message,
    };
    let version = client.apply(&change)?;
    println!("accepted as version {version}");
    if matches.get_flag("wait") {
        let seconds = matches
            .get_one::<u64>("wait-seconds")
            .copied()
            .unwrap_or(30);
        wait_until_active(client, version, Duration::from_secs(seconds))?;
    }
    Ok(())
}

/// Polls the fleet until `version` is in force at every node, and prints the progress to standard
/// error.
///
/// Errors: the node is unreachable, or a node is still behind after `timeout`.
fn wait_until_active(
    client: &AdminClient,
    version: u64,
    timeout: Duration,
) -> Result<(), CliError> {
    let started = Instant::now();
    loop {
        let fleet = client.fleet()?;
        let total: usize = fleet
            .data_centres
            .values()
            .map(|data_centre| data_centre.versions.len())
            .sum();
        let behind = fleet.nodes_behind(version);
        eprintln!("in force at {} of {total} nodes", total - behind.len());
        if behind.is_empty() && total > 0 {
            println!(
                "in force everywhere after {:.1} s",
                started.elapsed().as_secs_f64()
            );
            return Ok(());
        }
        if started.elapsed() >= timeout {
            return Err(CliError::ActivationTimeout {
                version,
                behind: behind.join(", "),
            });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
