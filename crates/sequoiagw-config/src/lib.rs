//! Mesh configuration: fleet defaults, services, routes, ranks and exceptions, with their
//! validation, canonical form, deltas and compiled form.

mod accepted_config;
mod compiled_config;
mod config_error;
mod config_exception;
mod mesh_config;
mod path_pattern;
mod resolved_setting;
mod route_spec;
mod setting_name;
mod setting_tree;
mod source_position;

pub use accepted_config::AcceptedConfig;
pub use compiled_config::CompiledConfig;
pub use compiled_config::CompiledRoute;
pub use compiled_config::RouteSettings;
pub use config_error::ConfigError;
pub use config_exception::ConfigException;
pub use config_exception::ExceptionScope;
pub use mesh_config::MeshConfig;
pub use path_pattern::PathPattern;
pub use resolved_setting::resolve_setting;
pub use resolved_setting::ResolvedSetting;
pub use resolved_setting::ScopeQuery;
pub use resolved_setting::SettingOrigin;
pub use route_spec::RankSpec;
pub use route_spec::RouteSpec;
pub use route_spec::ServiceSpec;
pub use setting_name::RawValue;
pub use setting_name::SettingName;
pub use setting_name::SettingValue;
pub use setting_name::SETTING_NAMES;
pub use setting_tree::SettingTree;
pub use setting_tree::TreeChange;
pub use source_position::locate_key;
