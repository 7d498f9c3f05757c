//! Backend servers whose store entries expire during an outage of the store.
//!
//! Entries are bound to leases. During an outage, leases may expire although their servers are
//! healthy; the servers register again within [`REREGISTRATION_MS`] of the end of the outage. A
//! node that applied such a removal immediately would lose its whole fleet as soon as the store is
//! back. A removal that is received shortly after an outage is therefore held until that time has
//! passed. A removal at any other time takes effect immediately, as does a server's own report that
//! it is leaving.

use crate::clock::Instant;

/// Milliseconds after the end of an outage in which servers register again.
pub const REREGISTRATION_MS: u64 = 2_000;

/// Outages of the store, as observed by the local node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    is_ongoing: bool,
    ended: Option<Instant>,
}

impl Outage {
    /// Records that a call to the store failed and returns whether an outage begins.
    pub const fn record_failure(&mut self) -> bool {
        let is_change = !self.is_ongoing;
        self.is_ongoing = true;
        is_change
    }

    /// Records that the store answered and returns whether an outage ends.
    pub const fn record_answer(&mut self, now: Instant) -> bool {
        let is_change = self.is_ongoing;
        if is_change {
            self.ended = Some(now);
        }
        self.is_ongoing = false;
        is_change
    }

    /// Whether the last call failed.
    #[must_use]
    pub const fn is_ongoing(&self) -> bool {
        self.is_ongoing
    }

    /// Returns until when a removal that is received at `now` is held, or `None` if it takes effect
    /// immediately.
    #[must_use]
    pub fn hold_until(&self, now: Instant) -> Option<Instant> {
        let until = self.ended?.plus_millis(REREGISTRATION_MS);
        (now < until).then_some(until)
    }
}
