//! Processes a request of a caller, from its head to the answer.
//!
//! The steps are: route, key, body, model, server, attempt, verdict on the head, answer. Nothing of
//! an answer is sent to the caller before the verdict on its head, so until then another server or
//! a larger model can be used instead.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fescuerack_core::clock::Instant;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};
use rand::RngExt as _;

use crate::attempt::Job;
use crate::attempts;
use crate::body::ResponseBody;
use crate::clock::now;
use crate::fallback;
use crate::hop::{self, Hop, NotTaken, PathLost};
use crate::intake;
use crate::model;
use crate::node::Node;
use crate::pick;
use crate::progress::RequestProgress;
use crate::refusal::Refusal;

/// Time-out of a request in milliseconds, if neither the caller nor the route states one.
const DEFAULT_TIMEOUT_MS: u64 = 60_000;
/// Milliseconds that a request waits for a process that is starting. Reading the store takes about
/// ten.
const STARTUP_WAIT_MS: u64 = 200;
/// Interval at which a waiting request checks whether the process has started.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// States, as an extension of a response, that the body of the request was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyUnread;

/// Serves a request of a caller, or of a peer's caller, of which the peer has stated `hop`.
pub async fn serve(
    node: Rc<Node>,
    request: Request<Incoming>,
    hop: Option<Hop>,
) -> Response<ResponseBody> {
    let arrived = now();
    node.metrics.in_progress.inc();
    let mut head = node.platform.parse_request_head(request.headers());
    if let Some(hop) = hop {
        head.timeout_ms = Some(hop.remaining_ms);
        head.last_event = hop.last_event;
    }
    let id = head.id.clone();
    let mut deadline = arrived.plus_millis(head.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS));
    wait_until_ready(&node, arrived).await;
    let mut is_unread = !request.body().is_end_stream();
    let mut closes = false;
    let mut name: Arc<str> = Arc::from("");
    let result = match intake::admit(&node, &request, &head) {
        Ok(admitted) => {
            name = admitted.route.name.clone();
            if let Some(timeout_ms) = admitted.route.timeout_ms {
                deadline = deadline.min(arrived.plus_millis(timeout_ms));
            }
            match intake::read_body(&node, request, admitted, head, hop, arrived, deadline).await {
                Ok(job) => {
                    is_unread = false;
                    route(&node, Rc::new(job)).await
                }
                Err(refusal) => {
                    closes = is_unread;
                    Err(refusal)
                }
            }
        }
        Err(refusal) => Err(refusal),
    };
    node.metrics.in_progress.dec();
    let mut response = finish(&node, result, &id, &name, arrived, deadline);
    if is_unread {
        response.extensions_mut().insert(BodyUnread);
    }
    if closes {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Waits a short time until the node is ready. Callers reach a process that has just started
/// some milliseconds before it has read the store. If it rejected their requests, they would retry
/// much later and with one attempt fewer.
async fn wait_until_ready(node: &Node, arrived: Instant) {
    let until = arrived.plus_millis(STARTUP_WAIT_MS);
    while !node.is_ready() && now() < until {
        tokio::time::sleep(STARTUP_POLL_INTERVAL).await;
    }
}

fn finish(
    node: &Node,
    result: Result<Response<ResponseBody>, Refusal>,
    id: &str,
    route: &str,
    arrived: Instant,
    deadline: Instant,
) -> Response<ResponseBody> {
    let outcome = match &result {
        Ok(_) => "answered",
        Err(refusal) => refusal.code(),
    };
    let spread = node.random.borrow_mut().random::<f64>();
    let not_taken = match &result {
        Err(Refusal::Unreached) => Some(NotTaken("cut")),
        // Another peer may have room.
        Err(Refusal::Full | Refusal::NoMemory) => Some(NotTaken(hop::FULL)),
        _ => None,
    };
    let path_lost = match &result {
        Err(Refusal::PathLost(sent)) => Some(PathLost(*sent)),
        _ => None,
    };
    let mut response = result.unwrap_or_else(|refusal| refusal.response(now(), deadline, spread));
    if let Some(not_taken) = not_taken {
        response.extensions_mut().insert(not_taken);
    }
    if let Some(path_lost) = path_lost {
        response.extensions_mut().insert(path_lost);
    }
    let elapsed = now().since(arrived);
    node.metrics
        .requests
        .with_label_values(&[route, outcome])
        .inc();
    node.metrics
        .first_seconds
        .with_label_values(&[route])
        .observe(elapsed.as_secs_f64());
    let configuration = node
        .view
        .borrow()
        .catalog
        .as_ref()
        .map_or(0, |catalog| catalog.config_version);
    tracing::info!(
        event = "request",
        id,
        route,
        outcome,
        status = response.status().as_u16(),
        ms = elapsed.as_secs_f64() * 1_000.0,
        configuration
    );
    response
}

async fn route(node: &Rc<Node>, job: Rc<Job>) -> Result<Response<ResponseBody>, Refusal> {
    let service = pick::choose_service(&job.route, &job.head.id).ok_or(Refusal::NotRun)?;
    let mut progress = RequestProgress::default();
    if job.head.any_model {
        progress.model = model::first(node, &job, &service);
    }
    if let Some(result) = attempts::forward(node, &job, &service, &mut progress, false).await {
        return result;
    }
    if !job.hop.is_some_and(|hop| hop.is_counted) {
        count_request(node, &service);
    }
    progress.sent = job.hop.map_or(0, |hop| hop.sent);
    let result = attempts::run(node, &job, &service, &mut progress).await;
    fallback::settle(node, &job, &service, progress, result).await
}

/// Counts a request in the retry budget of its service.
fn count_request(node: &Node, service: &Arc<str>) {
    let sent_at = node.standstill.borrow().sent_at(now());
    let bound = node.settings.borrow().retries;
    let mut budgets = node.retry_budgets.borrow_mut();
    let budget = budgets.entry(service.clone()).or_default();
    budget.count_request(sent_at, &bound);
}
