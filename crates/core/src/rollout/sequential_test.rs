//! Sequential test of whether the candidate is worse than the current version.
//!
//! Each channel (errors, crashes, late answers, ratings) is a stream of good and bad outcomes. The
//! test bets that bad outcomes of the candidate are more frequent than `base`, the rate of the
//! current version: with a bet of the fraction `c`, the wealth is multiplied by `1 - c` at a good
//! outcome and by `1 + c (1 - base) / base` at a bad one. If the candidate is not worse, the
//! expected wealth never grows, so a large wealth is evidence no matter when it is inspected (an
//! e-process; Ville's inequality). The best bet against a version whose bad outcomes are more
//! frequent by `d` is about `c = d`; the mixture over [`BET_FRACTIONS`] needs no estimate of `d`.
//!
//! After a thousand good answers, the wealth against a version is almost zero, which would delay
//! the rejection of a version that degrades then. So every wealth is reset to 1 when it falls below
//! 1 (an e-detector in the manner of CUSUM): the evidence counts from the moment of the change.
//!
//! The wealth is a function of counters, so the counters of peers can be added as they arrive.

use serde::Serialize;

/// Fractions of the wealth that are bet, each the best one against an equal excess in the rate of
/// bad outcomes.
pub const BET_FRACTIONS: [f64; 5] = [0.03, 0.08, 0.2, 0.5, 0.9];
/// Natural logarithm of the wealth at which a candidate is rejected.
///
/// At the lowest base rate, 3 bad answers in a row reject a candidate, while few good roll-outs in
/// a thousand are halted (see `benches/versions`).
pub const REJECT_LOG_EVIDENCE: f64 = 9.7;
/// Natural logarithm of the likelihood ratio at which a stage counts as passed: 20 to 1 that the
/// candidate is not worse by [`NON_INFERIORITY_MARGIN`].
pub const PASS_LOG_RATIO: f64 = 3.0;
/// Excess in the rate of bad outcomes that a stage must rule out before the next one starts.
pub const NON_INFERIORITY_MARGIN: f64 = 0.05;

/// Evidence that a candidate is worse, on one channel.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Detector {
    #[serde(rename = "stakes")]
    log_wealth: [f64; BET_FRACTIONS.len()],
}

impl Detector {
    /// Adds outcomes of the candidate; `base` is the rate of bad outcomes of the current version.
    ///
    /// # Panics
    ///
    /// When `base` is not a rate between 0 and 1.
    pub fn add(&mut self, base: f64, good: u32, bad: u32) {
        assert!(base > 0.0 && base < 1.0, "a base rate outside 0 to 1");
        for (wealth, bet) in self.log_wealth.iter_mut().zip(BET_FRACTIONS) {
            let won = f64::from(bad) * (bet * (1.0 - base) / base).ln_1p();
            let lost = f64::from(good) * (-bet).ln_1p();
            *wealth = (*wealth + won + lost).max(0.0);
        }
    }

    /// Returns the natural logarithm of the mean wealth over all bets.
    #[must_use]
    pub fn evidence(&self) -> f64 {
        let highest = self.log_wealth.iter().copied().fold(0.0, f64::max);
        let sum: f64 = self
            .log_wealth
            .iter()
            .map(|wealth| (wealth - highest).exp())
            .sum();
        highest + (sum / f64::from(u32::try_from(BET_FRACTIONS.len()).unwrap_or(1))).ln()
    }

    /// Returns whether the candidate is rejected.
    #[must_use]
    pub fn rejects(&self) -> bool {
        self.evidence() >= REJECT_LOG_EVIDENCE
    }
}

/// Returns whether `good` and `bad` outcomes rule out, with odds of 20 to 1, that the candidate is
/// worse than `base` by [`NON_INFERIORITY_MARGIN`] (Wald's likelihood ratio).
#[must_use]
pub fn passes(base: f64, good: u32, bad: u32) -> bool {
    let worse = (base + NON_INFERIORITY_MARGIN).min(0.99);
    let ratio = f64::from(bad) * (base / worse).ln()
        + f64::from(good) * ((1.0 - base) / (1.0 - worse)).ln();
    ratio >= PASS_LOG_RATIO
}

/// The rate of bad outcomes of the current version, weighted towards recent ones: a failure of the
/// platform that affects both versions must not be attributed to the candidate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Base {
    floor: f64,
    outcomes: f64,
    bad: f64,
}

impl Base {
    /// Number of outcomes after which the weight of an old one has decayed to about a third.
    const DECAY_OUTCOMES: f64 = 1000.0;
    /// Weight of the floor as the prior, in outcomes.
    const PRIOR_OUTCOMES: f64 = 100.0;
    /// Factor by which the candidate's rate may exceed this one and still count as no worse.
    const TOLERATED_RATE_RATIO: f64 = 1.25;
    /// Highest rate to test against.
    const MAX_RATE: f64 = 0.6;

    /// Creates a rate that never falls below `floor`.
    #[must_use]
    pub fn new(floor: f64) -> Self {
        Self {
            floor,
            outcomes: Self::PRIOR_OUTCOMES,
            bad: Self::PRIOR_OUTCOMES * floor,
        }
    }

    /// Adds outcomes of the current version.
    pub fn add(&mut self, outcomes: u32, bad: u32) {
        let keep = (-f64::from(outcomes) / Self::DECAY_OUTCOMES).exp();
        self.outcomes = self.outcomes * keep + f64::from(outcomes);
        self.bad = self.bad * keep + f64::from(bad);
    }

    /// Returns the rate to test against.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let rate = (self.bad / self.outcomes).max(self.floor);
        (rate * Self::TOLERATED_RATE_RATIO).min(Self::MAX_RATE)
    }
}
