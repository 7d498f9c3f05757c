//! The possible plans of a request, ordered by cost.

use fescuerack_config::key;

use super::estimate::{Estimate, RATING_HISTOGRAM_BINS};

/// Standard errors between the mean and the lower bound of an estimate: about 9 in 10 bounds lie
/// below the true quality.
pub const LOWER_BOUND_STANDARD_ERRORS: f64 = 1.28;
/// Standard errors by which the target must exceed the mean of an estimate for the version to
/// count as certain to miss it.
pub const CERTAIN_MISS_ERRORS: f64 = 3.0;

/// A version that may answer.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Version.
    pub version: key::Version,
    /// Quality of its answers in the class of the request.
    pub estimate: Estimate,
    /// Expected cost of one answer in micro-euro.
    pub cost: f64,
    /// Expected latency of a complete answer in milliseconds, at the 95th percentile.
    pub answer_ms: f64,
}

/// The constraints on a plan.
#[derive(Clone, Copy, Debug)]
pub struct Constraints {
    /// Target quality.
    pub quality: f64,
    /// Whether an answer may be held back, rated and replaced by that of another version.
    pub cascade: bool,
    /// Milliseconds within which a cascade must return its answer: the target for the first token
    /// of a stream, or for the complete answer.
    pub max_latency_ms: f64,
    /// Expected latency of a rating in milliseconds.
    pub rating_ms: f64,
    /// Standard errors between the mean and the lower bound of an estimate.
    pub confidence: f64,
}

/// The steps of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Steps {
    /// One version answers.
    Direct(key::Version),
    /// `first` answers and its answer is rated; it is returned if the rating is at least `accept`,
    /// otherwise `second` answers.
    Cascade {
        /// Cheap version.
        first: key::Version,
        /// More expensive version.
        second: key::Version,
        /// Lowest rating of an answer that is returned.
        accept: f64,
    },
}

/// The reason why a plan may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Its lower bound meets the target of the class.
    Bound,
    /// No plan's lower bound meets the target, but the expected quality of this one does.
    Expected,
    /// No plan's expected quality meets the target, but that of this one may do so. The request is
    /// in the small random share that explores.
    Probe,
    /// The organisation accepts an answer below the target rather than none.
    BelowTargetAllowed,
    /// The session keeps this version; the target was checked at its start.
    Session,
    /// The caller named the model or the version; no target applies.
    Named,
}

/// One way to answer a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Reason why it may run.
    pub basis: Basis,
    /// Steps.
    pub steps: Steps,
    /// Lower confidence bound of its quality.
    pub bound: f64,
    /// Expected cost in micro-euro.
    pub cost: f64,
}

impl Plan {
    /// Returns the version that answers first, which the session keeps.
    #[must_use]
    pub fn first(&self) -> key::Version {
        match self.steps {
            Steps::Direct(version) | Steps::Cascade { first: version, .. } => version,
        }
    }
}

/// Returns every plan that satisfies `constraints`, cheapest first.
#[must_use]
pub fn plan(candidates: &[Candidate], constraints: Constraints) -> Vec<Plan> {
    let mut plans: Vec<Plan> = candidates
        .iter()
        .map(|candidate| direct(candidate, constraints.confidence))
        .filter(|plan| plan.bound >= constraints.quality)
        .collect();
    if constraints.cascade {
        for first in candidates {
            for second in candidates {
                plans.extend(cascade(first, second, constraints));
            }
        }
    }
    plans.sort_by(|one, other| one.cost.total_cmp(&other.cost));
    plans
}

/// Returns the plan in which one version answers.
#[must_use]
pub fn direct(candidate: &Candidate, confidence: f64) -> Plan {
    Plan {
        basis: Basis::Bound,
        steps: Steps::Direct(candidate.version),
        bound: candidate.estimate.bound(0, 0.0, confidence),
        cost: candidate.cost,
    }
}

/// Returns the cascade of two versions, if it satisfies `constraints`.
///
/// The lowest threshold that meets the target escalates least, so it is also the cheapest.
fn cascade(first: &Candidate, second: &Candidate, constraints: Constraints) -> Option<Plan> {
    let total_ms = first.answer_ms + constraints.rating_ms + second.answer_ms;
    if first.cost >= second.cost || total_ms > constraints.max_latency_ms {
        return None;
    }
    let fallback = second.estimate.bound(0, 0.0, constraints.confidence);
    let accept = first
        .estimate
        .threshold(constraints.quality, fallback, constraints.confidence)?;
    // Rounding in the threshold search must not admit a plan whose bound misses the target.
    let bound = first
        .estimate
        .bound(accept, fallback, constraints.confidence);
    if bound < constraints.quality {
        return None;
    }
    Some(Plan {
        basis: Basis::Bound,
        steps: Steps::Cascade {
            first: first.version,
            second: second.version,
            accept: f64::from(u32::try_from(accept).ok()?)
                / f64::from(u32::try_from(RATING_HISTOGRAM_BINS).ok()?),
        },
        bound,
        cost: first.cost + first.estimate.share_below(accept) * second.cost,
    })
}
