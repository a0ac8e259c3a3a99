//! Decisions about calls: routing, admission by rank, limits, retries and at-most-once.
//!
//! Everything here is a state machine: it takes events and the clock's reading and
//! returns actions. Nothing here does I/O, starts a thread or holds global state.

mod call_id;
mod entry_call;
mod entry_machine;
mod key_ledger;
mod owner_call;
mod owner_machine;
mod rank_queue;
mod retry_budget;
mod slot_limiter;
mod target_board;

pub use call_id::CallId;
pub use call_id::RunId;
pub use entry_call::CallRequest;
pub use entry_call::CallSpec;
pub use entry_call::CallerReply;
pub use entry_call::RetryReason;
pub use entry_call::RETRY_REASONS;
pub use entry_machine::EntryAction;
pub use entry_machine::EntryMachine;
pub use key_ledger::KeyLedger;
pub use key_ledger::KeyState;
pub use owner_call::BackendResult;
pub use owner_call::RunRequest;
pub use owner_machine::OwnerAction;
pub use owner_machine::OwnerMachine;
pub use owner_machine::OwnerSetup;
pub use rank_queue::PushOutcome;
pub use rank_queue::QueuedCall;
pub use rank_queue::RankQueue;
pub use retry_budget::RetryBudget;
pub use slot_limiter::SlotLimiter;
pub use target_board::PickRequest;
pub use target_board::TargetBoard;
pub use target_board::TargetInfo;
