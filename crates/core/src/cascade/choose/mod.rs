//! The choice of plans for one request.

mod explore;

use fescuerack_config::file::State;
use fescuerack_config::{Catalog, Class, Names, key};

use super::learner::Learner;
use super::plan::{self, Basis, Candidate, Constraints, LOWER_BOUND_STANDARD_ERRORS, Plan, Steps};
use crate::clock::Instant;
use crate::rollout::Registry;
use crate::session::{self, Placement};

/// The version, model or class of work that a caller requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selector {
    /// One version.
    Version(key::Version),
    /// Any version of a model.
    Model(key::Model),
    /// Any version that meets the target of a class of work.
    Class(key::Class),
}

/// The properties of a request that the choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Organisation of the caller.
    pub organisation: key::Organisation,
    /// Requested version, model or class.
    pub selector: Selector,
    /// Identifier of the session, or of the request if it has no session.
    pub session: &'a [u8],
    /// Version that the session is pinned to, if known.
    pub pinned: Option<key::Version>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Milliseconds until the deadline.
    pub remaining_ms: u32,
    /// Estimated number of input tokens.
    pub input_tokens: u64,
    /// Random number from 0 to 1 that decides whether the request explores.
    pub random: f64,
}

/// The state that the choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Active configuration.
    pub catalog: &'a Catalog,
    /// Names of the configured items.
    pub names: &'a Names,
    /// Roll-outs.
    pub rollouts: &'a Registry,
    /// Estimates of quality and latency.
    pub learner: &'a Learner,
    /// Current time.
    pub now: Instant,
}

/// The reason why no version may answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The organisation may not use what it requested.
    Forbidden,
    /// Every allowed version has been withdrawn.
    Withdrawn,
    /// The version takes no new sessions.
    Closed,
    /// No allowed version meets the target.
    BelowTarget,
}

/// The result of the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Plans in order of preference; the next one is tried when the pool of one has no server left.
    /// Never empty.
    pub plans: Vec<Plan>,
    /// Version of the session, and whether the session starts on it, keeps it or moves to it.
    pub place: Placement,
}

/// Chooses the plans of a request.
///
/// # Errors
///
/// A [`Refusal`] when no version may answer.
///
/// # Panics
///
/// When a plan would run a version that the organisation may not use or that is withdrawn, or would
/// miss the target without permission.
pub fn choose(context: Context<'_>, request: Request<'_>) -> Result<Choice, Refusal> {
    let chooser = Chooser { context, request };
    let pinned = request
        .pinned
        .filter(|version| chooser.is_allowed(*version));
    let mut plans = Vec::new();
    let withdrawn = |version| chooser.is_withdrawn(version);
    let place = session::place(pinned, withdrawn, || {
        plans = chooser.plans_for_new_session()?;
        Ok(plans[0].first())
    })?;
    if let Placement::Keep(version) = place {
        plans = chooser.plans_for_pinned_session(version);
    }
    chooser.check(&plans);
    Ok(Choice { plans, place })
}

#[derive(Clone, Copy)]
struct Chooser<'a> {
    context: Context<'a>,
    request: Request<'a>,
}

