//! Whose fault the end of a server is.
//!
//! One request crashes a server, and tens to hundreds of others run there. Each end is therefore
//! weighed for each of these runs: how unlikely is it that a sound run is met by an end at such a
//! moment by chance?
//!
//! - A poison request crashes its server when the answer begins. A run that has been written for
//!   [`WRITING_ON_MS`] or longer is a bystander, and the end says nothing against it.
//! - A run that has just begun is met by chance with the probability that a server ends within
//!   [`WRITING_ON_MS`], by the [`Hazard`] that this node has seen lately.
//! - A run without a head may not have begun. The chance that it is met grows with the time that it
//!   waits, and a stream that crashes its server mostly shows its head before.
//! - Runs that have lost their server begin anew together, with the one at fault among them. What is
//!   met then is no chance, so it is at least as likely as the share of the other runs on the server
//!   that were in the same phase.
//!
//! - A run with a [permit](super::permit) begins alone, so its company says nothing of it.
//!
//! The [`Weight`] of an end is the logarithm of the inverse of that chance, and the weights of one
//! key add up: in a calm fleet three ends suffice, while servers end one after the other it takes
//! more.
//!
//! # Errors
//!
//! A sound key whose runs are met by chance reaches [`REFUSAL_WEIGHT`] with a probability of at most
//! one in 10,000 between two proofs: the product of the inverse chances is a martingale, which
//! reaches `n` times its start with a probability of at most `1 / n`. That holds as far as the chance
//! is estimated well. It does not for a block that is only sent together with one that crashes
//! servers, nor where this node has one run on each server and requests follow the one at fault from
//! server to server; such requests are therefore [spread](super::Suspects::is_in_doubt).
//!
//! A key that crashes servers is missed if they end [`WRITING_ON_MS`] or longer after the head, or
//! if servers end so often that the weights are near zero.

use serde::{Deserialize, Serialize};

use super::company::Company;
use crate::clock::Instant;

/// Milliseconds after the head from which on a run has not crashed its server: the first five
/// tokens at the planned pace of 58 ms.
pub const WRITING_ON_MS: u64 = 300;
/// Weight from which a key is refused: the logarithm of 10,000, as one in as many sound keys may be.
pub const REFUSAL_WEIGHT: Weight = Weight(921);
/// Part of the crashes under a stream whose head has not been received before.
const HEADLESS_SHARE: f64 = 0.25;
/// Minimum wait in milliseconds that a run without a head counts for.
const MIN_WAIT_MS: f64 = 50.0;
/// Number of other runs from which their phases say as much as the hazard.
const SMOOTHING_RUNS: f64 = 2.0;
/// Milliseconds in which the observed runs count for a third of what they counted for.
const HAZARD_WINDOW_MS: f64 = 10_000.0;
/// What a node assumes before it has seen anything: an end in 100 s of runs.
const PRIOR_ENDS: f64 = 1.0;
/// See [`PRIOR_ENDS`].
const PRIOR_RUN_MS: f64 = 100_000.0;

/// The weight of evidence against a key, in hundredths of a natural logarithm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Weight(pub u16);

impl Weight {
    /// Returns the weight of something that happens to a sound run with the probability `chance`.
    fn of_chance(chance: f64) -> Self {
        let hundredths = (-chance.ln() * 100.0).clamp(0.0, f64::from(u16::MAX));
        Self(u16::try_from(crate::num::whole(hundredths)).unwrap_or(u16::MAX))
    }

    /// Returns the sum of weights.
    #[must_use]
    pub fn sum(weights: impl Iterator<Item = Self>) -> Self {
        Self(weights.fold(0, |sum, weight| weight.0.saturating_add(sum)))
    }
}

/// A run whose server has ended.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// When the request was sent to the server.
    pub sent_at: Instant,
    /// When the head of the answer was received.
    pub head_at: Option<Instant>,
    /// Milliseconds that a request usually waits there for the head.
    pub usual_wait_ms: f64,
    /// Whether the answer is a stream, which begins long before it ends.
    pub is_stream: bool,
    /// What else ran on the server.
    pub company: Company,
    /// Whether it had [permits](super::permit), so it did not begin with others of its kind.
    pub has_permits: bool,
}

impl Run {
    /// Whether the run has been written for so long that it has not crashed its server.
    #[must_use]
    pub fn is_writing_on(&self, now: Instant) -> bool {
        let wrote = |head_at: Instant| now.millis_since(head_at) >= WRITING_ON_MS;
        self.head_at.is_some_and(wrote)
    }
}

/// Returns milliseconds as a floating-point number.
fn millis(millis: u64) -> f64 {
    f64::from(u32::try_from(millis).unwrap_or(u32::MAX))
}

/// How often the servers of this node's runs end, from what it has seen lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hazard {
    ends: f64,
    run_ms: f64,
    seen_at: Instant,
}

impl Hazard {
    /// Records a run that took `ran_ms`, and whether it ended with its server.
    pub fn record(&mut self, now: Instant, ran_ms: u64, is_broken: bool) {
        let rest = self.rest(now);
        self.run_ms = self.run_ms * rest + millis(ran_ms);
        self.ends = self.ends * rest + f64::from(u8::from(is_broken));
        self.seen_at = now;
    }

    /// Returns what is left of earlier observations.
    fn rest(&self, now: Instant) -> f64 {
        (-now.since(self.seen_at).as_secs_f64() * 1_000.0 / HAZARD_WINDOW_MS).exp()
    }

    /// Returns the probability that the server of a sound run ends within `span_ms`.
    fn chance(&self, now: Instant, span_ms: f64) -> f64 {
        let rest = self.rest(now);
        let ends = self.ends * rest + PRIOR_ENDS;
        let run_ms = self.run_ms * rest + PRIOR_RUN_MS;
        1.0 - (-ends / run_ms * span_ms).exp()
    }

    /// Weighs what the end of its server says of a run; `None` if nothing.
    #[must_use]
    pub fn weigh(&self, now: Instant, run: &Run) -> Option<Weight> {
        if run.is_writing_on(now) {
            return None;
        }
        let company = run.company;
        let (chance, alike) = if run.head_at.is_some() {
            (self.chance(now, millis(WRITING_ON_MS)), company.begun)
        } else {
            let waited_ms = now.since(run.sent_at).as_secs_f64() * 1_000.0;
            let wait_ms = waited_ms.max(run.usual_wait_ms).max(MIN_WAIT_MS);
            let share = if run.is_stream { HEADLESS_SHARE } else { 1.0 };
            (self.chance(now, wait_ms) / share, company.unanswered)
        };
        if run.has_permits {
            return Some(Weight::of_chance(chance));
        }
        let alike = (f64::from(alike) + chance * SMOOTHING_RUNS)
            / (f64::from(company.all) + SMOOTHING_RUNS);
        let weight = Weight::of_chance(chance.max(alike));
        (weight > Weight::default()).then_some(weight)
    }
}
