//! The sequential test: is the candidate worse than the version of today?
//!
//! Each channel (errors, crashes, lateness, ratings) is a stream of good and
//! bad outcomes. A bet is laid that the bad ones are more frequent than
//! `base`, the rate of the current version: with a bet `c` the stake becomes
//! `1 - c` times as large with a good outcome and `1 + c (1 - base) / base`
//! times with a bad one. If the candidate is no worse, the expected stake
//! never grows, so a large one is evidence at whatever moment somebody looks
//! (an e-process; Ville's inequality). The best bet against a version whose
//! bad outcomes are more frequent by `d` is about `c = d`; the mixture over
//! [`BETS`] needs no guess of `d`.
//!
//! A version that turns bad after a thousand good answers has lost all its
//! stakes by then. So every stake is put back to 1 when it falls below (an
//! e-detector in the manner of CUSUM): the evidence then counts from the
//! moment of the change.
//!
//! The stakes are a function of counts, so that the counts of peers can be
//! added as they arrive.

use serde::Serialize;

/// Bets, each the best one against an excess of that many bad outcomes in one.
pub const BETS: [f64; 5] = [0.03, 0.08, 0.2, 0.5, 0.9];
/// Natural logarithm of the stake at which a candidate is rejected. Measured
/// in `benches/versions.rs`: 3 bad answers in a row reject at the least base
/// rate, and few good roll-outs in a thousand are halted.
pub const REJECT_LOG_EVIDENCE: f64 = 9.7;
/// Natural logarithm of the likelihood ratio at which a stage counts as
/// passed: 20 to 1 that the candidate is not worse by [`MARGIN`].
pub const PASS: f64 = 3.0;
/// Excess of bad outcomes that a stage must rule out before the next one.
pub const MARGIN: f64 = 0.05;

/// Evidence that a candidate is worse, on one channel.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Detector {
    stakes: [f64; BETS.len()],
}

impl Detector {
    /// Adds outcomes against the current version's rate of bad ones, `base`.
    ///
    /// # Panics
    ///
    /// When `base` is not a rate between 0 and 1.
    pub fn add(&mut self, base: f64, good: u32, bad: u32) {
        assert!(base > 0.0 && base < 1.0, "a base rate outside 0 to 1");
        for (stake, bet) in self.stakes.iter_mut().zip(BETS) {
            let won = f64::from(bad) * (bet * (1.0 - base) / base).ln_1p();
            let lost = f64::from(good) * (-bet).ln_1p();
            *stake = (*stake + won + lost).max(0.0);
        }
    }

    /// Returns the natural logarithm of the mixed stake.
    #[must_use]
    pub fn evidence(&self) -> f64 {
        let highest = self.stakes.iter().copied().fold(0.0, f64::max);
        let sum: f64 = self
            .stakes
            .iter()
            .map(|stake| (stake - highest).exp())
            .sum();
        highest + (sum / f64::from(u32::try_from(BETS.len()).unwrap_or(1))).ln()
    }

    /// Returns whether the candidate is rejected.
    #[must_use]
    pub fn rejects(&self) -> bool {
        self.evidence() >= REJECT_LOG_EVIDENCE
    }
}

/// Returns whether `good` and `bad` outcomes rule out, 20 to 1, that the
/// candidate is worse than `base` by [`MARGIN`] (Wald's likelihood ratio).
#[must_use]
pub fn passes(base: f64, good: u32, bad: u32) -> bool {
    let worse = (base + MARGIN).min(0.99);
    let ratio = f64::from(bad) * (base / worse).ln()
        + f64::from(good) * ((1.0 - base) / (1.0 - worse)).ln();
    ratio >= PASS
}

/// The current version's rate of bad outcomes, recent ones counting most: a
/// failure of the platform that hits both versions must not be blamed on the
/// candidate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Base {
    floor: f64,
    outcomes: f64,
    bad: f64,
}

impl Base {
    /// Outcomes after which an old one counts a third.
    const MEMORY: f64 = 1000.0;
    /// Outcomes that the floor is worth before any have been seen.
    const PRIOR: f64 = 100.0;
    /// A candidate this much worse is still taken for no worse.
    const TOLERANCE: f64 = 1.25;
    /// Highest rate that is tested against.
    const CEILING: f64 = 0.6;

    /// Creates a rate that never falls below `floor`.
    #[must_use]
    pub fn new(floor: f64) -> Self {
        Self {
            floor,
            outcomes: Self::PRIOR,
            bad: Self::PRIOR * floor,
        }
    }

    /// Adds outcomes of the current version.
    pub fn add(&mut self, outcomes: u32, bad: u32) {
        let keep = (-f64::from(outcomes) / Self::MEMORY).exp();
        self.outcomes = self.outcomes * keep + f64::from(outcomes);
        self.bad = self.bad * keep + f64::from(bad);
    }

    /// Returns the rate to test against.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let rate = (self.bad / self.outcomes).max(self.floor);
        (rate * Self::TOLERANCE).min(Self::CEILING)
    }
}
