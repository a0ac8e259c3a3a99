//! `sequoiagw config explain`

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use sequoiagw_config::resolve_setting;
use sequoiagw_config::ScopeQuery;
use sequoiagw_config::SETTING_NAMES;

use crate::admin_client::AdminClient;
use crate::cli_command::CliCommand;
use crate::cli_error::CliError;
use crate::output_format::new_table;
use crate::output_format::print_json;
use crate::output_format::OutputFormat;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "explain",
    build,
    run,
};

fn build() -> Command {
    let scope = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    Command::new(COMMAND.name)
        .about("Print each setting in force for a route, and what set it")
        .after_help("Example: sequoiagw config explain --route place-order --data-centre temuco")
        .arg(scope("route", "Route").required(true))
        .arg(scope("data-centre", "Data centre"))
        .arg(scope("target", "Target, by its node's name"))
        .arg(AdminClient::arg())
        .arg(OutputFormat::arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let current = AdminClient::from_matches(matches).config()?;
    let text = |name: &str| matches.get_one::<String>(name).map(String::as_str);
    let route = text("route").unwrap_or_default();
    let Some(spec) = current.config.routes.get(route) else {
        return Err(CliError::Invalid(format!(
            "there is no route named \"{route}\""
        )));
    };
    let query = ScopeQuery {
        data_centre: text("data-centre"),
        service: Some(&spec.service),
        route: Some(route),
        target: text("target"),
    };
    let resolved = SETTING_NAMES
        .iter()
        .map(|setting| (*setting, resolve_setting(&current.config, *setting, &query)));
    if OutputFormat::from_matches(matches) == OutputFormat::Json {
        let rows: Vec<serde_json::Value> = resolved
            .map(|(setting, resolved)| {
                serde_json::json!({
                    "setting": setting,
                    "value": resolved.value.to_string(),
                    "origin": resolved.origin.to_string(),
                })
            })
            .collect();
        print_json(&rows);
        return Ok(());
    }
    let mut table = new_table(&["setting", "value", "set by"]);
    for (setting, resolved) in resolved {
        let row = [
            setting.to_string(),
            resolved.value.to_string(),
            resolved.origin.to_string(),
        ];
        table.add_row(row);
    }
    println!(
        "route {route} to service {}, version {}",
        spec.service, current.version
    );
    println!("{table}");
    Ok(())
}
