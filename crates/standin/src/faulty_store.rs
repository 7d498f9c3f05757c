//! In-process key-value service with seeded faults.
//!
//! Randomised tests use it: it has no network and no clock, and gives the same schedule for the
//! same seed. In addition to the faults of [`crate::Fault`], a write whose answer was lost can take
//! effect later, after its sender has read the key back and other writers have continued. This is
//! the most dangerous fault, and no switch of the HTTP stand-in injects it.

use fescuerack_core::store::{Call, Reply};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::store::{Refusal, Store};

/// Probability of each fault per call, 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FaultRates {
    /// The call is refused or not sent, and has no effect.
    pub refused: f64,
    /// The answer is lost and the call has no effect.
    pub lost_before: f64,
    /// The call takes effect and its answer is lost.
    pub lost_after: f64,
    /// The answer is lost and the call takes effect at some later step, or never.
    pub delayed: f64,
    /// A read returns the value before the last write.
    pub stale: f64,
}

impl FaultRates {
    /// Every fault, at a high rate.
    pub const FREQUENT: Self = Self {
        refused: 0.05,
        lost_before: 0.05,
        lost_after: 0.08,
        delayed: 0.05,
        stale: 0.15,
    };
}

/// The key-value service with its faults.
#[derive(Debug)]
pub struct FaultyStore {
    /// State of the service.
    pub store: Store,
    /// Rates of the faults.
    pub rates: FaultRates,
    /// Whether the service is down: every call is then refused or lost.
    pub down: bool,
    rng: Pcg64Mcg,
    delayed: Vec<Call>,
}

impl FaultyStore {
    /// Maximum number of delayed writes at a time.
    const MAX_DELAYED: usize = 8;
    /// Probability per call that a delayed write takes effect before it.
    const DELIVERY_RATE: f64 = 0.1;

    /// Creates a service without keys.
    #[must_use]
    pub fn new(seed: u64, rates: FaultRates) -> Self {
        Self {
            store: Store::new(),
            rates,
            down: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
            delayed: Vec::new(),
        }
    }

    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }

    /// Applies one of the delayed writes, chosen at random.
    pub fn deliver_delayed_write(&mut self) {
        if self.delayed.is_empty() {
            return;
        }
        let index = self.rng.random_range(..self.delayed.len());
        let call = self.delayed.swap_remove(index);
        self.serve(call);
    }

    /// Answers a call, possibly with a fault.
    pub fn call(&mut self, call: Call) -> Reply {
        if self.chance(Self::DELIVERY_RATE) {
            self.deliver_delayed_write();
        }
        let write = matches!(call, Call::Swap { .. });
        if self.down {
            return if write && self.chance(0.5) {
                Reply::Lost
            } else {
                Reply::Refused
            };
        }
        if self.chance(self.rates.refused) {
            return Reply::Refused;
        }
        if self.chance(self.rates.lost_before) {
            return Reply::Lost;
        }
        if self.chance(self.rates.lost_after) {
            self.serve(call);
            return Reply::Lost;
        }
        if write && self.chance(self.rates.delayed) && self.delayed.len() < Self::MAX_DELAYED {
            self.delayed.push(call);
            return Reply::Lost;
        }
        if let Call::Get { key } = &call
            && self.chance(self.rates.stale)
        {
            return Reply::Value(self.store.get_stale(key));
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
