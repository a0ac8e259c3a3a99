//! Randomized soak test: runs real node processes under injected faults, and checks the system's
//! guarantees from what callers and backend servers observe.

mod call_accounting;
mod caller_load;
mod fault_injection;
mod fault_plan;
mod guarantee_checker;
mod loopback_proxy;
mod node_process;
mod refused_pipeline;
mod soak_fleet;
mod soak_run;
mod stopped_pipeline;

pub use fault_plan::FaultKind;
pub use fault_plan::FaultPlan;
pub use fault_plan::ScheduledFault;
pub use fault_plan::ScheduledRestore;
pub use guarantee_checker::CallRecord;
pub use guarantee_checker::GuaranteeChecker;
pub use guarantee_checker::GuaranteeKind;
pub use guarantee_checker::GuaranteeViolation;
pub use guarantee_checker::NamedLimit;
pub use node_process::NodeProcess;
pub use soak_fleet::run_address;
pub use soak_run::run_soak;
pub use soak_run::SoakOptions;
pub use soak_run::SoakReport;
