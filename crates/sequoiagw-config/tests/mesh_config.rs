//! Validation, resolution, canonical form and deltas of configurations.

use sequoiagw_config::resolve_setting;
use sequoiagw_config::AcceptedConfig;
use sequoiagw_config::CompiledConfig;
use sequoiagw_config::ConfigError;
use sequoiagw_config::ConfigException;
use sequoiagw_config::ExceptionScope;
use sequoiagw_config::MeshConfig;
use sequoiagw_config::RawValue;
use sequoiagw_config::ScopeQuery;
use sequoiagw_config::SettingName;
use sequoiagw_config::SettingOrigin;
use sequoiagw_config::SettingTree;

const SAMPLE: &str = r#"
[defaults]
timeout = "2s"

[ranks.urgent]
level = 0

[ranks.bulk]
level = 5
share = 0.1

[services.press]

[routes.change-die]
method = "POST"
path = "/press/dies/*"
service = "press"
rank = "urgent"

[routes.list-dies]
method = "GET"
path = "/press/**"
service = "press"
rank = "bulk"
idempotent = true

[exceptions.slow-press]
setting = "timeout"
value = "5s"
scope = { service = "press" }
reason = "the press takes its time"
"#;

fn sample() -> MeshConfig {
    MeshConfig::from_toml(SAMPLE).expect("sample is valid")
}

fn error_of(from: &str, to: &str) -> ConfigError {
    MeshConfig::from_toml(&SAMPLE.replacen(from, to, 1)).expect_err("must be refused")
}

#[test]
fn messages_name_the_key_the_line_the_value_and_the_range() {
    let text = error_of("timeout = \"2s\"", "timeout = \"2h\"").to_string();
    for part in ["defaults.timeout", "line 3", "\"2h\"", "from 1ms to 10m"] {
        assert!(text.contains(part), "{text}");
    }
}

#[test]
fn unknown_keys_are_refused_with_their_line() {
    let text = error_of("level = 0", "level = 0\nspeed = 3").to_string();
    assert!(text.contains("line 7") && text.contains("speed"), "{text}");
}

#[test]
fn a_route_to_a_missing_service_is_refused_by_name() {
    let text = error_of("service = \"press\"", "service = \"pres\"").to_string();
    assert!(
        text.contains("routes.change-die.service") && text.contains("\"pres\""),
        "{text}"
    );
}

#[test]
fn contradicting_exceptions_are_refused_by_name() {
    let twin = "[exceptions.quick-press]\nsetting = \"timeout\"\nvalue = \"1s\"\n\
                scope = { service = \"press\" }\nreason = \"hurry\"\n";
    let error = MeshConfig::from_toml(&format!("{SAMPLE}\n{twin}")).expect_err("contradiction");
    let text = error.to_string();
    assert!(
        text.contains("quick-press") && text.contains("slow-press"),
        "{text}"
    );
}

#[test]
fn an_exception_without_a_reason_is_refused() {
    let error = error_of("reason = \"the press takes its time\"", "reason = \" \"");
    assert!(matches!(error, ConfigError::Value { path, .. } if path.ends_with("reason")));
}

#[test]
fn the_most_specific_route_wins() {
    let table = CompiledConfig::compile(1, 0, sample(), "a").expect("compiles");
    assert_eq!(
        table
            .find_route("POST", "/press/dies/7")
            .expect("route")
            .name,
        "change-die"
    );
    assert_eq!(
        table
            .find_route("GET", "/press/dies/7")
            .expect("route")
            .name,
        "list-dies"
    );
    assert!(table.find_route("POST", "/press/dies").is_none());
}

fn exception(scope: ExceptionScope, retries: i64) -> ConfigException {
    ConfigException {
        setting: SettingName::Retries,
        value: RawValue::Integer(retries),
        scope,
        reason: "test".to_owned(),
        expires: None,
    }
}

fn scope_of(bits: u8) -> ExceptionScope {
    let name = |bit: u8, text: &str| (bits & bit != 0).then(|| text.to_owned());
    ExceptionScope {
        data_centre: name(1, "a"),
        service: name(2, "press"),
        route: name(4, "change-die"),
        target: name(8, "t1"),
    }
}

