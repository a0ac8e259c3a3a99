//! `sequoiagw status`

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use clap::ArgMatches;
use clap::Command;
use sequoiagw_node::FleetStatus;
use sequoiagw_node::NodeStatus;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::command_entry::CommandEntry;
use crate::output_format::print_json;
use crate::output_format::table_with;
use crate::output_format::OutputFormat;

pub(crate) const ENTRY: CommandEntry = CommandEntry {
    name: "status",
    build,
    run,
};

fn build() -> Command {
    Command::new(ENTRY.name)
        .about("Print versions in force, nodes behind, members and refusals")
        .after_help("Example: sequoiagw status --admin http://127.0.0.1:7079")
        .arg(AdminClient::arg())
        .arg(OutputFormat::arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let client = AdminClient::of(matches);
    let status = client.status()?;
    let fleet = client.fleet()?;
    if OutputFormat::of(matches) == OutputFormat::Json {
        print_json(&serde_json::json!({ "node": status, "fleet": fleet }));
        return Ok(());
    }
    print_node(&status);
    print_fleet(&fleet);
    print_members(&status);
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
        age_of(status.accepted_ms)
    );
}

/// Time since a version was accepted, in whole seconds.
fn age_of(accepted_ms: u64) -> String {
    let accepted = UNIX_EPOCH + Duration::from_millis(accepted_ms);
    let age = SystemTime::now()
        .duration_since(accepted)
        .unwrap_or_default();
    format!("{} s", age.as_secs())
}

fn print_fleet(fleet: &FleetStatus) {
    let mut table = table_with(&[
        "data centre",
        "answers",
        "version",
        "ready",
        "joining",
        "draining",
        "lost",
    ]);
    for (name, centre) in &fleet.data_centres {
        table.add_row([
            name.clone(),
            if centre.reachable { "yes" } else { "no" }.to_owned(),
            centre.version.to_string(),
            centre.ready.to_string(),
            centre.joining.to_string(),
            centre.draining.to_string(),
            centre.lost.to_string(),
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
        .flat_map(|centre| &centre.refusing)
    {
        println!("{name} refuses version {version}: see version_refused in its log");
    }
}

fn print_members(status: &NodeStatus) {
    let mut table = table_with(&[
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
    let mut table = table_with(&["refusals and retries at this node", "count"]);
    for (name, count) in &status.counters {
        if name.starts_with("refused.") || name.starts_with("retr") {
            table.add_row([name.clone(), count.to_string()]);
        }
    }
    println!("\n{table}");
}
