//! Exploration: plans that use a version whose quality is uncertain.

use fescuerack_config::Class;

use super::{Chooser, Refusal};
use crate::cascade::estimate::RATING_HISTOGRAM_BINS;
use crate::cascade::plan::{self, Basis, CERTAIN_MISS_ERRORS, Candidate, Constraints, Plan, Steps};

impl Chooser<'_> {
    /// Returns the plans when no lower bound meets the target.
    ///
    /// The target is an expected quality, so a plan whose expected quality meets it runs. Otherwise
    /// a version slightly above the target would be refused whenever its ratings happen to drop. If
    /// there is no such plan, a few requests probe a version to detect a wrong estimate, since a
    /// class that is always refused would never be rated again.
    pub(super) fn uncertain_plans(
        &self,
        class: &Class,
        constraints: Constraints,
        candidates: &[Candidate],
    ) -> Result<Vec<Plan>, Refusal> {
        let constraints = Constraints {
            confidence: 0.0,
            ..constraints
        };
        let mut plans = plan::plan(candidates, constraints);
        for plan in &mut plans {
            plan.basis = Basis::Expected;
        }
        if plans.is_empty() && self.may_probe() {
            let may_meet = |candidate: &&Candidate| {
                candidate.estimate.bound(0, 0.0, -CERTAIN_MISS_ERRORS) >= class.quality
            };
            let probes = candidates.iter().filter(may_meet).map(|candidate| Plan {
                basis: Basis::Probe,
                ..plan::direct(candidate, 0.0)
            });
            plans.extend(probes.max_by(|one, other| one.bound.total_cmp(&other.bound)));
        }
        if plans.is_empty() {
            return Err(Refusal::BelowTarget);
        }
        Ok(plans)
    }

    /// Returns whether this request is in the random share that explores.
    pub(super) fn may_probe(&self) -> bool {
        self.class()
            .is_some_and(|(_, class)| self.request.random < class.explore)
    }

    /// Adds a plan that explores a cheaper version than that of the best plan, for a small random
    /// share of requests.
    ///
    /// The answer is rated before it is returned. This detects a version that has become better
    /// than its estimate. The candidate of a roll-out is never explored, since its answers count
    /// towards the exposure budget.
    pub(super) fn explore(
        &self,
        class: &Class,
        constraints: Constraints,
        candidates: &[Candidate],
        plans: &mut Vec<Plan>,
    ) {
        let best = plans[0];
        if !constraints.cascade || self.request.random >= class.explore {
            return;
        }
        let Steps::Direct(second) = best.steps else {
            return;
        };
        let Some(expensive) = candidates
            .iter()
            .find(|candidate| candidate.version == second)
        else {
            return;
        };
        let cheaper = candidates.iter().find(|candidate| {
            let total_ms = candidate.answer_ms + constraints.rating_ms + expensive.answer_ms;
            candidate.cost < expensive.cost
                && total_ms <= constraints.max_latency_ms
                && self.estimated_as(candidate.version) == candidate.version
        });
        let Some(first) = cheaper else {
            return;
        };
        let bins = f64::from(u32::try_from(RATING_HISTOGRAM_BINS).unwrap_or(1));
        let accept = (class.quality * bins).ceil() / bins;
        let steps = Steps::Cascade {
            first: first.version,
            second,
            accept,
        };
        // The returned answer either was rated at or above the target or comes from the version of
        // the best plan, so the bound and the basis of that plan apply.
        plans.insert(0, Plan { steps, ..best });
    }
}
