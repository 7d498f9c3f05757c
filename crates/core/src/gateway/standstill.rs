//! Times in which the process stood still, and the requests that waited for it meanwhile.
//!
//! A process that was paused, or that got no processor, reads at once what callers have sent in
//! seconds. If these requests counted as sent when they are read, a [retry budget](super::budget)
//! would allow for more seconds of requests than its window has. They count from the beginning of
//! the standstill on: most callers wait for their answer before they send again.
//!
//! A standstill shows by a timer that is late. The requests are read right after it.

use crate::clock::Instant;

/// Interval of the timer, in milliseconds.
pub const TICK_MS: u64 = 250;
/// Delay of the timer from which the process counts as having stood still, in milliseconds.
const MIN_DELAY_MS: u64 = 250;
/// Milliseconds after a standstill in which the requests that have waited are read.
const BACKLOG_MS: u64 = 1_000;

/// The last standstill of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standstill {
    ticked_at: Option<Instant>,
    /// Beginning of the last one, and until when requests that have waited are read.
    last: Option<(Instant, Instant)>,
}

impl Standstill {
    /// Records that the timer has fired. Returns the beginning of the standstill that it ends, if any.
    pub fn tick(&mut self, now: Instant) -> Option<Instant> {
        let began = self.began(now);
        if let Some(began) = began {
            self.last = Some((began, now.plus_millis(BACKLOG_MS)));
        }
        self.ticked_at = Some(now);
        began
    }

    /// Returns from when on a request counts that is read at `now`.
    #[must_use]
    pub fn sent_at(&self, now: Instant) -> Instant {
        let ended = self.last.filter(|(_, until)| now < *until);
        self.began(now)
            .or(ended.map(|(began, _)| began))
            .unwrap_or(now)
    }

    /// Returns when the process stopped, if the timer is late.
    fn began(&self, now: Instant) -> Option<Instant> {
        let ticked_at = self.ticked_at?;
        let is_late = now > ticked_at.plus_millis(TICK_MS + MIN_DELAY_MS);
        is_late.then_some(ticked_at)
    }
}
