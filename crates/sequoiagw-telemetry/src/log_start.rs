//! Sets up logging: each event is a line of key=value pairs.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use tracing::Metadata;
use tracing_appender::non_blocking::ErrorCounter;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::filter::FilterFn;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::Layer;

use crate::LineLimiter;

/// Log target of the events about single requests, whose rate is limited.
pub const REQUEST_LOG_TARGET: &str = "request";

/// Largest number of lines queued for the writer thread; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;

/// Stream to which log lines are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogOutput {
    /// Standard output, for long-running processes.
    Stdout,
    /// Standard error, for commands whose results go to standard output.
    Stderr,
}

/// Keeps the log writer running; dropping it writes the queued lines.
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
    queue_errors: ErrorCounter,
    limiter: Arc<LineLimiter>,
}

impl LogGuard {
    /// Number of lines dropped so far, by the rate limit or because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.queue_errors.dropped_lines() as u64 + self.limiter.dropped()
    }
}

/// Starts logging events of `level` and above. A separate thread writes the lines from a bounded
/// queue, so a reader that stops reading doesn't block the process.
pub fn start_logs(level: &str, output: LogOutput) -> LogGuard {
    let builder = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .thread_name("log-writer");
    let (writer, worker) = match output {
        LogOutput::Stdout => builder.finish(io::stdout()),
        LogOutput::Stderr => builder.finish(io::stderr()),
    };
    let queue_errors = writer.error_counter();
    let limiter = Arc::new(LineLimiter::new(Instant::now()));
    let filter_limiter = Arc::clone(&limiter);
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .with_span_path(false)
        .layer()
        .with_writer(writer)
        .with_filter(FilterFn::new(move |metadata| {
            is_allowed(metadata, &filter_limiter)
        }));
    // If logging has already been started in this process, the earlier configuration stays in effect.
    let _ = tracing_subscriber::registry()
        .with(EnvFilter::new(level))
        .with(layer)
        .try_init();
    LogGuard {
        _worker: worker,
        queue_errors,
        limiter,
    }
}

/// Whether an event may be logged; only events about requests are limited.
fn is_allowed(metadata: &Metadata<'_>, limiter: &LineLimiter) -> bool {
    metadata.target() != REQUEST_LOG_TARGET || limiter.allows(Instant::now())
}
