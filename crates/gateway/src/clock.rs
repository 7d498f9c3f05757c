//! The monotonic clock of this process.

use std::sync::OnceLock;
use std::time::{Duration, Instant as StdInstant};

use fescuerack_core::clock::Instant;

static STARTED: OnceLock<StdInstant> = OnceLock::new();

/// Time on the clock when it is first read. It is above zero because times before that must be
/// representable: peers report them, for example as the age of an order.
const START_OFFSET: Duration = Duration::from_hours(24 * 30);

/// Returns the current time.
#[must_use]
pub fn now() -> Instant {
    let started = *STARTED.get_or_init(StdInstant::now);
    Instant::ORIGIN + START_OFFSET + started.elapsed()
}

/// Converts `at` to the clock of the runtime, for use in timeouts.
#[must_use]
pub fn deadline(at: Instant) -> tokio::time::Instant {
    tokio::time::Instant::now() + at.since(now())
}

/// Returns the milliseconds since `at`.
#[must_use]
pub fn age_ms(at: Instant) -> u64 {
    now().millis_since(at)
}
