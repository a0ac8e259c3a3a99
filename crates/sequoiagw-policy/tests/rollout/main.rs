//! Tests of the roll-outs' decision code without a network, on a clock that the tests advance.

mod backend;
mod canary_target;
mod exposure_bound;
mod fleet;
mod judgement;
mod nodes;
mod plan;
mod run_statistics;
mod transitions;
mod verdicts;
