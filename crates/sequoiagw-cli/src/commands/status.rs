//! `sequoiagw status`

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use clap::ArgMatches;
use clap::Command;
use sequoiagw_node::FleetStatus;
use sequoiagw_node::NodeStatus;

use crate::admin_client::AdminClient;
use crate::cli_command::CliCommand;
use crate::cli_error::CliError;
use crate::output_format::new_table;
use crate::output_format::print_json;
use crate::output_format::OutputFormat;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "status",
    build,
    run,
};

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Print versions in force, nodes behind, members and refusals")
        .after_help("Example: sequoiagw status --admin http://127.0.0.1:7079")
        .arg(AdminClient::arg())
        .arg(OutputFormat::arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let client = AdminClient::from_matches(matches);
    let status = client.status()?;
    let fleet = client.fleet()?;
    if OutputFormat::from_matches(matches) == OutputFormat::Json {
        print_json(&serde_json::json!({ "node": status, "fleet": fleet }));
        return Ok(());
    }
    print_node(&status);
    print_fleet(&fleet);
    print_members(&status);
    print_held_requests(&status);
    print_counters(&status);
    Ok(())
}

fn print_node(status: &NodeStatus) {
    let state = match (status.ready, status.draining) {
        (_, true) => "leaving",
        (true, false) => "ready",
        (false, false) => "starting",
    };
    let [running, slots, waiting] = status.load;
    println!(
        "node {} in {}: {state}, version {} accepted {} ago, {running} of {slots} slots in use, \
         {waiting} waiting",
        status.name,
        status.data_centre,
        status.version,
        format_age(status.accepted_ms)
    );
}

/// Formats the time since `accepted_ms`, in whole seconds. `accepted_ms` is in milliseconds since
/// the Unix epoch.
fn format_age(accepted_ms: u64) -> String {
    let accepted = UNIX_EPOCH + Duration::from_millis(accepted_ms);
    let age = SystemTime::now()
        .duration_since(accepted)
        .unwrap_or_default();
    format!("{} s", age.as_secs())
}

fn print_fleet(fleet: &FleetStatus) {
    let mut table = new_table(&[
        "data centre",
        "answers",
        "version",
        "ready",
        "joining",
        "draining",
        "lost",
    ]);
    for (name, data_centre) in &fleet.data_centres {
        table.add_row([
            name.clone(),
            if data_centre.reachable { "yes" } else { "no" }.to_owned(),
            data_centre.version.to_string(),
            data_centre.ready.to_string(),
            data_centre.joining.to_string(),
            data_centre.draining.to_string(),
            data_centre.lost.to_string(),
        ]);
    }
    println!("\n{table}");
    let behind = fleet.nodes_behind(fleet.newest);
    if !behind.is_empty() {
        println!("behind version {}: {}", fleet.newest, behind.join(", "));
    }
    for (name, version) in fleet
        .data_centres
        .values()
        .flat_map(|data_centre| &data_centre.refusing)
    {
        println!("{name} refuses version {version}; see version_refused in its log");
    }
}

fn print_held_requests(status: &NodeStatus) {
    for held in &status.held_requests {
        println!(
            "request {} is held back for {} s; it crashed {}",
            held.digest,
            held.held_s,
            held.servers.join(", ")
        );
    }
}

fn print_members(status: &NodeStatus) {
    let mut table = new_table(&[
        "member",
        "data centre",
        "state",
        "service",
        "slots",
        "holder",
    ]);
    for member in &status.members {
        table.add_row([
            member.name.clone(),
            member.data_centre.clone(),
            member.state.clone(),
            member.service.clone(),
            member.slots.to_string(),
            member
                .seat
                .map_or_else(String::new, |seat| format!("seat {seat}")),
        ]);
    }
    println!("\n{table}");
}

fn print_counters(status: &NodeStatus) {
    let mut table = new_table(&["refusals and retries at this node", "count"]);
    for (name, count) in &status.counters {
        if name.starts_with("refused.") || name.starts_with("retr") {
            table.add_row([name.clone(), count.to_string()]);
        }
    }
    println!("\n{table}");
}
