//! Small stand-ins for the system's environment: the platform's store, backend servers, and links
//! with delay, loss and partitions. Used by tests, benchmarks and the demo.

mod backend_http;
mod backend_model;
mod in_process_fleet;
mod load_driver;
mod load_stats;
mod memory_backend;
mod memory_links;
mod memory_store;
mod pausable_task;
mod store_faults;
mod store_server;
mod store_state;
mod watch_body;

pub use backend_http::BackendHttp;
pub use backend_model::BackendModel;
pub use backend_model::BackendPlan;
pub use backend_model::ModelAnswer;
pub use backend_model::RunLog;
pub use in_process_fleet::FleetNode;
pub use in_process_fleet::FleetPlan;
pub use in_process_fleet::InProcessFleet;
pub use load_driver::EntryList;
pub use load_driver::LoadDriver;
pub use load_driver::LoadStream;
pub use load_stats::LoadStats;
pub use load_stats::SecondStats;
pub use load_stats::StreamStats;
pub use memory_backend::MemoryBackend;
pub use memory_links::MemoryLinks;
pub use memory_links::MemoryNetwork;
pub use memory_links::NetworkPlan;
pub use memory_store::MemoryStore;
pub use pausable_task::PauseSwitch;
pub use store_faults::StoreFaults;
pub use store_server::StoreServer;
pub use store_state::StoreState;
