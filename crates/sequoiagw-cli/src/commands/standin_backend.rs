//! `sequoiagw standin backend`

use std::net::SocketAddr;
use std::time::Duration;

use clap::value_parser;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use eyre::WrapErr;
use sequoiagw_node::BackendAnnouncement;
use sequoiagw_standin::BackendHttp;
use sequoiagw_standin::BackendModel;
use sequoiagw_standin::BackendPlan;
use sequoiagw_standin::RunLog;

use crate::cli_command::CliCommand;
use crate::cli_error::CliError;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "backend",
    build,
    run,
};

/// Interval between two announcements to the node.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);

fn build() -> Command {
    let option = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    Command::new(COMMAND.name)
        .about("Run a stand-in backend server that announces itself to a node")
        .after_help(
            "Example: sequoiagw standin backend --service press --address 127.0.0.1:8101 \
             --node http://127.0.0.1:7079",
        )
        .arg(option("service", "Service that it serves").required(true))
        .arg(
            option("address", "Address to listen on for requests")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(option("node", "Administration API of its node").required(true))
        .arg(
            option("slots", "Number of requests that run at the same time")
                .default_value("12")
                .value_parser(value_parser!(u32)),
        )
        .arg(
            option("service-ms", "Mean service time in milliseconds")
                .default_value("20")
                .value_parser(value_parser!(u64)),
        )
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let string_arg = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let address = matches
        .get_one::<SocketAddr>("address")
        .copied()
        .ok_or_else(|| CliError::Invalid("no address is given".to_owned()))?;
    let slots = matches.get_one::<u32>("slots").copied().unwrap_or(12);
    let service_ms = matches.get_one::<u64>("service-ms").copied().unwrap_or(20);
    let plan = BackendPlan {
        slots,
        service_time: Duration::from_millis(service_ms),
        ..BackendPlan::default()
    };
    BackendHttp::spawn(address, move || {
        BackendModel::new(plan, 1, RunLog::default())
    })
    .wrap_err_with(|| format!("{address} can't be bound; is it in use?"))?;
    let announcement = BackendAnnouncement {
        service: string_arg("service"),
        address: address.to_string(),
        slots,
    };
    eprintln!(
        "stand-in backend server of {} at {address}; stop it with Ctrl-C",
        announcement.service
    );
    announce_forever(&format!("{}/v1/backend", string_arg("node")), &announcement)
}

/// Announces the backend server to its node periodically, and never returns. Failures before the
/// first success aren't printed, since the node may still be starting.
fn announce_forever(url: &str, announcement: &BackendAnnouncement) -> Result<(), CliError> {
    let mut announced = false;
    loop {
        match ureq::put(url).send_json(announcement) {
            Ok(_) => announced = true,
            Err(error) if announced => eprintln!("announcement failed: {error}"),
            Err(_) => {}
        }
        std::thread::sleep(ANNOUNCEMENT_INTERVAL);
    }
}
