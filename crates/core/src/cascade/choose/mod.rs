//! The choice for one request.

mod explore;

use fescuerack_config::file::State;
use fescuerack_config::{Catalog, Class, Names, key};

use super::learner::Learner;
use super::plan::{self, Basis, CONFIDENCE, Candidate, Constraints, Plan, Steps};
use crate::clock::Instant;
use crate::rollout::Registry;
use crate::session::{self, Place};

/// What the caller asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selector {
    /// One version.
    Version(key::Version),
    /// Any version of a model.
    Model(key::Model),
    /// Whatever meets the target of a class of work.
    Class(key::Class),
}

/// A request as far as the choice needs it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Who asks.
    pub organisation: key::Organisation,
    /// What is asked for.
    pub selector: Selector,
    /// Identifier of the session, or of the request when it has none.
    pub session: &'a [u8],
    /// Version that the session is known to keep.
    pub pinned: Option<key::Version>,
    /// Whether the caller wants tokens as they come.
    pub stream: bool,
    /// Milliseconds until its deadline.
    pub remaining_ms: u32,
    /// Input tokens, estimated.
    pub input_tokens: u64,
    /// A random number from 0 to 1, which decides on exploration.
    pub random: f64,
}

/// What the choice rests on.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Configuration in force.
    pub catalog: &'a Catalog,
    /// Names.
    pub names: &'a Names,
    /// Roll-outs.
    pub rollouts: &'a Registry,
    /// Quality.
    pub learner: &'a Learner,
    /// Present time.
    pub now: Instant,
}

/// Why no version may answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The organisation may not use what it asked for.
    Forbidden,
    /// Every version that is allowed has been withdrawn.
    Withdrawn,
    /// The version takes no new session.
    Closed,
    /// No version that is allowed meets the target.
    BelowTarget,
}

/// What was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Plans, to be tried in this order when a pool has run out. Never empty.
    pub plans: Vec<Plan>,
    /// The session's version, and whether it starts, keeps it or moves.
    pub place: Place,
}

