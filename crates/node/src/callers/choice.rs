//! Choice of the version that answers: from the name in the request to the
//! core's decision.

use fescuerack_config::key;
use fescuerack_core::cascade::{self, Wanted};
use fescuerack_wire::error::Kind;

use super::intake::Call;
use super::reply::Refusal;
use crate::shared::{Force, Shared};

/// Priority of a request that names no class of work.
const DEFAULT_PRIORITY: u8 = 5;

/// What was chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// Version that answers.
    pub version: key::Version,
    /// Class of work, when the request names one.
    pub class: Option<key::Class>,
    /// Priority at the engine; a lower number goes first.
    pub priority: u8,
}

/// Chooses the version that answers a request for `model`.
///
/// # Errors
///
/// Why no version may answer. A model that does not exist and one that the
/// organisation may not use are refused alike, so that nothing is told of
/// what others use.
pub fn choose(_: &Shared, force: &Force, call: &Call, model: &str) -> Result<Choice, Refusal> {
    let forbidden = || Refusal::new(Kind::Forbidden, "the organisation may not use this model");
    let wanted = wanted(force, model).ok_or_else(forbidden)?;
    let request = cascade::Request {
        organisation: call.organisation,
        wanted,
        session: call.session.as_deref().unwrap_or(&call.request).as_bytes(),
    };
    let version = cascade::choose(&force.catalog, &force.names, request).map_err(refusal)?;
    let class = match wanted {
        Wanted::Class(class) => Some(class),
        Wanted::Version(_) | Wanted::Model(_) => None,
    };
    let priority = class.map(|class| force.catalog.classes[class].priority);
    Ok(Choice {
        version,
        class,
        priority: priority.unwrap_or(DEFAULT_PRIORITY),
    })
}

fn wanted(force: &Force, model: &str) -> Option<Wanted> {
    if let Some(class) = model.strip_prefix("auto:") {
        let class = force.names.classes.get(class)?;
        return force
            .catalog
            .classes
            .contains_key(class)
            .then_some(Wanted::Class(class));
    }
    if let Some(version) = force.names.versions.get(model) {
        return Some(Wanted::Version(version));
    }
    force.names.models.get(model).map(Wanted::Model)
}

fn refusal(refusal: cascade::Refusal) -> Refusal {
    match refusal {
        cascade::Refusal::Forbidden => {
            Refusal::new(Kind::Forbidden, "the organisation may not use this model")
        }
        cascade::Refusal::Withdrawn => {
            Refusal::new(Kind::Unavailable, "the version has been withdrawn; not run")
        }
        cascade::Refusal::BelowTarget => Refusal::new(
            Kind::Unavailable,
            "no allowed version meets the target; not run",
        ),
    }
}
