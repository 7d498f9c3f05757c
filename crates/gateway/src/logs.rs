//! Log lines on standard output, as JSON, one a line.
//!
//! Lines go through a bounded queue to a thread that writes them. When the reader
//! of the output stands still the queue fills and lines are left out and counted;
//! the request path never waits for it. Each kind of line has a budget a second, so
//! that a storm of one kind costs neither processor nor the lines of others.

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

/// Lines that wait to be written: some seconds of a busy node.
const QUEUE: usize = 4_096;
/// Lines of one kind that are written in a second. A node of the planned size answers
/// 15 requests a second, with up to four lines each; the budget bears twenty times that.
pub const MAX_LINES_PER_SECOND: u32 = 300;

/// Keeps the writer alive and counts what was left out.
#[derive(Debug)]
pub struct Logs {
    _guard: WorkerGuard,
    unwritten: ErrorCounter,
    over_budget: Arc<AtomicUsize>,
}

impl Logs {
    /// Starts writing.
    #[must_use]
    pub fn new() -> Self {
        let (writer, guard) = NonBlockingBuilder::default()
            .buffered_lines_limit(QUEUE)
            .lossy(true)
            .finish(std::io::stdout());
        let unwritten = writer.error_counter();
        let budget = Budget::new();
        let over_budget = budget.left_out.clone();
        let lines = tracing_subscriber::fmt::layer()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_writer(writer)
            .with_filter(budget);
        tracing_subscriber::registry().with(lines).init();
        Self {
            _guard: guard,
            unwritten,
            over_budget,
        }
    }

    /// Lines that were left out.
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

/// Lets [`MAX_LINES_PER_SECOND`] lines of each kind pass in a second.
#[derive(Debug)]
pub struct Budget {
    began: Instant,
    kinds: Mutex<HashMap<Identifier, (u64, u32)>>,
    left_out: Arc<AtomicUsize>,
}

impl Budget {
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            kinds: Mutex::default(),
            left_out: Arc::default(),
        }
    }

    /// Counts a line of a kind; returns whether it passes.
    pub fn take(&self, kind: Identifier) -> bool {
        let second = self.began.elapsed().as_secs();
        let passes = {
            let mut kinds = self
                .kinds
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            let (current, count) = kinds.entry(kind).or_insert((second, 0));
            if *current != second {
                (*current, *count) = (second, 0);
            }
            *count += 1;
            *count <= MAX_LINES_PER_SECOND
        };
        if !passes {
            self.left_out.fetch_add(1, Ordering::Relaxed);
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
        *metadata.level() <= Level::INFO && self.take(metadata.callsite())
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LevelFilter::INFO)
    }
}
