//! Choice of the version that answers a request.

use fescuerack_config::file::State;
use fescuerack_config::{Catalog, Names, key};

use crate::session;

/// What the caller asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
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
    pub wanted: Wanted,
    /// Identifier of the session, or of the request when it has none.
    pub session: &'a [u8],
}

/// Why no version may answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The organisation may not use what it asked for.
    Forbidden,
    /// Every version that is allowed has been withdrawn.
    Withdrawn,
    /// No version that is allowed meets the target.
    BelowTarget,
}

/// Chooses the cheapest allowed version that meets the target.
///
/// # Errors
///
/// A [`Refusal`] when no version may answer.
pub fn choose(
    catalog: &Catalog,
    names: &Names,
    request: Request<'_>,
) -> Result<key::Version, Refusal> {
    let models: &[key::Model] = match &request.wanted {
        Wanted::Version(version) => return permitted(catalog, request.organisation, *version),
        Wanted::Model(model) => std::slice::from_ref(model),
        Wanted::Class(class) => match catalog.classes.get(*class) {
            Some(entry) => &entry.models,
            None => return Err(Refusal::Forbidden),
        },
    };
    let mut refusal = Refusal::Forbidden;
    let mut best: Option<(u64, key::Version)> = None;
    for model in models {
        let Some(version) = version_of(catalog, names, *model, request.session) else {
            continue;
        };
        if let Err(reason) = permitted(catalog, request.organisation, version) {
            refusal = reason;
            continue;
        }
        if !meets(catalog, request, version) {
            refusal = Refusal::BelowTarget;
            continue;
        }
        let cost = catalog.versions[version].cost.output;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, version));
        }
    }
    best.map(|(_, version)| version).ok_or(refusal)
}

fn version_of(
    catalog: &Catalog,
    names: &Names,
    model: key::Model,
    session: &[u8],
) -> Option<key::Version> {
    match catalog.rollouts.get(model) {
        Some(rollout) => {
            let position = session::position(names.models.name(model), session);
            Some(session::start(rollout, position))
        }
        None => catalog.models.get(model)?.last().copied(),
    }
}

fn permitted(
    catalog: &Catalog,
    organisation: key::Organisation,
    version: key::Version,
) -> Result<key::Version, Refusal> {
    let allowed = catalog
        .organisations
        .get(organisation)
        .is_some_and(|entry| entry.allowed.contains(&version));
    if !allowed {
        return Err(Refusal::Forbidden);
    }
    match catalog.versions.get(version).map(|entry| entry.state) {
        Some(State::Withdrawn) => Err(Refusal::Withdrawn),
        Some(State::Open | State::Closed) => Ok(version),
        None => Err(Refusal::Forbidden),
    }
}

fn meets(catalog: &Catalog, request: Request<'_>, version: key::Version) -> bool {
    let Wanted::Class(class) = request.wanted else {
        return true;
    };
    let below_target = catalog
        .organisations
        .get(request.organisation)
        .is_some_and(|entry| entry.below_target);
    below_target || catalog.quality(version, class) >= catalog.classes[class].quality
}
