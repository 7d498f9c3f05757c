//! The plans of a request, cheapest first.

use fescuerack_config::key;

use super::estimate::{BINS, Estimate};

/// Standard errors between an estimate and its lower bound: about 9 in 10
/// bounds lie below the truth.
pub const CONFIDENCE: f64 = 1.28;
/// Standard errors above its estimate from which a version surely misses the
/// target.
pub const CERTAIN_MISS_ERRORS: f64 = 3.0;

/// A version that may answer.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The version.
    pub version: key::Version,
    /// What its answers are like in the request's class.
    pub estimate: Estimate,
    /// Expected cost of one answer in micro-euro.
    pub cost: f64,
    /// Milliseconds within which the whole answer is expected.
    pub answer_ms: f64,
}

/// What a plan must keep to.
#[derive(Clone, Copy, Debug)]
pub struct Constraints {
    /// Least expected quality.
    pub quality: f64,
    /// Whether answers may be held back, rated and escalated.
    pub cascade: bool,
    /// Milliseconds within which a cascade must have handed on its answer: the
    /// need for the first token of a stream, or for the whole answer.
    pub within_ms: f64,
    /// Milliseconds that a rating takes.
    pub rating_ms: f64,
    /// Standard errors between estimates and bounds.
    pub confidence: f64,
}

/// The steps of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Steps {
    /// One version answers.
    Direct(key::Version),
    /// `first` answers, is rated, and is handed on from `accept` upwards;
    /// otherwise `second` answers.
    Cascade {
        /// Cheap version.
        first: key::Version,
        /// Dearer version.
        second: key::Version,
        /// Least rating that is handed on.
        accept: f64,
    },
}

/// Why a plan may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Its bound meets the target of the class.
    Bound,
    /// No plan's bound meets the target; this one's expected quality does.
    Expected,
    /// No plan's expected quality meets the target; this one's may, and the
    /// request is among the few that find out.
    Probe,
    /// The organisation takes an answer below the target rather than none.
    BelowTargetAllowed,
    /// The session keeps this version; the target was judged at its start.
    Session,
    /// The caller named the model or the version; no target applies.
    Named,
}

/// A plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Why it may run.
    pub basis: Basis,
    /// Its steps.
    pub steps: Steps,
    /// Lower bound of its quality.
    pub bound: f64,
    /// Expected cost in micro-euro.
    pub cost: f64,
}

impl Plan {
    /// Returns the version that answers first; a session keeps it.
    #[must_use]
    pub fn first(&self) -> key::Version {
        match self.steps {
            Steps::Direct(version) | Steps::Cascade { first: version, .. } => version,
        }
    }
}

/// Returns every plan that keeps to `limits`, cheapest first.
#[must_use]
pub fn plan(candidates: &[Candidate], limits: Constraints) -> Vec<Plan> {
    let mut plans: Vec<Plan> = candidates
        .iter()
        .map(|candidate| direct(candidate, limits.confidence))
        .filter(|plan| plan.bound >= limits.quality)
        .collect();
    if limits.cascade {
        for first in candidates {
            for second in candidates {
                plans.extend(cascade(first, second, limits));
            }
        }
    }
    plans.sort_by(|one, other| one.cost.total_cmp(&other.cost));
    plans
}

/// Returns the plan that lets one version answer.
#[must_use]
pub fn direct(candidate: &Candidate, confidence: f64) -> Plan {
    Plan {
        basis: Basis::Bound,
        steps: Steps::Direct(candidate.version),
        bound: candidate.estimate.bound(0, 0.0, confidence),
        cost: candidate.cost,
    }
}

/// The lowest threshold that meets the target escalates least, so it is also
/// the cheapest.
fn cascade(first: &Candidate, second: &Candidate, limits: Constraints) -> Option<Plan> {
    let held_ms = first.answer_ms + limits.rating_ms + second.answer_ms;
    if first.cost >= second.cost || held_ms > limits.within_ms {
        return None;
    }
    let instead = second.estimate.bound(0, 0.0, limits.confidence);
    let accept = first
        .estimate
        .threshold(limits.quality, instead, limits.confidence)?;
    // Rounding must not let a plan through that its own bound denies.
    let bound = first.estimate.bound(accept, instead, limits.confidence);
    if bound < limits.quality {
        return None;
    }
    Some(Plan {
        basis: Basis::Bound,
        steps: Steps::Cascade {
            first: first.version,
            second: second.version,
            accept: f64::from(u32::try_from(accept).ok()?) / f64::from(u32::try_from(BINS).ok()?),
        },
        bound,
        cost: first.cost + first.estimate.below(accept) * second.cost,
    })
}
