//! Call policy: load balancing, admission by rank, slot limits, retries and at-most-once runs.
//!
//! The state machines of entry and owner do no I/O: they take events and the current time and
//! return actions. Nothing here starts a thread or holds global state.

mod answer_sizes;
mod call_id;
mod decision_record;
mod entry_action;
mod entry_call;
mod entry_dispatch;
mod entry_failures;
mod entry_machine;
mod entry_retries;
mod entry_suspects;
mod key_table;
mod occupancy_times;
mod owner_action;
mod owner_call;
mod owner_keys;
mod owner_machine;
mod owner_runs;
mod owner_settings;
mod placement_rule;
mod rank_queue;
mod retry_budget;
mod run_times;
mod slot_limiter;
mod start_rates;
mod target_balancer;
mod target_view;

pub use answer_sizes::AnswerSizes;
pub use call_id::CallId;
pub use call_id::RunId;
pub use decision_record::PlacementRecord;
pub use decision_record::RefusalRecord;
pub use decision_record::RetryRecord;
pub use entry_action::EntryAction;
pub use entry_action::EntryEvent;
pub use entry_call::CallRequest;
pub use entry_call::CallSpec;
pub use entry_call::CallerReply;
pub use entry_call::RetryReason;
pub use entry_call::RETRY_REASONS;
pub use entry_machine::EntryMachine;
pub use key_table::KeyState;
pub use key_table::KeyTable;
pub use occupancy_times::OccupancyTimes;
pub use owner_action::OwnerAction;
pub use owner_call::BackendResult;
pub use owner_call::RunRequest;
pub use owner_machine::OwnerMachine;
pub use owner_settings::OwnerSettings;
pub use owner_settings::SlotRule;
pub use placement_rule::acceptable_local_latency;
pub use placement_rule::remote_penalty;
pub use placement_rule::PlacementRule;
pub use rank_queue::PushOutcome;
pub use rank_queue::QueuedCall;
pub use rank_queue::RankQueue;
pub use retry_budget::RetryBudget;
pub use run_times::RunTimes;
pub use slot_limiter::SlotLimiter;
pub use start_rates::StartRates;
pub use target_balancer::PickRequest;
pub use target_balancer::TargetBalancer;
pub use target_balancer::TargetInfo;
