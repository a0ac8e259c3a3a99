//! `sequoiagw exception add`

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use sequoiagw_config::ConfigException;
use sequoiagw_config::ExceptionScope;
use sequoiagw_config::RawValue;
use sequoiagw_config::SettingName;
use sequoiagw_config::SETTING_NAMES;

use crate::admin_client::AdminClient;
use crate::cli_command::CliCommand;
use crate::cli_error::CliError;
use crate::commands::config_apply::message_arg;
use crate::commands::config_apply::submit_change;
use crate::commands::config_apply::wait_args;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "add",
    build,
    run,
};

fn build() -> Command {
    let option = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    Command::new(COMMAND.name)
        .about("Override a setting for a scope, with a reason")
        .after_help(
            "Example: sequoiagw exception add slow-press --setting timeout --value 5s \
             --service press --reason \"new die, slow first runs\" --wait",
        )
        .arg(Arg::new("name").value_name("NAME").required(true))
        .arg(option("setting", "Setting to override").required(true))
        .arg(option("value", "Value of the setting within the scope").required(true))
        .arg(option("reason", "Why").required(true))
        .arg(option(
            "expires",
            "Time after which it should be removed, such as 2027-01-31T00:00:00Z",
        ))
        .arg(option("data-centre", "Data centre"))
        .arg(option("service", "Service"))
        .arg(option("route", "Route"))
        .arg(option("target", "Target, by its node's name"))
        .arg(message_arg())
        .args(wait_args())
        .arg(AdminClient::arg())
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let client = AdminClient::from_matches(matches);
    let current = client.config()?;
    let text = |name: &str| matches.get_one::<String>(name).cloned();
    let name = text("name").unwrap_or_default();
    let exception = ConfigException {
        setting: parse_setting_name(&text("setting").unwrap_or_default())?,
        value: parse_setting_value(text("value").unwrap_or_default()),
        scope: ExceptionScope {
            data_centre: text("data-centre"),
            service: text("service"),
            route: text("route"),
            target: text("target"),
        },
        reason: text("reason").unwrap_or_default(),
        expires: text("expires"),
    };
    let mut config = current.config;
    if config.exceptions.insert(name.clone(), exception).is_some() {
        let detail = format!("exceptions.{name} exists already; remove it first");
        return Err(CliError::Invalid(detail));
    }
    config
        .validate()
        .map_err(|error| CliError::Invalid(error.to_string()))?;
    let source = config
        .to_toml()
        .map_err(|error| CliError::Invalid(error.to_string()))?;
    submit_change(&client, matches, &source, current.version)
}

fn parse_setting_name(name: &str) -> Result<SettingName, CliError> {
    let found = SETTING_NAMES
        .iter()
        .copied()
        .find(|setting| setting.to_string() == name);
    found.ok_or_else(|| {
        let names: Vec<String> = SETTING_NAMES.iter().map(ToString::to_string).collect();
        CliError::Invalid(format!(
            "no setting \"{name}\"; expected one of {}",
            names.join(", ")
        ))
    })
}

fn parse_setting_value(text: String) -> RawValue {
    if let Ok(integer) = text.parse() {
        return RawValue::Integer(integer);
    }
    text.parse().map_or(RawValue::Text(text), RawValue::Float)
}
