//! Choice of the version that answers: resolves the model name of the request,
//! lets the core decide and returns the session's token to the caller.

use fescuerack_config::key;
use fescuerack_core::cascade::{self, Context, Plan, Selector};
use fescuerack_core::session::{Pins, Placement};
use fescuerack_wire::error::Kind;
use fescuerack_wire::{chat, header, token};

use super::reply::{Refusal, Reply, with_header};
use super::request::Call;
use crate::node_state::{ActiveConfiguration, NodeState, lock};

/// Priority of a request that names no class of work.
const DEFAULT_PRIORITY: u8 = 5;

/// The decision for one request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Version that answers.
    pub version: key::Version,
    /// Class of work, if the request names one.
    pub class: Option<key::Class>,
    /// Priority at the engine; a lower number goes first.
    pub priority: u8,
    /// Plans, cheapest first.
    pub plans: Vec<Plan>,
    /// Session headers of the reply, if the request has a session.
    session: Option<Session>,
}

#[derive(Clone, Debug)]
struct Session {
    token: String,
    moved_from: Option<String>,
}

impl Choice {
    /// Adds the session headers to a reply.
    pub fn add_to(&self, reply: Reply) -> Reply {
        let Some(session) = &self.session else {
            return reply;
        };
        let reply = with_header(reply, header::SESSION_TOKEN, &session.token);
        match &session.moved_from {
            Some(version) => with_header(reply, header::SESSION_MOVED, version),
            None => reply,
        }
    }
}

/// Chooses the version that answers a request for `model`.
///
/// # Errors
///
/// Why no version may answer. A model that does not exist and one that the
/// organisation may not use get the same refusal, which reveals nothing about
/// the models of other organisations.
pub fn choose(
    shared: &NodeState,
    active: &ActiveConfiguration,
    call: &Call,
    chat_request: &chat::Request,
) -> Result<Choice, Refusal> {
    let model = chat_request.model.as_str();
    let selector = selector(active, model).ok_or_else(forbidden)?;
    let now = shared.now();
    shared.versions.configure(now, active);
    let pins = pins(shared, active, call);
    let pinned = pins
        .get(model)
        .and_then(|name| active.names.versions.get(name));
    let remaining = call.deadline.since(now).as_millis();
    let request = cascade::Request {
        organisation: call.organisation,
        selector,
        session: call.session.as_deref().unwrap_or(&call.request).as_bytes(),
        pinned,
        stream: chat_request.stream,
        remaining_ms: u32::try_from(remaining).unwrap_or(u32::MAX),
        input_tokens: u64::try_from(call.body.len() / 4).unwrap_or(u64::MAX),
        // A version that is tried at random must not become the version of a
        // session.
        random: if call.session.is_some() {
            1.0
        } else {
            shared.random_fraction()
        },
    };
    let registry = lock(&shared.versions.rollouts);
    let learner = lock(&shared.versions.learner);
    let context = Context {
        catalog: &active.catalog,
        names: &active.names,
        rollouts: &registry,
        learner: &learner,
        now,
    };
    let mut chosen = cascade::choose(context, request).map_err(refusal)?;
    if call.session.is_some() {
        // A session waits for its version instead of going to another one.
        chosen.plans.truncate(1);
    }
    drop(learner);
    drop(registry);
    let class = match selector {
        Selector::Class(class) => Some(class),
        Selector::Version(_) | Selector::Model(_) => None,
    };
    let priority = class.map(|class| active.catalog.classes[class].priority);
    Ok(Choice {
        version: chosen.place.version(),
        class,
        priority: priority.unwrap_or(DEFAULT_PRIORITY),
        session: updated_session(shared, active, call, model, pins, chosen.place),
        plans: chosen.plans,
    })
}

fn forbidden() -> Refusal {
    Refusal::new(Kind::Forbidden, "the organisation may not use this model")
}

/// Resolves `auto:<class>`, a version or a model.
fn selector(active: &ActiveConfiguration, model: &str) -> Option<Selector> {
    if let Some(class) = model.strip_prefix("auto:") {
        let class = active.names.classes.get(class)?;
        return active
            .catalog
            .classes
            .contains_key(class)
            .then_some(Selector::Class(class));
    }
    if let Some(version) = active.names.versions.get(model) {
        return Some(Selector::Version(version));
    }
    active.names.models.get(model).map(Selector::Model)
}

/// Returns the pinned versions in the caller's token; none if the token is not
/// valid for this session.
fn pins(shared: &NodeState, active: &ActiveConfiguration, call: &Call) -> Pins {
    let (Some(session), Some(token)) = (&call.session, &call.session_token) else {
        return Pins::new();
    };
    let secret = shared.settings.peer_key.as_bytes();
    let organisation = active.names.organisations.name(call.organisation);
    token::verify(secret, organisation, session, token).unwrap_or_default()
}

/// Returns the session headers after the placement of this request.
fn updated_session(
    shared: &NodeState,
    active: &ActiveConfiguration,
    call: &Call,
    model: &str,
    mut pins: Pins,
    place: Placement,
) -> Option<Session> {
    let session = call.session.as_deref()?;
    let moved_from = match place {
        Placement::Move { from, .. } => {
            shared.metrics.count("sessions.moved");
            Some(active.names.versions.name(from).to_string())
        }
        Placement::Start(_) | Placement::Keep(_) => None,
    };
    pins.set(model, active.names.versions.name(place.version()));
    let secret = shared.settings.peer_key.as_bytes();
    let organisation = active.names.organisations.name(call.organisation);
    Some(Session {
        token: token::sign(secret, organisation, session, &pins),
        moved_from,
    })
}

fn refusal(refusal: cascade::Refusal) -> Refusal {
    match refusal {
        cascade::Refusal::Forbidden => forbidden(),
        cascade::Refusal::Withdrawn => {
            Refusal::new(Kind::Unavailable, "the version has been withdrawn; not run")
        }
        cascade::Refusal::Closed => Refusal::new(
            Kind::Unavailable,
            "the version takes no new session; not run",
        ),
        cascade::Refusal::BelowTarget => Refusal::new(
            Kind::Unavailable,
            "no allowed version is known to meet the target; not run",
        ),
    }
}
