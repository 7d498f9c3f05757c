//! Whether an answer came slowly, for the trial of a version.
//!
//! The patterns: a version is many times slower, and its trial must show it. And a good version is
//! slow at first: its servers have just started, so that they have no prompt cached, and the trial
//! puts so much on few of them that each is busier than the old ones. Compared by time alone, in a
//! burst a good version was taken for a slow one.
//!
//! So a first token is slow if it took many times as long as is usual for the route and model
//! **and** as is expected behind the work on its server, by what the old version's servers need for
//! such work ([`Wait`](super::wait::Wait)). The time between events is compared with the usual one:
//! a version that is slow by itself shows there also on idle servers, whose first tokens are quick.

/// A first token is slow from this many times the usual time.
const SLOW: f64 = 4.0;
/// And from this many times the expected one: a slow version's own queue makes more expected.
const SLOW_EXPECTED: f64 = 3.0;
/// Events are slow from this many times the usual time between them.
const SLOW_EVENTS: f64 = 3.0;
/// Milliseconds below which no first token is slow.
const SLOW_MS: f64 = 400.0;
/// Answers in a mean from which it is trusted.
const TRUSTED: u32 = 8;

/// How fast an answer came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Milliseconds until its head.
    pub head_ms: f64,
    /// Milliseconds until its head that the work on its server made likely.
    pub expected_ms: f64,
    /// Milliseconds between its events, if it has enough of them.
    pub event_ms: Option<f64>,
}

/// How long answers of one route and model usually take.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usual {
    head: Mean,
    event: Mean,
}

impl Usual {
    /// Takes in an answer.
    pub fn learn(&mut self, pace: &Pace) {
        self.head.add(pace.head_ms);
        if let Some(millis) = pace.event_ms {
            self.event.add(millis);
        }
    }

    /// Milliseconds from which a first token is slow that was expected after `expected_ms`; `None`
    /// while nothing is known to compare with.
    #[must_use]
    pub fn slow_ms(&self, expected_ms: f64) -> Option<f64> {
        let usual = self.head.millis * SLOW;
        let expected = expected_ms * SLOW_EXPECTED;
        (self.head.count >= TRUSTED).then(|| usual.max(expected).max(SLOW_MS))
    }

    /// Whether an answer came slowly.
    #[must_use]
    pub fn is_slow(&self, pace: &Pace) -> bool {
        let slow_ms = self.slow_ms(pace.expected_ms);
        let is_late = slow_ms.is_some_and(|millis| pace.head_ms > millis);
        let dragging = self.event.millis * SLOW_EVENTS;
        let drags = pace.event_ms.is_some_and(|millis| millis > dragging);
        is_late || (self.event.count >= TRUSTED && drags)
    }
}

/// A mean in which the newest values weigh most.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    /// Milliseconds.
    millis: f64,
    /// Values in the mean, up to a bound.
    count: u32,
}

impl Mean {
    /// Weight of the newest value, once there are many.
    const NEWEST: f64 = 0.1;
    /// Values that are counted at most.
    const MOST: u32 = 1_000;

    fn add(&mut self, millis: f64) {
        self.count = (self.count + 1).min(Self::MOST);
        let weight = (1.0 / f64::from(self.count)).max(Self::NEWEST);
        self.millis += weight * (millis - self.millis);
    }
}
