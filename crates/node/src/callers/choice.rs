//! Choice of the version that answers: from the name in the request to the
//! core's decision, and the session's token back to the caller.

use fescuerack_config::key;
use fescuerack_core::cascade::{self, Context, Plan, Selector};
use fescuerack_core::session::{Pins, Placement};
use fescuerack_wire::error::Kind;
use fescuerack_wire::{chat, header, token};

use super::intake::Call;
use super::reply::{Refusal, Reply, with_header};
use crate::shared::{Force, Shared, lock};

/// Priority of a request that names no class of work.
const DEFAULT_PRIORITY: u8 = 5;

/// What was chosen for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Version that answers.
    pub version: key::Version,
    /// Class of work, when the request names one.
    pub class: Option<key::Class>,
    /// Priority at the engine; a lower number goes first.
    pub priority: u8,
    /// Plans, cheapest first.
    pub plans: Vec<Plan>,
    /// Headers about the session.
    session: Option<Session>,
}

#[derive(Clone, Debug)]
struct Session {
    token: String,
    moved_from: Option<String>,
}

impl Choice {
    /// Adds what the caller is told of its session.
    pub fn on(&self, reply: Reply) -> Reply {
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
/// organisation may not use are refused alike, so that nothing is told of
/// what others use.
pub fn choose(
    shared: &Shared,
    force: &Force,
    call: &Call,
    asked: &chat::Request,
) -> Result<Choice, Refusal> {
    let model = asked.model.as_str();
    let wanted = wanted(force, model).ok_or_else(forbidden)?;
    let now = shared.now();
    shared.versions.configure(now, force);
    let pins = pins(shared, force, call);
    let pinned = pins
        .get(model)
        .and_then(|name| force.names.versions.get(name));
    let within = call.deadline.since(now).as_millis();
    let request = cascade::Request {
        organisation: call.organisation,
        selector: wanted,
        session: call.session.as_deref().unwrap_or(&call.request).as_bytes(),
        pinned,
        stream: asked.stream,
        remaining_ms: u32::try_from(within).unwrap_or(u32::MAX),
        input_tokens: u64::try_from(call.body.len() / 4).unwrap_or(u64::MAX),
        // What is tried once must not become the version of a session.
        random: if call.session.is_some() {
            1.0
        } else {
            shared.dice()
        },
    };
    let board = lock(&shared.versions.board);
    let learner = lock(&shared.versions.learner);
    let world = Context {
        catalog: &force.catalog,
        names: &force.names,
        rollouts: &board,
        learner: &learner,
        now,
    };
    let mut chosen = cascade::choose(world, request).map_err(refusal)?;
    if call.session.is_some() {
        // A session waits for its version rather than go to another.
        chosen.plans.truncate(1);
    }
    drop(learner);
    drop(board);
    let class = match wanted {
        Selector::Class(class) => Some(class),
        Selector::Version(_) | Selector::Model(_) => None,
    };
    let priority = class.map(|class| force.catalog.classes[class].priority);
    Ok(Choice {
        version: chosen.place.version(),
        class,
        priority: priority.unwrap_or(DEFAULT_PRIORITY),
        session: told(shared, force, call, model, pins, chosen.place),
        plans: chosen.plans,
    })
}

fn forbidden() -> Refusal {
    Refusal::new(Kind::Forbidden, "the organisation may not use this model")
}

fn wanted(force: &Force, model: &str) -> Option<Selector> {
    if let Some(class) = model.strip_prefix("auto:") {
        let class = force.names.classes.get(class)?;
        return force
            .catalog
            .classes
            .contains_key(class)
            .then_some(Selector::Class(class));
    }
    if let Some(version) = force.names.versions.get(model) {
        return Some(Selector::Version(version));
    }
    force.names.models.get(model).map(Selector::Model)
}

/// Returns what the caller's token says, if it is this session's.
fn pins(shared: &Shared, force: &Force, call: &Call) -> Pins {
    let (Some(session), Some(token)) = (&call.session, &call.session_token) else {
        return Pins::new();
    };
    let secret = shared.settings.peer_key.as_bytes();
    let organisation = force.names.organisations.name(call.organisation);
    token::open(secret, organisation, session, token).unwrap_or_default()
}

/// Returns what the caller is told of its session.
fn told(
    shared: &Shared,
    force: &Force,
    call: &Call,
    model: &str,
    mut pins: Pins,
    place: Placement,
) -> Option<Session> {
    let session = call.session.as_deref()?;
    let moved_from = match place {
        Placement::Move { from, .. } => {
            shared.metrics.count("sessions.moved");
            Some(force.names.versions.name(from).to_string())
        }
        Placement::Start(_) | Placement::Keep(_) => None,
    };
    pins.set(model, force.names.versions.name(place.version()));
    let secret = shared.settings.peer_key.as_bytes();
    let organisation = force.names.organisations.name(call.organisation);
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
