//! Reading a caller's request: finds its route, checks its key and reads its body within limits.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::affinity;
use fescuerack_core::gateway::crash::{Key, MAX_KEYS};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HOST;

use crate::attempt::Job;
use crate::bodies::{self, Failure, Reason};
use crate::catalog::{Catalog, Organisation, Route};
use crate::clock::{deadline, now};
use crate::hop::Hop;
use crate::node::Node;
use crate::pick;
use crate::platform::{PrefixBlock, RequestHead};
use crate::refusal::Refusal;

/// A request whose head was accepted.
pub struct Admitted {
    /// Route.
    pub route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
}

/// Finds the route and the organisation of a request by its head.
///
/// # Errors
///
/// When the configuration has not been loaded yet, no route matches or the key is unknown.
pub fn admit(
    node: &Node,
    request: &Request<Incoming>,
    head: &RequestHead,
) -> Result<Admitted, Refusal> {
    let catalog = node
        .view
        .borrow()
        .catalog
        .clone()
        .ok_or(Refusal::NotReady)?;
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .or(request.uri().host())
        .unwrap_or_default();
    let route = catalog
        .route(host, request.uri().path())
        .ok_or(Refusal::NoRoute)?
        .clone();
    let organisation = authorise(&catalog, &route, head)?;
    Ok(Admitted {
        route,
        organisation,
    })
}

fn authorise(
    catalog: &Catalog,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<Arc<Organisation>>, Refusal> {
    let organisation = head
        .key
        .as_deref()
        .and_then(|key| catalog.organisation(key))
        .cloned();
    if organisation.is_none() && !route.public && !catalog.organisations.is_empty() {
        return Err(Refusal::UnknownKey);
    }
    Ok(organisation)
}

/// Reads the body of a request until `until`. `hop` is what a peer has stated of it.
///
/// # Errors
///
/// When the body is too large, truncated or incomplete at `until`, nothing of it arrives for
/// [`Limits::silence_ms`](crate::catalog::Limits::silence_ms), or there is no memory for it.
pub async fn read_body(
    node: &Node,
    request: Request<Incoming>,
    admitted: Admitted,
    head: RequestHead,
    hop: Option<Hop>,
    arrived: Instant,
    until: Instant,
) -> Result<Job, Refusal> {
    let (parts, body) = request.into_parts();
    let limits = || {
        let limits = node.limits();
        bodies::Limits {
            bytes: limits.body_bytes,
            idle: Duration::from_millis(limits.silence_ms()),
        }
    };
    let body = node.bodies.collect(body, now, limits);
    let body = match tokio::time::timeout_at(deadline(until), body).await {
        Ok(body) => body.map_err(|failure| refuse(&head.id, failure))?,
        // The request was not sent to any server.
        Err(_) => return Err(Refusal::NotRun),
    };
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str())
        .parse()
        .map_err(|_| Refusal::IncompleteBody)?;
    let (organisation, priority, regions) = match admitted.organisation {
        Some(organisation) => (
            Some(organisation.name.clone()),
            organisation.priority,
            organisation.regions.clone(),
        ),
        None => (None, None, Vec::new()),
    };
    Ok(Job {
        session: pick::session(&head, organisation.as_deref()),
        keys: keys(
            organisation.as_deref(),
            parts.uri.path(),
            &body,
            &head.blocks,
        ),
        route: admitted.route,
        organisation,
        regions,
        priority,
        head,
        method: parts.method,
        target,
        headers: parts.headers,
        body,
        arrived,
        deadline: until,
        hop,
    })
}

fn refuse(id: &str, failure: Failure) -> Refusal {
    let Failure { read, reason } = failure;
    tracing::info!(event = "body-refused", id, read, %reason);
    match reason {
        Reason::TooLarge(_) => Refusal::TooLarge,
        Reason::Incomplete => Refusal::IncompleteBody,
        Reason::Stalled => Refusal::Stalled,
        Reason::NoMemory(_) => Refusal::NoMemory,
    }
}

/// Returns by what crashes of servers under a request are added up: the whole request, and each of its
/// blocks but the last, which no other request holds.
fn keys(organisation: Option<&str>, path: &str, body: &Bytes, blocks: &[PrefixBlock]) -> Vec<Key> {
    let caller = affinity::hash(organisation.unwrap_or_default().as_bytes());
    let path = affinity::mix(caller ^ affinity::hash(path.as_bytes()));
    let request = Key::of_request(affinity::mix(path ^ affinity::hash(body)));
    let shared = &blocks[..blocks.len().saturating_sub(1)];
    let shared = shared.iter().map(|block| Key::of_block(block.id));
    let mut keys: Vec<Key> = std::iter::once(request).chain(shared).collect();
    keys.truncate(MAX_KEYS);
    keys
}
