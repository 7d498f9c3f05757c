//! Classification of answers as slow, for the canary of a version.
//!
//! A version that is many times slower must be detected during its canary. A good version may also
//! be slow at first: its servers have just started, so their prompt caches are empty, and the
//! canary sends so much to few of them that each is busier than the old ones. By response time
//! alone, a good version would be classified as slow in a burst.
//!
//! A first token is therefore slow only if it took many times as long as is usual for the route and
//! model **and** as is expected from the load on its server, by what the old version's servers need
//! for that load ([`Wait`](super::wait::Wait)). The time between events (inter-token latency) is
//! compared with the usual one only: a version that is inherently slow also shows it there on idle
//! servers, whose first tokens are quick.

/// A first token is slow from this multiple of the usual time.
const HEAD_FACTOR: f64 = 4.0;
/// A first token is slow from this multiple of the expected time, which the queue of a slow version
/// itself raises.
const EXPECTED_FACTOR: f64 = 3.0;
/// Events are slow from this multiple of the usual time between them.
const EVENT_FACTOR: f64 = 3.0;
/// Milliseconds up to which no first token is slow.
const MIN_SLOW_MS: f64 = 400.0;
/// Number of answers from which a mean is used.
const MIN_SAMPLES: u32 = 8;

/// Timing of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Milliseconds until its head was received.
    pub head_ms: f64,
    /// Expected milliseconds until its head, given the load on its server.
    pub expected_ms: f64,
    /// Milliseconds between its events, if it has enough of them.
    pub event_interval_ms: Option<f64>,
}

/// Usual timing of the answers of one route and model.
#[derive(Clone, Copy, Debug, Default)]
pub struct Baseline {
    head: Mean,
    event: Mean,
}

impl Baseline {
    /// Records the timing of an answer.
    pub fn observe(&mut self, timing: &Timing) {
        self.head.add(timing.head_ms);
        if let Some(millis) = timing.event_interval_ms {
            self.event.add(millis);
        }
    }

    /// Returns the milliseconds above which a first token is slow that was expected after
    /// `expected_ms`, or `None` while there are too few answers to compare with.
    #[must_use]
    pub fn slow_threshold_ms(&self, expected_ms: f64) -> Option<f64> {
        let usual = self.head.millis * HEAD_FACTOR;
        let expected = expected_ms * EXPECTED_FACTOR;
        (self.head.count >= MIN_SAMPLES).then(|| usual.max(expected).max(MIN_SLOW_MS))
    }

    /// Returns the usual milliseconds between events, or `None` while there are too few answers.
    #[must_use]
    pub fn event_interval_ms(&self) -> Option<f64> {
        (self.event.count >= MIN_SAMPLES).then_some(self.event.millis)
    }

    /// Whether an answer was slow, in its first token or between its events.
    #[must_use]
    pub fn is_slow(&self, timing: &Timing) -> bool {
        let slow_ms = self.slow_threshold_ms(timing.expected_ms);
        let is_late = slow_ms.is_some_and(|millis| timing.head_ms > millis);
        let slow_interval_ms = self.event.millis * EVENT_FACTOR;
        let has_slow_events = timing
            .event_interval_ms
            .is_some_and(|millis| millis > slow_interval_ms);
        is_late || (self.event.count >= MIN_SAMPLES && has_slow_events)
    }
}

/// A mean of durations, exponentially weighted once there are enough values.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    /// Milliseconds.
    millis: f64,
    /// Number of values in the mean, at most [`Self::MAX_COUNT`].
    count: u32,
}

impl Mean {
    /// Weight of the newest value once there are many.
    const NEWEST_WEIGHT: f64 = 0.1;
    /// Maximum number of values that are counted.
    const MAX_COUNT: u32 = 1_000;

    fn add(&mut self, millis: f64) {
        self.count = (self.count + 1).min(Self::MAX_COUNT);
        let weight = (1.0 / f64::from(self.count)).max(Self::NEWEST_WEIGHT);
        self.millis += weight * (millis - self.millis);
    }
}
