//! Logging to standard output, with one JSON object a line.
//!
//! Lines go through a bounded queue to a thread that writes them. If the reader of the output
//! stalls, the queue fills up and further lines are dropped and counted; requests never wait for the
//! log. Each call site is rate-limited, so that a burst of lines from one site neither takes much
//! processor time nor displaces the lines of other sites.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use tracing::callsite::Identifier;
use tracing::level_filters::LevelFilter;
use tracing::{Level, Metadata, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::Layer as _;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt as _};
use tracing_subscriber::util::SubscriberInitExt as _;

/// Capacity of the queue in lines: some seconds of a busy node.
const QUEUE_LINES: usize = 4_096;
/// Maximum number of lines from one call site in a second. A node of the planned size answers 15
/// requests a second and writes up to four lines for each; the budget allows twenty times as many
/// requests.
pub const MAX_LINES_PER_SECOND: u32 = 300;

/// The running log; it keeps the writer alive and counts the dropped lines.
#[derive(Debug)]
pub struct Logs {
    _guard: WorkerGuard,
    unwritten: ErrorCounter,
    over_budget: Arc<AtomicUsize>,
}

impl Logs {
    /// Starts the writer and installs the log as the process's global subscriber.
    #[must_use]
    pub fn new() -> Self {
        let (writer, guard) = NonBlockingBuilder::default()
            .buffered_lines_limit(QUEUE_LINES)
            .lossy(true)
            .finish(std::io::stdout());
        let unwritten = writer.error_counter();
        let budget = Budget::new();
        let over_budget = budget.dropped.clone();
        let layer = tracing_subscriber::fmt::layer()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_writer(writer)
            .with_filter(budget);
        tracing_subscriber::registry().with(layer).init();
        Self {
            _guard: guard,
            unwritten,
            over_budget,
        }
    }

    /// Returns the number of dropped lines.
    #[must_use]
    pub fn dropped(&self) -> usize {
        self.unwritten.dropped_lines() + self.over_budget.load(Ordering::Relaxed)
    }
}

impl Default for Logs {
    fn default() -> Self {
        Self::new()
    }
}

/// Rate limit that passes [`MAX_LINES_PER_SECOND`] lines of each call site in a second.
#[derive(Debug)]
pub struct Budget {
    started: Instant,
    /// The current second and the number of lines in it, by call site.
    sites: Mutex<HashMap<Identifier, (u64, u32)>>,
    dropped: Arc<AtomicUsize>,
}

impl Budget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            sites: Mutex::default(),
            dropped: Arc::default(),
        }
    }

    /// Counts a line of a call site; returns whether it passes.
    pub fn try_acquire(&self, site: Identifier) -> bool {
        let second = self.started.elapsed().as_secs();
        let passes = {
            let mut sites = self
                .sites
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            let (current, count) = sites.entry(site).or_insert((second, 0));
            if *current != second {
                (*current, *count) = (second, 0);
            }
            *count += 1;
            *count <= MAX_LINES_PER_SECOND
        };
        if !passes {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        passes
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

impl<S: Subscriber> Filter<S> for Budget {
    fn enabled(&self, metadata: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        *metadata.level() <= Level::INFO && self.try_acquire(metadata.callsite())
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LevelFilter::INFO)
    }
}
