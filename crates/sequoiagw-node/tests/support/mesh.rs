//! Configurations of these tests.

use sequoiagw_config::MeshConfig;

/// Configuration of the fleets in these tests.
pub const MESH: &str = r#"
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

/// The configuration with another timeout, so that it makes a new version.
pub fn mesh_with_timeout(seconds: u64) -> MeshConfig {
    let source = MESH.replace("timeout = \"2s\"", &format!("timeout = \"{seconds}s\""));
    MeshConfig::from_toml(&source).expect("valid")
}
