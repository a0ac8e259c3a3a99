//! Logs: one line of key=value pairs for each event, on standard error.

use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::EnvFilter;

/// Starts logging from a level on.
pub(crate) fn start_logs(level: &str) {
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .with_span_path(false)
        .layer()
        .with_writer(std::io::stderr);
    let _ = tracing_subscriber::registry()
        .with(EnvFilter::new(level))
        .with(layer)
        .try_init();
}
