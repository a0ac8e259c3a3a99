//! Starts the logs: one line of key=value pairs for each event.

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

/// Target of the events that are about one request; their number is bounded.
pub const REQUEST_LOG_TARGET: &str = "request";

/// Lines that may wait for a slow reader; further ones are dropped and counted.
const WAITING_LINES: usize = 4096;

/// Where lines go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogOutput {
    /// Standard output, for processes that serve.
    Stdout,
    /// Standard error, for commands whose results go to standard output.
    Stderr,
}

/// Keeps the logs going; what waits is written when it ends.
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
    unwritten: ErrorCounter,
    limiter: Arc<LineLimiter>,
}

impl LogGuard {
    /// Lines dropped so far: over the rate, or because the reader is slow.
    pub fn dropped(&self) -> u64 {
        self.unwritten.dropped_lines() as u64 + self.limiter.dropped()
    }
}

/// Starts logging from a level on. A reader that stops reading blocks nothing: lines are
/// written by a thread of their own, from a bounded queue.
pub fn start_logs(level: &str, output: LogOutput) -> LogGuard {
    let builder = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING_LINES)
        .thread_name("log-writer");
    let (writer, worker) = match output {
        LogOutput::Stdout => builder.finish(io::stdout()),
        LogOutput::Stderr => builder.finish(io::stderr()),
    };
    let unwritten = writer.error_counter();
    let limiter = Arc::new(LineLimiter::new(Instant::now()));
    let gate = Arc::clone(&limiter);
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .with_span_path(false)
        .layer()
        .with_writer(writer)
        .with_filter(FilterFn::new(move |metadata| is_allowed(metadata, &gate)));
    // A second start in one process keeps the first one's logs.
    let _ = tracing_subscriber::registry()
        .with(EnvFilter::new(level))
        .with(layer)
        .try_init();
    LogGuard {
        _worker: worker,
        unwritten,
        limiter,
    }
}

fn is_allowed(metadata: &Metadata<'_>, limiter: &LineLimiter) -> bool {
    metadata.target() != REQUEST_LOG_TARGET || limiter.allows(Instant::now())
}
