//! The lease under which orders are given, and what it permits.
//!
//! The failure: the holder is paused (by its hypervisor, by swapping) and its
//! lease lapses. Another instance takes the lease and orders the engine to
//! load a version. The paused one wakes and, not knowing that time has passed,
//! orders the engine to unload it. The version that a roll-out needs is gone.
//!
//! Two guards:
//!
//! - Every order carries the number that the store gave to this holding of the
//!   lease. Engines that fence refuse a number lower than one they have seen,
//!   so the late order has no effect whatever the pause.
//! - For engines that ignore the number, an order must have ended
//!   [`LEASE_MARGIN_MS`] before the lease lapses. The lease is counted from before
//!   its request was sent, so it ends here before it ends at the store. A new
//!   holder can only begin after the store's end, and so at least the margin
//!   after the last order of the old one must have ended. What remains is a
//!   pause longer than the margin that falls between the last look at the
//!   clock and the write of an order, which takes microseconds.

use crate::clock::Instant;

/// Milliseconds that a lease lasts unless it is renewed. Long enough that a
/// restart of the store or a lost answer does not end it, short enough that a
/// roll-out does not wait long for a new holder.
pub const LEASE_TTL_MS: u64 = 10_000;
/// Milliseconds between two renewals: two may fail before the lease lapses.
pub const LEASE_RENEWAL_MS: u64 = 3_000;
/// Milliseconds before the end of the lease at which every order has ended.
/// Pauses of virtual machines during live migration last up to about a second.
pub const LEASE_MARGIN_MS: u64 = 3_000;

/// Leave to give one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fencing number, to be sent with the order.
    pub fencing_token: u64,
    /// When the order must have ended.
    pub deadline: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Lease {
    id: u64,
    fencing_token: u64,
    until: Instant,
    renew_at: Instant,
}

/// One instance's hold on one fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseHolder {
    lease: Option<Lease>,
    /// Highest number that was ever held; numbers only rise.
    highest: u64,
}

impl LeaseHolder {
    /// Returns a holder that holds nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the lease `id` was taken by a request sent at `sent`, and
    /// that the store gave it `number`.
    ///
    /// # Panics
    ///
    /// When the number is not higher than all before: the store's numbers
    /// rise with every write.
    pub fn acquire(&mut self, sent: Instant, id: u64, fencing_token: u64) {
        assert!(
            fencing_token > self.highest,
            "a fencing number did not rise"
        );
        self.highest = fencing_token;
        self.lease = Some(Lease {
            id,
            fencing_token,
            until: sent.plus_millis(LEASE_TTL_MS),
            renew_at: sent.plus_millis(LEASE_RENEWAL_MS),
        });
    }

    /// Records that the lease was renewed by a request sent at `sent`.
    pub fn renew(&mut self, sent: Instant) {
        if let Some(lease) = &mut self.lease {
            lease.until = lease.until.max(sent.plus_millis(LEASE_TTL_MS));
            lease.renew_at = sent.plus_millis(LEASE_RENEWAL_MS);
        }
    }

    /// Records that the store no longer knows the lease, or that it is given
    /// up.
    pub fn clear(&mut self) {
        self.lease = None;
    }

    /// Returns the lease that is due for renewal.
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

    /// Returns leave to give one order now, if there is time left for it. An
    /// engine that fences needs no margin.
    #[must_use]
    pub fn permit(&self, now: Instant, fences: bool) -> Option<Permit> {
        let lease = self.lease?;
        let margin_ms = if fences { 0 } else { LEASE_MARGIN_MS };
        let left_ms = u64::try_from(lease.until.since(now).as_millis()).unwrap_or(0);
        let usable_ms = left_ms
            .checked_sub(margin_ms)
            .filter(|usable| *usable > 0)?;
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