/// Naive resolution: tries the scopes from the narrowest to the widest, in a fixed list.
fn naive_retries(bits: &[u8], query: u8) -> u64 {
    for scope in (1..16).rev() {
        if bits.contains(&scope) && scope & query == scope {
            return u64::from(scope) % 10;
        }
    }
    2
}

#[test]
fn resolution_agrees_with_the_naive_version() {
    bolero::check!()
        .with_type::<(Vec<u8>, u8)>()
        .for_each(|(bits, query)| {
            let bits: Vec<u8> = bits.iter().map(|bits| bits % 15 + 1).collect();
            let query = query % 16;
            let mut config = sample();
            for bits in &bits {
                let name = format!("e{bits}");
                config
                    .exceptions
                    .insert(name, exception(scope_of(*bits), i64::from(*bits) % 10));
            }
            config.validate().expect("distinct scopes never contradict");
            let scope = scope_of(query);
            let place = ScopeQuery {
                data_centre: scope.data_centre.as_deref(),
                service: scope.service.as_deref(),
                route: scope.route.as_deref(),
                target: scope.target.as_deref(),
            };
            let resolved = resolve_setting(&config, SettingName::Retries, &place);
            assert_eq!(resolved.value.count(), naive_retries(&bits, query));
            let excepted = matches!(resolved.origin, SettingOrigin::Exception { .. });
            assert_eq!(excepted, bits.iter().any(|bits| bits & query == *bits));
        });
}

#[test]
fn any_delta_leads_to_exactly_the_other_tree() {
    bolero::check!()
        .with_type::<(Vec<(u8, u8)>, Vec<(u8, u8)>)>()
        .for_each(|(old, new)| {
            let build = |entries: &[(u8, u8)]| {
                let mut config = sample();
                for (bits, retries) in entries {
                    let scope = scope_of(bits % 15 + 1);
                    let name = format!("e{}", bits % 15);
                    config
                        .exceptions
                        .insert(name, exception(scope, i64::from(retries % 10)));
                }
                SettingTree::from_config(&config)
            };
            let (old, new) = (build(old), build(new));
            let produced = old.with_changes(&old.changes_to(&new));
            assert_eq!(produced.checksum(), new.checksum());
            assert_eq!(
                produced.to_config().expect("valid"),
                new.to_config().expect("valid")
            );
        });
}

#[test]
fn the_canonical_form_round_trips() {
    let config = sample();
    let tree = SettingTree::from_config(&config);
    assert_eq!(tree.to_config().expect("valid"), config);
    let toml = config.to_toml().expect("renders");
    assert_eq!(MeshConfig::from_toml(&toml).expect("valid"), config);
}

#[test]
fn a_damaged_stored_version_is_refused() {
    let accepted =
        AcceptedConfig::successor_of(None, &sample()).with_change_details("id", "op", "first", 1);
    let text = accepted
        .to_json()
        .expect("fits")
        .replacen("\"2s\"", "\"3s\"", 1);
    let error = AcceptedConfig::from_json(&text).expect_err("damaged");
    assert!(matches!(error, ConfigError::ChecksumMismatch { .. }));
}

#[test]
fn arbitrary_text_never_panics() {
    bolero::check!().with_type::<String>().for_each(|text| {
        let _ = MeshConfig::from_toml(text);
        let _ = MeshConfig::from_toml(&format!("{SAMPLE}\n{text}"));
        let _ = AcceptedConfig::from_json(text);
    });
}

#[test]
fn an_exception_past_its_time_is_told_apart_and_stays_in_force() {
    let source = SAMPLE.replace(
        "reason = \"the press takes its time\"",
        "reason = \"the press takes its time\"\nexpires = \"2020-01-31T00:00:00Z\"",
    );
    let config = MeshConfig::from_toml(&source).expect("valid");
    assert!(config.exceptions["slow-press"].is_expired(std::time::SystemTime::now()));
    let place = ScopeQuery {
        service: Some("press"),
        ..ScopeQuery::default()
    };
    let resolved = resolve_setting(&config, SettingName::Timeout, &place);
    assert!(matches!(resolved.origin, SettingOrigin::Exception { .. }));
    assert!(!sample().exceptions["slow-press"].is_expired(std::time::SystemTime::now()));
}