/// Chooses the plans of a request.
///
/// # Errors
///
/// A [`Refusal`] when no version may answer.
///
/// # Panics
///
/// When a plan would run a version that the organisation may not use or that
/// is withdrawn, or would miss the target without leave.
pub fn choose(context: Context<'_>, request: Request<'_>) -> Result<Choice, Refusal> {
    let chooser = Chooser { context, request };
    let pinned = request
        .pinned
        .filter(|version| chooser.is_allowed(*version));
    let mut plans = Vec::new();
    let withdrawn = |version| chooser.is_withdrawn(version);
    let place = session::place(pinned, withdrawn, || {
        plans = chooser.fresh()?;
        Ok(plans[0].first())
    })?;
    if let Place::Keep(version) = place {
        plans = chooser.kept(version);
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

    /// Returns whether an answer below the target is better than none.
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

    /// Returns the version of a model with which this session starts.
    fn version_of(&self, model: key::Model) -> Option<key::Version> {
        let catalog = self.context.catalog;
        if let Some(share) = self.context.rollouts.share(self.context.now, model) {
            let name = self.context.names.models.name(model);
            let position = session::position(name, self.request.session);
            let start = session::start(share, position);
            // Those who may not use the candidate stay on the current version.
            return Some(if self.is_allowed(start) {
                start
            } else {
                share.current
            });
        }
        let versions = catalog.models.get(model)?.iter().rev();
        let mut open = versions.filter(|version| self.is_open(**version).is_ok());
        open.next().or(catalog.models.get(model)?.last()).copied()
    }

    fn is_open(&self, version: key::Version) -> Result<(), Refusal> {
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

    /// Plans of a request whose session starts here.
    fn fresh(&self) -> Result<Vec<Plan>, Refusal> {
        let models: &[key::Model] = match &self.request.selector {
            Selector::Version(version) => {
                self.is_open(*version)?;
                return Ok(vec![named(*version)]);
            }
            Selector::Model(model) => std::slice::from_ref(model),
            Selector::Class(_) => self.class().map_or(&[], |(_, class)| &class.models),
        };
        let mut refusal = Refusal::Forbidden;
        let mut versions = Vec::new();
        for model in models {
            match self
                .version_of(*model)
                .map(|version| (version, self.is_open(version)))
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
        let limits = self.limits(entry);
        let mut plans = plan::plan(&candidates, limits);
        if plans.is_empty() && self.may_miss() {
            let leave = |candidate| Plan {
                basis: Basis::BelowTargetAllowed,
                ..plan::direct(candidate, CONFIDENCE)
            };
            plans = candidates.iter().map(leave).collect();
            plans.sort_by(|one, other| other.bound.total_cmp(&one.bound));
        }
        if plans.is_empty() {
            return self.uncertain(entry, limits, &candidates);
        }
        self.explore(entry, limits, &candidates, &mut plans);
        Ok(plans)
    }

    /// Plans of a request whose session keeps `version`. Whether the version
    /// meets the target was judged when the session started; here an answer of
    /// too low a bound is rated and escalated where the class allows it.
    fn kept(&self, version: key::Version) -> Vec<Plan> {
        let Some((class, entry)) = self.class() else {
            return vec![named(version)];
        };
        let mut candidates = vec![self.candidate(class, version)];
        for model in &entry.models {
            match self.version_of(*model) {
                Some(other) if other != version && self.is_open(other).is_ok() => {
                    candidates.push(self.candidate(class, other));
                }
                _ => {}
            }
        }
        let all = plan::plan(&candidates, self.limits(entry));
        let own = all.iter().filter(|plan| plan.first() == version);
        let mut plans: Vec<Plan> = own.copied().collect();
        if plans.is_empty() && entry.cascade {
            // Its answers cannot be judged now: this one comes from a dearer
            // version, as an escalated one would, and the session stays.
            plans = all;
        }
        if plans.is_empty() {
            plans.push(Plan {
                basis: Basis::Session,
                ..plan::direct(&candidates[0], CONFIDENCE)
            });
        }
        plans.truncate(1);
        plans
    }

    /// Returns the version whose ratings a version is judged by here: that of
    /// today for the candidate of a roll-out. Its trial guards the candidate,
    /// with a budget of its own; if a few bad ratings took it out of the
    /// plans as well, its sessions would go to a dearer model and the trial
    /// would get no evidence to end on.
    fn judged_as(&self, version: key::Version) -> key::Version {
        let model = self.context.catalog.versions[version].model;
        let trial = self.context.rollouts.canary(model);
        let trial = trial.filter(|trial| trial.candidate == version);
        trial.map_or(version, |trial| trial.current)
    }

    fn candidate(&self, class: key::Class, version: key::Version) -> Candidate {
        let Context {
            catalog, learner, ..
        } = self.context;
        let price = catalog.versions[version].cost;
        let input = u32::try_from(self.request.input_tokens).unwrap_or(u32::MAX);
        let rate = |micro: u64| f64::from(u32::try_from(micro).unwrap_or(u32::MAX)) / 1000.0;
        Candidate {
            version,
            estimate: learner.estimate(catalog, class, self.judged_as(version)),
            cost: rate(price.input) * f64::from(input)
                + rate(price.output) * learner.expected_output_tokens(class),
            answer_ms: learner.expected_answer_ms(class, version),
        }
    }

    fn limits(&self, class: &Class) -> Constraints {
        let whole = u32::try_from(class.deadline_ms).unwrap_or(u32::MAX);
        let first = u32::try_from(class.first_token_ms).unwrap_or(u32::MAX);
        let due = if self.request.stream { first } else { whole };
        Constraints {
            quality: class.quality,
            cascade: class.cascade && self.context.learner.can_rate(self.context.now),
            within_ms: f64::from(due.min(self.request.remaining_ms)),
            rating_ms: self.context.learner.expected_rating_ms(),
            confidence: CONFIDENCE,
        }
    }

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
            assert!(meets, "a plan would miss the target without leave");
        }
    }
}

fn named(version: key::Version) -> Plan {
    Plan {
        basis: Basis::Named,
        steps: Steps::Direct(version),
        bound: 0.0,
        cost: 0.0,
    }
}
