//! The steady clock of this process.

use std::sync::OnceLock;
use std::time::{Duration, Instant as Steady};

use fescuerack_core::clock::Instant;

static ORIGIN: OnceLock<Steady> = OnceLock::new();

/// What the clock shows when the process first asks: what peers tell of the time before
/// that, such as the age of an order, must be representable.
const BEGINS: Duration = Duration::from_hours(24 * 30);

/// Returns the time on a clock that the process starts.
#[must_use]
pub fn now() -> Instant {
    let origin = *ORIGIN.get_or_init(Steady::now);
    Instant::ORIGIN + BEGINS + origin.elapsed()
}

/// Returns the point on the runtime's clock that `at` stands for.
#[must_use]
pub fn deadline(at: Instant) -> tokio::time::Instant {
    tokio::time::Instant::now() + at.since(now())
}
