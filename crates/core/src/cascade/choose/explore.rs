//! Plans that try a version whose quality is uncertain.

use fescuerack_config::Class;

use super::{Chooser, Refusal};
use crate::cascade::estimate::BINS;
use crate::cascade::plan::{self, Basis, CERTAIN_MISS_ERRORS, Candidate, Constraints, Plan, Steps};

impl Chooser<'_> {
    /// Plans when no bound meets the target. The target is an expected quality:
    /// a plan that is expected to meet it runs, or a version a little above
    /// the target would be refused whenever its ratings happen to dip. Below
    /// that a few requests find out whether the estimate is wrong, since a
    /// class that is refused altogether would never be rated again.
    pub(super) fn uncertain(
        &self,
        class: &Class,
        limits: Constraints,
        candidates: &[Candidate],
    ) -> Result<Vec<Plan>, Refusal> {
        let limits = Constraints {
            confidence: 0.0,
            ..limits
        };
        let mut plans = plan::plan(candidates, limits);
        for plan in &mut plans {
            plan.basis = Basis::Expected;
        }
        if plans.is_empty() && self.may_probe() {
            let may = |candidate: &&Candidate| {
                candidate.estimate.bound(0, 0.0, -CERTAIN_MISS_ERRORS) >= class.quality
            };
            let probes = candidates.iter().filter(may).map(|candidate| Plan {
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

    /// Returns whether this request is among the few that may try.
    pub(super) fn may_probe(&self) -> bool {
        self.class()
            .is_some_and(|(_, class)| self.request.random < class.explore)
    }

    /// Now and then tries a cheaper version than the best plan's, with its
    /// answer rated before it is handed on, so that a version that has become
    /// better than it was thought is found. A candidate of a roll-out is never
    /// tried: its exposure is counted.
    pub(super) fn explore(
        &self,
        class: &Class,
        limits: Constraints,
        candidates: &[Candidate],
        plans: &mut Vec<Plan>,
    ) {
        let best = plans[0];
        if !limits.cascade || self.request.random >= class.explore {
            return;
        }
        let Steps::Direct(second) = best.steps else {
            return;
        };
        let Some(dear) = candidates
            .iter()
            .find(|candidate| candidate.version == second)
        else {
            return;
        };
        let cheaper = candidates.iter().find(|candidate| {
            let held_ms = candidate.answer_ms + limits.rating_ms + dear.answer_ms;
            candidate.cost < dear.cost
                && held_ms <= limits.within_ms
                && self.judged_as(candidate.version) == candidate.version
        });
        let Some(first) = cheaper else {
            return;
        };
        let bins = f64::from(u32::try_from(BINS).unwrap_or(1));
        let accept = (class.quality * bins).ceil() / bins;
        let steps = Steps::Cascade {
            first: first.version,
            second,
            accept,
        };
        // What is handed on was rated at the target or is the best plan's.
        plans.insert(0, Plan { steps, ..best });
    }
}
