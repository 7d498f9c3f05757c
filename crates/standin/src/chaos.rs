//! The key-value service in one process, with seeded faults.
//!
//! For randomised runs: no network, no clock, the same schedule for the same
//! seed. Beside the faults of [`crate::Fault`] it has the worst one, which no
//! switch shows: a write whose answer is lost takes effect only later, after
//! its sender has read back and others have gone on.

use fescuerack_core::store::{Call, Reply};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::store::{Refusal, Store};

/// Chances of each fault per call, 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Odds {
    /// The call is refused or not sent; no effect.
    pub refused: f64,
    /// The answer is lost and the call has no effect.
    pub lost_before: f64,
    /// The answer is lost after the effect.
    pub lost_after: f64,
    /// The answer is lost and the effect comes at some later step, or never.
    pub late: f64,
    /// A read shows the value before the last write.
    pub old: f64,
}

impl Odds {
    /// Every fault, often.
    pub const HARD: Self = Self {
        refused: 0.05,
        lost_before: 0.05,
        lost_after: 0.08,
        late: 0.05,
        old: 0.15,
    };
}

/// The service with its faults.
#[derive(Debug)]
pub struct Chaos {
    /// Its state.
    pub store: Store,
    /// Its faults.
    pub odds: Odds,
    /// While set, every call is refused or lost.
    pub down: bool,
    rng: Pcg64Mcg,
    late: Vec<Call>,
}

impl Chaos {
    /// Writes that may be under way at a time.
    const MOST_LATE: usize = 8;

    /// Creates an empty service.
    #[must_use]
    pub fn new(seed: u64, odds: Odds) -> Self {
        Self {
            store: Store::new(),
            odds,
            down: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
            late: Vec::new(),
        }
    }

    fn chance(&mut self, odds: f64) -> bool {
        odds > 0.0 && self.rng.random_bool(odds)
    }

    /// Lets a write that is under way arrive.
    pub fn arrive(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let index = self.rng.random_range(..self.late.len());
        let call = self.late.swap_remove(index);
        self.serve(call);
    }

    /// Answers a call.
    pub fn call(&mut self, call: Call) -> Reply {
        if self.chance(0.1) {
            self.arrive();
        }
        let write = matches!(call, Call::Swap { .. });
        if self.down {
            return if write && self.chance(0.5) {
                Reply::Lost
            } else {
                Reply::Refused
            };
        }
        if self.chance(self.odds.refused) {
            return Reply::Refused;
        }
        if self.chance(self.odds.lost_before) {
            return Reply::Lost;
        }
        if self.chance(self.odds.lost_after) {
            self.serve(call);
            return Reply::Lost;
        }
        if write && self.chance(self.odds.late) && self.late.len() < Self::MOST_LATE {
            self.late.push(call);
            return Reply::Lost;
        }
        if let Call::Get { key } = &call
            && self.chance(self.odds.old)
        {
            return Reply::Value(self.store.get_old(key));
        }
        self.serve(call)
    }

    fn serve(&mut self, call: Call) -> Reply {
        match call {
            Call::Get { key } => Reply::Value(self.store.get(&key)),
            Call::Swap {
                key,
                expected,
                value,
                lease,
            } => match self.store.swap(&key, expected, value, lease) {
                Ok(version) => Reply::Swapped(version),
                Err(Refusal::Conflict(version)) => Reply::Conflict(version),
                Err(Refusal::TooLarge | Refusal::NoLease) => Reply::Refused,
            },
        }
    }
}
