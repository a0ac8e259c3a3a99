//! Configurations for the fleet tests.

use sequoiagw_config::MeshConfig;

/// Configuration with three ranks, two services and three routes.
pub const MESH_TOML: &str = r#"
[defaults]
timeout = "2s"

[ranks.urgent]
level = 0

[ranks.normal]
level = 3
share = 0.2

[ranks.bulk]
level = 6
share = 0.05

[services.press]
[services.payments]

[routes.change-die]
method = "POST"
path = "/press/dies"
service = "press"
rank = "urgent"

[routes.list-dies]
method = "GET"
path = "/press/dies"
service = "press"
rank = "bulk"
idempotent = true

[routes.pay]
method = "POST"
path = "/payments"
service = "payments"
rank = "urgent"
"#;

/// Returns [`MESH_TOML`] with another default timeout in seconds, so that it differs from other
/// versions.
pub fn mesh_with_timeout(seconds: u64) -> MeshConfig {
    let source = MESH_TOML.replace("timeout = \"2s\"", &format!("timeout = \"{seconds}s\""));
    MeshConfig::from_toml(&source).expect("the configuration should be valid")
}
