//! The steady clock of this process.

use std::sync::OnceLock;
use std::time::Instant as Steady;

use fescuerack_core::clock::Instant;

static ORIGIN: OnceLock<Steady> = OnceLock::new();

/// Returns the time since the process first asked.
#[must_use]
pub fn now() -> Instant {
    let origin = *ORIGIN.get_or_init(Steady::now);
    Instant(u64::try_from(origin.elapsed().as_micros()).unwrap_or(u64::MAX))
}

/// Returns the point on the runtime's clock that `at` stands for.
#[must_use]
pub fn deadline(at: Instant) -> tokio::time::Instant {
    tokio::time::Instant::now() + at.since(now())
}
