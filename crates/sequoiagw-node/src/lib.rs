//! The node process, one of which runs on each backend server's host.
//!
//! [`NodeCore`] combines the state machines of the other packages and does no I/O. [`NodeHandle`]
//! drives it on the current thread's runtime and reaches the platform's store, the peers and the
//! backend server through the traits [`PlatformStore`](sequoiagw_store::PlatformStore),
//! [`PeerLinks`] and [`BackendClient`].

mod admin_api;
mod admin_service;
mod backend_client;
mod backend_notice;
mod body_reader;
mod call_machines;
mod caller_response;
mod caller_server;
mod core_action;
mod core_changes;
mod core_crashes;
mod core_event;
mod core_messages;
mod core_settle;
mod core_store;
mod crash_monitor;
mod fleet_status;
mod http_headers;
mod link_table;
mod node_core;
mod node_counters;
mod node_edges;
mod node_handle;
mod node_process;
mod node_settings;
mod node_status;
mod part_joiner;
mod problem_body;
mod record_budget;
mod reply_table;
mod request_log;
mod route_spec;
mod send_pacer;
mod send_queue;
mod settings_error;
mod tcp_links;

pub use admin_api::AdminApi;
pub use backend_client::HttpBackend;
pub use backend_notice::BackendNotice;
pub use call_machines::CallAction;
pub use call_machines::CallMachines;
pub use caller_server::CallerServer;
pub use core_action::CoreAction;
pub use core_action::StoreTag;
pub use core_event::BackendAnnouncement;
pub use core_event::CoreEvent;
pub use crash_monitor::CrashMonitor;
pub use fleet_status::DataCentreStatus;
pub use fleet_status::FleetStatus;
pub use http_headers::IDEMPOTENCY_KEY_HEADER;
pub use http_headers::NOT_RUN_HEADER;
pub use http_headers::RAN_HEADER;
pub use http_headers::REQUEST_ID_HEADER;
pub use http_headers::TIMEOUT_HEADER;
pub use node_core::NodeCore;
pub use node_core::NodeIdentity;
pub use node_counters::NodeCounters;
pub use node_edges::BackendClient;
pub use node_edges::EventSender;
pub use node_edges::NodeDependencies;
pub use node_edges::PeerLinks;
pub use node_handle::NodeHandle;
pub use node_process::run_node;
pub use node_settings::NodeSettings;
pub use node_status::HeldRequestStatus;
pub use node_status::MemberStatus;
pub use node_status::NodeStatus;
pub use part_joiner::JoinError;
pub use part_joiner::PartJoiner;
pub use problem_body::ProblemBody;
pub use reply_table::wait_for_reply;
pub use reply_table::ReplyTable;
pub use request_log::log_entry_event;
pub use request_log::log_refusal;
pub use request_log::outcome_name;
pub use request_log::PlacementLogFields;
pub use route_spec::call_spec;
pub use send_pacer::SendPacer;
pub use send_queue::SendQueue;
pub use settings_error::SettingsError;
pub use tcp_links::TcpLinks;
