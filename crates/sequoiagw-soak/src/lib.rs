//! Randomized soak: real processes, faults from outside, promises checked from what callers
//! and backend servers see.

mod caller_load;
mod fault_plan;
mod loop_proxy;
mod node_process;
mod promise_ledger;
mod soak_fleet;
mod soak_run;

pub use fault_plan::FaultKind;
pub use fault_plan::FaultPlan;
pub use fault_plan::PlannedFault;
pub use promise_ledger::BrokenPromise;
pub use promise_ledger::CallRecord;
pub use promise_ledger::PromiseKind;
pub use promise_ledger::PromiseLedger;
pub use soak_fleet::run_address;
pub use soak_run::run_soak;
pub use soak_run::SoakOptions;
pub use soak_run::SoakReport;