impl Chooser<'_> {
    fn is_allowed(&self, version: key::Version) -> bool {
        let organisations = &self.context.catalog.organisations;
        let entry = organisations.get(self.request.organisation);
        entry.is_some_and(|entry| entry.allowed.contains(&version))
            && self.context.catalog.versions.contains_key(version)
    }

    fn is_withdrawn(&self, version: key::Version) -> bool {
        self.context.rollouts.is_withdrawn(version)
            || self
                .context
                .catalog
                .versions
                .get(version)
                .is_none_or(|entry| entry.state == State::Withdrawn)
    }

    /// Returns whether the organisation accepts an answer below the target rather than none.
    fn may_miss(&self) -> bool {
        let organisations = &self.context.catalog.organisations;
        let entry = organisations.get(self.request.organisation);
        entry.is_some_and(|entry| entry.below_target)
    }

    fn class(&self) -> Option<(key::Class, &Class)> {
        match self.request.selector {
            Selector::Class(class) => Some((class, self.context.catalog.classes.get(class)?)),
            Selector::Version(_) | Selector::Model(_) => None,
        }
    }

    /// Returns the version of a model that a new session starts on.
    fn start_version(&self, model: key::Model) -> Option<key::Version> {
        let catalog = self.context.catalog;
        if let Some(split) = self.context.rollouts.version_split(self.context.now, model) {
            let name = self.context.names.models.name(model);
            let position = session::position(name, self.request.session);
            let start = session::starting_version(split, position);
            // An organisation that may not use the candidate stays on the current version.
            return Some(if self.is_allowed(start) {
                start
            } else {
                split.current
            });
        }
        let versions = catalog.models.get(model)?.iter().rev();
        let mut open = versions.filter(|version| self.check_open(**version).is_ok());
        open.next().or(catalog.models.get(model)?.last()).copied()
    }

    /// Returns the reason for refusing a new session on `version`, if there is one.
    fn check_open(&self, version: key::Version) -> Result<(), Refusal> {
        if !self.is_allowed(version) {
            return Err(Refusal::Forbidden);
        }
        if self.is_withdrawn(version) {
            return Err(Refusal::Withdrawn);
        }
        match self.context.catalog.versions[version].state {
            State::Closed => Err(Refusal::Closed),
            State::Open | State::Withdrawn => Ok(()),
        }
    }

    /// Returns the plans of a request that starts a session or has none.
    fn plans_for_new_session(&self) -> Result<Vec<Plan>, Refusal> {
        let models: &[key::Model] = match &self.request.selector {
            Selector::Version(version) => {
                self.check_open(*version)?;
                return Ok(vec![named(*version)]);
            }
            Selector::Model(model) => std::slice::from_ref(model),
            Selector::Class(_) => self.class().map_or(&[], |(_, class)| &class.models),
        };
        let mut refusal = Refusal::Forbidden;
        let mut versions = Vec::new();
        for model in models {
            match self
                .start_version(*model)
                .map(|version| (version, self.check_open(version)))
            {
                Some((version, Ok(()))) => versions.push(version),
                Some((_, Err(reason))) if refusal == Refusal::Forbidden => refusal = reason,
                _ => {}
            }
        }
        let Some((class, entry)) = self.class() else {
            let version = versions.first().copied().ok_or(refusal)?;
            return Ok(vec![named(version)]);
        };
        if versions.is_empty() {
            return Err(refusal);
        }
        let candidates: Vec<_> = versions
            .iter()
            .map(|version| self.candidate(class, *version))
            .collect();
        let constraints = self.constraints(entry);
        let mut plans = plan::plan(&candidates, constraints);
        if plans.is_empty() && self.may_miss() {
            let direct = |candidate| Plan {
                basis: Basis::BelowTargetAllowed,
                ..plan::direct(candidate, LOWER_BOUND_STANDARD_ERRORS)
            };
            plans = candidates.iter().map(direct).collect();
            plans.sort_by(|one, other| other.bound.total_cmp(&one.bound));
        }
        if plans.is_empty() {
            return self.uncertain_plans(entry, constraints, &candidates);
        }
        self.explore(entry, constraints, &candidates, &mut plans);
        Ok(plans)
    }

    /// Returns the plans of a request whose session keeps `version`.
    ///
    /// The target was checked when the session started. If the lower bound of the version is below
    /// the target now, its answer is rated and escalated where the class allows it.
    fn plans_for_pinned_session(&self, version: key::Version) -> Vec<Plan> {
        let Some((class, entry)) = self.class() else {
            return vec![named(version)];
        };
        let mut candidates = vec![self.candidate(class, version)];
        for model in &entry.models {
            match self.start_version(*model) {
                Some(other) if other != version && self.check_open(other).is_ok() => {
                    candidates.push(self.candidate(class, other));
                }
                _ => {}
            }
        }
        let all = plan::plan(&candidates, self.constraints(entry));
        let with_version = all.iter().filter(|plan| plan.first() == version);
        let mut plans: Vec<Plan> = with_version.copied().collect();
        if plans.is_empty() && entry.cascade {
            // No plan that starts with this version meets the constraints, for example because its
            // answers cannot be rated now. Another version answers, as after an escalation, and the
            // session keeps its version.
            plans = all;
        }
        if plans.is_empty() {
            plans.push(Plan {
                basis: Basis::Session,
                ..plan::direct(&candidates[0], LOWER_BOUND_STANDARD_ERRORS)
            });
        }
        plans.truncate(1);
        plans
    }

    /// Returns the version whose estimate applies to `version`: for the candidate of a roll-out,
    /// the current version.
    ///
    /// The roll-out protects callers from a bad candidate with an exposure budget of its own. If a
    /// few bad ratings also removed the candidate from the plans, its sessions would move to a more
    /// expensive model and the canary analysis would receive no evidence to reach a verdict.
    fn estimated_as(&self, version: key::Version) -> key::Version {
        let model = self.context.catalog.versions[version].model;
        let canary = self.context.rollouts.canary(model);
        let canary = canary.filter(|canary| canary.candidate == version);
        canary.map_or(version, |canary| canary.current)
    }

    /// Returns a version with its estimated quality, cost and latency for this request.
    fn candidate(&self, class: key::Class, version: key::Version) -> Candidate {
        let Context {
            catalog, learner, ..
        } = self.context;
        let price = catalog.versions[version].cost;
        let input = u32::try_from(self.request.input_tokens).unwrap_or(u32::MAX);
        let per_token = |micro: u64| f64::from(u32::try_from(micro).unwrap_or(u32::MAX)) / 1000.0;
        Candidate {
            version,
            estimate: learner.estimate(catalog, class, self.estimated_as(version)),
            cost: per_token(price.input) * f64::from(input)
                + per_token(price.output) * learner.expected_output_tokens(class),
            answer_ms: learner.expected_answer_ms(class, version),
        }
    }

    fn constraints(&self, class: &Class) -> Constraints {
        let complete_ms = u32::try_from(class.deadline_ms).unwrap_or(u32::MAX);
        let first_token_ms = u32::try_from(class.first_token_ms).unwrap_or(u32::MAX);
        let target_ms = if self.request.stream {
            first_token_ms
        } else {
            complete_ms
        };
        Constraints {
            quality: class.quality,
            cascade: class.cascade && self.context.learner.can_rate(self.context.now),
            max_latency_ms: f64::from(target_ms.min(self.request.remaining_ms)),
            rating_ms: self.context.learner.expected_rating_ms(),
            confidence: LOWER_BOUND_STANDARD_ERRORS,
        }
    }

    /// Asserts the invariants of a choice.
    fn check(&self, plans: &[Plan]) {
        assert!(!plans.is_empty(), "a choice without a plan");
        let target = self.class().map_or(0.0, |(_, class)| class.quality);
        for plan in plans {
            let versions = match plan.steps {
                Steps::Direct(version) => [version, version],
                Steps::Cascade { first, second, .. } => [first, second],
            };
            for version in versions {
                assert!(
                    self.is_allowed(version),
                    "a version that is not allowed would run"
                );
                assert!(
                    !self.is_withdrawn(version),
                    "a withdrawn version would get new work"
                );
            }
            let meets = match plan.basis {
                Basis::Bound | Basis::Expected => plan.bound >= target,
                Basis::Probe => self.may_probe(),
                Basis::BelowTargetAllowed => self.may_miss(),
                Basis::Session => self.request.pinned == Some(plan.first()),
                Basis::Named => self.class().is_none(),
            };
            assert!(meets, "a plan would miss the target without permission");
        }
    }
}

/// Returns the plan of a request that names the version or its model.
fn named(version: key::Version) -> Plan {
    Plan {
        basis: Basis::Named,
        steps: Steps::Direct(version),
        bound: 0.0,
        cost: 0.0,
    }
}
