//! Logging, latency histograms, metrics text, and traces of single requests rebuilt from logs.

mod latency_table;
mod line_limiter;
mod log_line;
mod log_start;
mod metrics_text;
mod request_sample;
mod request_trace;
mod trace_cause;

pub use latency_table::LatencySeries;
pub use latency_table::LatencyTable;
pub use line_limiter::LineLimiter;
pub use log_line::LogLine;
pub use log_start::start_logs;
pub use log_start::LogGuard;
pub use log_start::LogOutput;
pub use log_start::REQUEST_LOG_TARGET;
pub use metrics_text::metrics_text;
pub use request_sample::is_sampled;
pub use request_trace::RequestTrace;
