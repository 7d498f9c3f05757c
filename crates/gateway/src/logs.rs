//! Log lines on standard output, as JSON, one a line.
//!
//! Lines go through a bounded queue to a thread that writes them. When the reader
//! of the output stands still the queue fills and lines are left out and counted;
//! the request path never waits for it.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;

/// Lines that wait to be written: some seconds of a busy node.
const QUEUE: usize = 4_096;

/// Keeps the writer alive.
#[derive(Debug)]
pub struct Logs {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl Logs {
    /// Starts writing.
    #[must_use]
    pub fn new() -> Self {
        let (writer, guard) = NonBlockingBuilder::default()
            .buffered_lines_limit(QUEUE)
            .lossy(true)
            .finish(std::io::stdout());
        let dropped = writer.error_counter();
        tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_max_level(LevelFilter::INFO)
            .with_writer(writer)
            .init();
        Self {
            _guard: guard,
            dropped,
        }
    }

    /// Lines that were left out.
    #[must_use]
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

impl Default for Logs {
    fn default() -> Self {
        Self::new()
    }
}
