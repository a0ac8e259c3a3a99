//! Tests of a target's latency and refusals under overload, as its callers observe them.

mod excess_calls;
mod request_limits;
mod target_simulation;
mod workspace_shares;
