//! Mesh configurations of the benchmarks.

use std::fmt::Write;

use sequoiagw_config::MeshConfig;

/// Ranks used by all benchmarks, with the shares of the slots guaranteed to the lower ranks.
const RANKS: &str = r"
[ranks.urgent]
level = 0
[ranks.normal]
level = 3
share = 0.2
[ranks.bulk]
level = 6
share = 0.05
";

/// Builds a configuration with one route of each rank for each service. `extra_defaults` is added
/// to the `[defaults]` section.
///
/// Routes are named after rank and service: `urgent-s0`, `normal-s0`, `bulk-s0`. Only
/// bulk routes are idempotent.
///
/// Errors: the configuration is invalid.
pub(crate) fn mesh_config(
    services: &[String],
    timeout: &str,
    extra_defaults: &str,
) -> eyre::Result<MeshConfig> {
    let mut source = format!("[defaults]\ntimeout = \"{timeout}\"\n{extra_defaults}\n{RANKS}");
    for service in services {
        writeln!(source, "[services.{service}]")?;
        for rank in ["urgent", "normal", "bulk"] {
            writeln!(
                source,
                "[routes.{rank}-{service}]\nmethod = \"POST\"\npath = \"/{service}/{rank}\"\n\
                 service = \"{service}\"\nrank = \"{rank}\"\nidempotent = {}",
                rank == "bulk"
            )?;
        }
    }
    Ok(MeshConfig::from_toml(&source)?)
}

/// Names of the first `count` services: `s0`, `s1` and so on.
pub(crate) fn service_names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("s{index}")).collect()
}
