//! Tests of the validation, resolution, canonical form and deltas of configurations.

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
    MeshConfig::from_toml(SAMPLE).expect("the sample is valid")
}

/// Error for the sample with the first occurrence of `original` replaced.
fn error_of(original: &str, replacement: &str) -> ConfigError {
    MeshConfig::from_toml(&SAMPLE.replacen(original, replacement, 1))
        .expect_err("the configuration is invalid")
}

#[test]
fn value_error_names_key_line_value_and_range() {
    let text = error_of("timeout = \"2s\"", "timeout = \"2h\"").to_string();
    for part in ["defaults.timeout", "line 3", "\"2h\"", "from 1ms to 10m"] {
        assert!(text.contains(part), "{text}");
    }
}

#[test]
fn rejects_unknown_key_and_names_its_line() {
    let text = error_of("level = 0", "level = 0\nspeed = 3").to_string();
    assert!(text.contains("line 7") && text.contains("speed"), "{text}");
}

#[test]
fn rejects_route_to_missing_service_by_name() {
    let text = error_of("service = \"press\"", "service = \"pres\"").to_string();
    assert!(
        text.contains("routes.change-die.service") && text.contains("\"pres\""),
        "{text}"
    );
}

#[test]
fn rejects_conflicting_exceptions_by_name() {
    let conflicting = "[exceptions.quick-press]\nsetting = \"timeout\"\nvalue = \"1s\"\n\
                scope = { service = \"press\" }\nreason = \"hurry\"\n";
    let error = MeshConfig::from_toml(&format!("{SAMPLE}\n{conflicting}"))
        .expect_err("the exceptions conflict");
    let text = error.to_string();
    assert!(
        text.contains("quick-press") && text.contains("slow-press"),
        "{text}"
    );
}

#[test]
fn rejects_exception_without_reason() {
    let error = error_of("reason = \"the press takes its time\"", "reason = \" \"");
    assert!(matches!(error, ConfigError::Value { path, .. } if path.ends_with("reason")));
}

#[test]
fn picks_most_specific_route() {
    let compiled = CompiledConfig::compile(1, 0, sample(), "a").expect("the sample compiles");
    assert_eq!(
        compiled
            .find_route("POST", "/press/dies/7")
            .expect("a route matches")
            .name,
        "change-die"
    );
    assert_eq!(
        compiled
            .find_route("GET", "/press/dies/7")
            .expect("a route matches")
            .name,
        "list-dies"
    );
    assert!(compiled.find_route("POST", "/press/dies").is_none());
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

/// Scope that sets the data centre, service, route and target whose bit (1, 2, 4, 8) is set.
fn scope_of(bits: u8) -> ExceptionScope {
    let name = |bit: u8, text: &str| (bits & bit != 0).then(|| text.to_owned());
    ExceptionScope {
        data_centre: name(1, "a"),
        service: name(2, "press"),
        route: name(4, "change-die"),
        target: name(8, "t1"),
    }
}

/// Reference implementation: tries every scope from the narrowest to the widest.
///
/// An exception's number of retries is its scope's bits modulo 10; the built-in value is 2.
fn reference_retries(scopes: &[u8], query_bits: u8) -> u64 {
    for scope in (1..16).rev() {
        if scopes.contains(&scope) && scope & query_bits == scope {
            return u64::from(scope) % 10;
        }
    }
    2
}

#[test]
fn resolution_agrees_with_reference_implementation() {
    bolero::check!()
        .with_type::<(Vec<u8>, u8)>()
        .for_each(|(scopes, query_bits)| {
            let scopes: Vec<u8> = scopes.iter().map(|bits| bits % 15 + 1).collect();
            let query_bits = query_bits % 16;
            let mut config = sample();
            for bits in &scopes {
                let name = format!("e{bits}");
                config
                    .exceptions
                    .insert(name, exception(scope_of(*bits), i64::from(*bits) % 10));
            }
            config.validate().expect("distinct scopes never conflict");
            let scope = scope_of(query_bits);
            let query = ScopeQuery {
                data_centre: scope.data_centre.as_deref(),
                service: scope.service.as_deref(),
                route: scope.route.as_deref(),
                target: scope.target.as_deref(),
            };
            let resolved = resolve_setting(&config, SettingName::Retries, &query);
            assert_eq!(
                resolved.value.count(),
                reference_retries(&scopes, query_bits)
            );
            let overridden = matches!(resolved.origin, SettingOrigin::Exception { .. });
            assert_eq!(
                overridden,
                scopes.iter().any(|bits| bits & query_bits == *bits)
            );
        });
}

#[test]
fn applying_a_delta_produces_the_other_tree() {
    bolero::check!()
        .with_type::<(Vec<(u8, u8)>, Vec<(u8, u8)>)>()
        .for_each(|(old, new)| {
            let build = |exceptions: &[(u8, u8)]| {
                let mut config = sample();
                for (bits, retries) in exceptions {
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
                produced.to_config().expect("the configuration is valid"),
                new.to_config().expect("the configuration is valid")
            );
        });
}

#[test]
fn canonical_form_round_trips() {
    let config = sample();
    let tree = SettingTree::from_config(&config);
    assert_eq!(
        tree.to_config().expect("the configuration is valid"),
        config
    );
    let toml = config.to_toml().expect("the configuration serializes");
    assert_eq!(
        MeshConfig::from_toml(&toml).expect("the configuration is valid"),
        config
    );
}

#[test]
fn rejects_corrupt_stored_version() {
    let accepted =
        AcceptedConfig::successor_of(None, &sample()).with_change_details("id", "op", "first", 1);
    let text = accepted
        .to_json()
        .expect("the version is within the size limit")
        .replacen("\"2s\"", "\"3s\"", 1);
    let error = AcceptedConfig::from_json(&text).expect_err("the checksum differs");
    assert!(matches!(error, ConfigError::ChecksumMismatch { .. }));
}

#[test]
fn arbitrary_text_does_not_panic() {
    bolero::check!().with_type::<String>().for_each(|text| {
        let _ = MeshConfig::from_toml(text);
        let _ = MeshConfig::from_toml(&format!("{SAMPLE}\n{text}"));
        let _ = AcceptedConfig::from_json(text);
    });
}

#[test]
fn expired_exception_is_reported_and_still_applies() {
    let source = SAMPLE.replace(
        "reason = \"the press takes its time\"",
        "reason = \"the press takes its time\"\nexpires = \"2020-01-31T00:00:00Z\"",
    );
    let config = MeshConfig::from_toml(&source).expect("the configuration is valid");
    assert!(config.exceptions["slow-press"].is_expired(std::time::SystemTime::now()));
    let query = ScopeQuery {
        service: Some("press"),
        ..ScopeQuery::default()
    };
    let resolved = resolve_setting(&config, SettingName::Timeout, &query);
    assert!(matches!(resolved.origin, SettingOrigin::Exception { .. }));
    assert!(!sample().exceptions["slow-press"].is_expired(std::time::SystemTime::now()));
}
