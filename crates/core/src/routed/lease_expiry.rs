//! Backend servers whose entries vanish while the store is away.
//!
//! Entries live by leases. During an outage leases may lapse although their
//! servers are well; the entries return within [`RETURN_MS`] of the store. A node
//! that believed such a removal at once would lose its whole fleet the moment the
//! store is back. So a removal that is heard of shortly after an outage is held
//! until that time is over; one that is heard of on a calm day counts at once,
//! as does a server's own word that it leaves.

use crate::clock::Instant;

/// Milliseconds after the return of the store in which entries come back.
pub const RETURN_MS: u64 = 2_000;

/// What this node knows of the store's outages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    is_away: bool,
    returned: Option<Instant>,
}

impl Outage {
    /// Notes that a call to the store failed; returns whether that is news.
    pub const fn fail(&mut self) -> bool {
        let news = !self.is_away;
        self.is_away = true;
        news
    }

    /// Notes that the store answered; returns whether that is news.
    pub const fn answer(&mut self, now: Instant) -> bool {
        let news = self.is_away;
        if news {
            self.returned = Some(now);
        }
        self.is_away = false;
        news
    }

    /// Whether the last call failed.
    #[must_use]
    pub const fn is_away(&self) -> bool {
        self.is_away
    }

    /// Until when a removal that is heard of at `now` is held.
    #[must_use]
    pub fn holds_until(&self, now: Instant) -> Option<Instant> {
        let until = self.returned?.plus_millis(RETURN_MS);
        (now < until).then_some(until)
    }
}
