//! Real node processes on the platform's stand-ins, under faults that callers and backend servers cause
//! and through planned stops.

mod crashing_requests;
mod fleet;
mod planned_stop;
mod stopped_pipelines;
