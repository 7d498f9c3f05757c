//! Estimate of the time from the head of a stream to its first event.
//!
//! A server that has sent a head and then no event is silent, whatever else it sends, and only what is
//! usual tells for how long it may be. Each node estimates that from its own streams, by service.

/// Weight of the newest stream in the mean.
const NEWEST_WEIGHT: f64 = 0.1;
/// Time without a first event from which a stream is silent, as a multiple of the mean.
const SILENCE_FACTOR: f64 = 8.0;
/// Minimum of that time in milliseconds: a server that reads prompts of other requests is silent as long.
const MIN_SILENCE_MS: f64 = 500.0;

/// Estimate for the streams of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstEvent {
    mean_ms: Option<f64>,
}

impl FirstEvent {
    /// Records that the first event came `millis` after the head.
    pub fn observe(&mut self, millis: f64) {
        let mean_ms = self.mean_ms.unwrap_or(millis);
        self.mean_ms = Some(mean_ms + NEWEST_WEIGHT * (millis - mean_ms));
    }

    /// Returns the milliseconds after the head from which a stream without an event is silent; `None` if
    /// none has been seen.
    #[must_use]
    pub fn silence_ms(&self) -> Option<f64> {
        let silence_ms = |mean_ms: f64| (mean_ms * SILENCE_FACTOR).max(MIN_SILENCE_MS);
        self.mean_ms.map(silence_ms)
    }
}
