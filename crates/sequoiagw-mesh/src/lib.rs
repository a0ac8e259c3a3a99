//! Node that runs next to a backend server and follows the operators' configuration in the
//! platform's store.
//!
//! [`MeshCore`] is the state machine of the node and does no I/O; [`MeshHandle`] runs it on the
//! current thread's runtime. Names and formats of the platform are behind [`PlatformFormat`].

mod call_log;
mod caller_server;
mod core_actions;
mod core_crashes;
mod core_directory;
mod core_frames;
mod core_target;
mod core_versions;
mod core_watchers;
mod fleet_directory;
mod follower_config;
mod follower_registrations;
mod leave_plan;
mod local_server;
mod mesh_action;
mod mesh_backend;
mod mesh_core;
mod mesh_handle;
mod mesh_process;
mod mesh_settings;
mod mesh_version;
mod node_registrar;
mod node_registration;
mod platform_format;
mod registration_change;
mod retry_after;
mod store_client;
mod store_follower;
mod store_health;
mod target_monitor;
mod traffic_splitter;
mod version_records;
mod watcher_monitor;

pub use caller_server::CallerServer;
pub use fleet_directory::FleetDirectory;
pub use leave_plan::LeavePlan;
pub use local_server::LocalServer;
pub use mesh_action::MeshAction;
pub use mesh_backend::MeshBackend;
pub use mesh_core::MeshCore;
pub use mesh_handle::MeshHandle;
pub use mesh_process::run_mesh_node;
pub use mesh_process::NodeDependencies;
pub use mesh_settings::BackendSettings;
pub use mesh_settings::MeshSettings;
pub use mesh_settings::RetryBudgetSettings;
pub use mesh_version::CallerLimits;
pub use mesh_version::MeshRoute;
pub use mesh_version::MeshVersion;
pub use mesh_version::WeightedService;
pub use node_registrar::NodeRegistrar;
pub use node_registration::NodeRegistration;
pub use node_registration::RegistrationError;
pub use platform_format::ConfigReadError;
pub use platform_format::HeaderNames;
pub use platform_format::LocalRequest;
pub use platform_format::PlatformFormat;
pub use registration_change::RegistrationChange;
pub use retry_after::retry_after_delay;
pub use store_follower::StoreFollower;
pub use store_follower::NODES_PREFIX;
pub use store_health::StoreHealth;
pub use target_monitor::Heartbeat;
pub use target_monitor::HeartbeatOutcome;
pub use target_monitor::HeartbeatPhase;
pub use target_monitor::TargetIncarnation;
pub use target_monitor::TargetMonitor;
pub use traffic_splitter::TrafficSplitter;
pub use version_records::DeltaError;
pub use watcher_monitor::WatcherMonitor;
