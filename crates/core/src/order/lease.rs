//! Lease under which orders are sent, and the permits that it gives.
//!
//! The failure to prevent: the holder is paused, by its hypervisor or by
//! swapping, and its lease expires. Another instance acquires the lease and
//! orders the engine to load a version. The first instance resumes and, unaware
//! of the time that has passed, orders the engine to unload it. The version
//! that a roll-out needs is then gone.
//!
//! Two measures prevent this:
//!
//! - Every order carries the fencing token that the store assigned when the
//!   lease was acquired. Engines that support fencing refuse a token lower than
//!   one they have received, so the late order has no effect however long the
//!   pause was.
//! - For engines that ignore the token, an order must have ended
//!   [`LEASE_MARGIN_MS`] before the lease expires. The holder counts the lease
//!   from before it sent the request, so the lease ends here before it ends at
//!   the store. A new holder can start only after the end at the store, which
//!   is at least the margin after the time by which the last order of the old
//!   holder must have ended. The remaining risk is a pause longer than the
//!   margin between the last check of the clock and the write of an order, a
//!   span of microseconds.

use crate::clock::Instant;

/// Milliseconds after which a lease expires unless it is renewed. Long enough
/// that a restart of the store or a lost response does not end it, short enough
/// that a roll-out does not wait long for a new holder.
pub const LEASE_TTL_MS: u64 = 10_000;
/// Milliseconds between two renewals. Two may fail before the lease expires.
pub const LEASE_RENEWAL_MS: u64 = 3_000;
/// Milliseconds before the end of the lease by which every order must have
/// ended. Pauses of virtual machines during live migration last up to about a
/// second.
pub const LEASE_MARGIN_MS: u64 = 3_000;

/// Permission to send one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fencing token, to be sent with the order.
    pub fencing_token: u64,
    /// Time by which the order must have ended.
    pub deadline: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Lease {
    id: u64,
    fencing_token: u64,
    until: Instant,
    renew_at: Instant,
}

/// Lease of this instance on one fleet, if it holds one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseHolder {
    lease: Option<Lease>,
    /// Highest fencing token that was ever held; tokens only rise.
    highest_token: u64,
}

impl LeaseHolder {
    /// Returns a holder without a lease.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request sent at `sent` acquired the lease `id`, and that
    /// the store assigned `fencing_token` to it.
    ///
    /// # Panics
    ///
    /// When the token is not higher than all earlier ones: the store's numbers
    /// rise with every write.
    pub fn acquire(&mut self, sent: Instant, id: u64, fencing_token: u64) {
        assert!(
            fencing_token > self.highest_token,
            "a fencing token did not rise"
        );
        self.highest_token = fencing_token;
        self.lease = Some(Lease {
            id,
            fencing_token,
            until: sent.plus_millis(LEASE_TTL_MS),
            renew_at: sent.plus_millis(LEASE_RENEWAL_MS),
        });
    }

    /// Records that a request sent at `sent` renewed the lease.
    pub fn renew(&mut self, sent: Instant) {
        if let Some(lease) = &mut self.lease {
            lease.until = lease.until.max(sent.plus_millis(LEASE_TTL_MS));
            lease.renew_at = sent.plus_millis(LEASE_RENEWAL_MS);
        }
    }

    /// Drops the lease because the store no longer has it or it is released.
    pub fn clear(&mut self) {
        self.lease = None;
    }

    /// Returns the identifier of the lease if it is due for renewal.
    #[must_use]
    pub fn renewal_due(&self, now: Instant) -> Option<u64> {
        let lease = self.lease?;
        (lease.renew_at <= now).then_some(lease.id)
    }

    /// Returns whether the lease is held.
    #[must_use]
    pub fn is_held(&self, now: Instant) -> bool {
        self.lease.is_some_and(|lease| now < lease.until)
    }

    /// Returns a permit for one order now, if there is time left for it. With
    /// `fences`, the engine checks the fencing token and no margin is needed.
    #[must_use]
    pub fn permit(&self, now: Instant, fences: bool) -> Option<Permit> {
        let lease = self.lease?;
        let margin_ms = if fences { 0 } else { LEASE_MARGIN_MS };
        let left_ms = u64::try_from(lease.until.since(now).as_millis()).unwrap_or(0);
        let usable_ms = left_ms
            .checked_sub(margin_ms)
            .filter(|usable_ms| *usable_ms > 0)?;
        Some(Permit {
            fencing_token: lease.fencing_token,
            deadline: now.plus_millis(usable_ms),
        })
    }
}

impl Permit {
    /// Returns whether an order may still be sent.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.deadline
    }
}
