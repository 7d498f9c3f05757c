//! Decides what happens to an answer by its head: it is sent to the caller, the request is
//! escalated to a larger model, or it is retried.

use std::rc::Rc;
use std::sync::Arc;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::affinity;
use fescuerack_core::gateway::crash::Key;
use fescuerack_core::gateway::crash::company::Company;
use fescuerack_core::gateway::crash::permit::TrialEnd;
use fescuerack_core::gateway::slowness::Timing;
use hyper::body::{Body as _, Incoming};
use hyper::{HeaderMap, Response, StatusCode};

use crate::attempt::{self, Job, OpenResponse};
use crate::body::ResponseBody;
use crate::buffers::Failure;
use crate::catalog::Kind;
use crate::clock::now;
use crate::evidence;
use crate::fallback::Fallback;
use crate::headers;
use crate::model;
use crate::node::Node;
use crate::pick::Pick;
use crate::progress::RequestProgress;
use crate::reach::{self, Held};
use crate::refusal::Refusal;
use crate::relay;
use crate::repeat::{Permission, take_retry};
use crate::rollout::{self, AnswerOutcome};

/// What happens to a request after the head of an answer.
pub enum Verdict {
    /// The answer is sent to the caller.
    Answer(Response<ResponseBody>),
    /// The request fails.
    Refuse(Refusal),
    /// Another attempt is made.
    Retry,
}

/// Decides what happens to an answer by its head. Answers that are not streams are buffered.
pub async fn decide(
    node: &Rc<Node>,
    job: &Rc<Job>,
    service: &Arc<str>,
    progress: &mut RequestProgress,
    response: OpenResponse,
) -> Verdict {
    let is_stream =
        job.route.kind == Kind::Streaming && response.answered.response.status().is_success();
    if !is_stream {
        return buffer_answer(node, job, service, progress, response).await;
    }
    if let Some(larger) = larger_model(node, job, service, progress, &response)
        && escalate(node, job, service, progress, larger)
    {
        let ended = AnswerOutcome::Unread(timing(&response));
        record_end(node, job, &response.pick, Some(larger.from), ended);
        let fallback = Fallback::with_stream(node, job, larger.from, response);
        progress.held.push(fallback);
        return Verdict::Retry;
    }
    let (model, sent) = (progress.model, progress.sent);
    Verdict::Answer(relay::start(node, job, service, response, model, sent))
}

/// A larger model that is to be asked, since the answer of a smaller one is of low confidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Escalation {
    /// Index of the model that has answered.
    from: usize,
    /// Index of the larger model.
    to: usize,
}

/// Returns the larger model to ask if a successful answer is of low confidence.
fn larger_model(
    node: &Node,
    job: &Job,
    service: &Arc<str>,
    progress: &RequestProgress,
    response: &OpenResponse,
) -> Option<Escalation> {
    let from = progress.model?;
    if !response.answered.response.status().is_success() {
        return None;
    }
    let to = model::larger(node, job, service, from, response.head.confidence)?;
    Some(Escalation { from, to })
}

/// Takes a further attempt for a larger model; returns whether it is allowed.
fn escalate(
    node: &Node,
    job: &Job,
    service: &Arc<str>,
    progress: &mut RequestProgress,
    escalation: Escalation,
) -> bool {
    let permission = Permission::of_route(&job.route);
    if !take_retry(permission, node, job, service, progress.sent, "weak") {
        return false;
    }
    node.metrics
        .dropped_answers
        .with_label_values(&[&*job.route.name])
        .inc();
    progress.model = Some(escalation.to);
    true
}

/// Returns the timing of an answer whose events were not counted.
const fn timing(response: &OpenResponse) -> Timing {
    Timing {
        head_ms: response.head_ms,
        expected_ms: response.expected_head_ms,
        event_interval_ms: None,
    }
}

/// Buffers an answer that is not a stream, so that the request can be retried if it is truncated, and the
/// answer can be held if it is of low confidence.
async fn buffer_answer(
    node: &Rc<Node>,
    job: &Rc<Job>,
    service: &Arc<str>,
    progress: &mut RequestProgress,
    response: OpenResponse,
) -> Verdict {
    let larger = larger_model(node, job, service, progress, &response);
    let timing = timing(&response);
    let (mut head, body) = response.answered.response.into_parts();
    let until = body_deadline(job, progress, &body, larger);
    let collected = node.buffers.collect(body, until).await;
    let ended = match &collected {
        Err(Failure::TooLong(_)) => {
            attempt::record_endless(node, job, &response.pick, "body");
            AnswerOutcome::Failed
        }
        Err(Failure::NoMemory) => AnswerOutcome::Unread(timing),
        Err(Failure::TooSlow) => AnswerOutcome::TimedOut,
        Err(Failure::Broken(_)) => AnswerOutcome::Broken,
        Ok(_) if head.status.is_server_error() => AnswerOutcome::Failed,
        Ok(_) => AnswerOutcome::Succeeded(timing),
    };
    drop(response.in_flight);
    record_end(node, job, &response.pick, progress.model, ended);
    let is_escalated = larger.is_some_and(|larger| escalate(node, job, service, progress, larger));
    let server = response.pick.id;
    match collected {
        Ok(body) => {
            node.pool.keep(response.answered.connection);
            headers::strip_hop_by_hop(&mut head.headers);
            let answer = Response::from_parts(head, ResponseBody::buffered(body));
            if let Some(larger) = larger.filter(|_| is_escalated) {
                let fallback = Fallback::new(job, larger.from, server, answer);
                progress.held.push(fallback);
                return Verdict::Retry;
            }
            if answer.status().is_server_error() && repeat(node, job, service, progress, "error") {
                progress.tried.push(server);
                return Verdict::Retry;
            }
            Verdict::Answer(answer)
        }
        Err(error) => {
            tracing::info!(event = "answer-broken", id = job.head.id, server = &*server, reason = %error);
            progress.tried.push(server);
            // At another server, too, there would be no memory for it.
            let is_lost = matches!(error, Failure::NoMemory);
            if is_escalated || !is_lost && repeat(node, job, service, progress, "broken") {
                return Verdict::Retry;
            }
            Verdict::Refuse(Refusal::OutcomeUnknown)
        }
    }
}

/// Takes another attempt after one that may have run the request; returns whether it is allowed.
fn repeat(
    node: &Node,
    job: &Job,
    service: &Arc<str>,
    progress: &RequestProgress,
    reason: &str,
) -> bool {
    let permission = Permission::of_route(&job.route);
    take_retry(permission, node, job, service, progress.sent, reason)
}

/// Returns until when a body is read. One without a length may have no end, and one of low confidence holds up
/// the larger model, so half of the time is kept for another attempt, if one may follow.
fn body_deadline(
    job: &Job,
    progress: &RequestProgress,
    body: &Incoming,
    larger: Option<Escalation>,
) -> Instant {
    let may_wait = body.size_hint().exact().is_some() && larger.is_none();
    let is_last = progress.sent >= job.route.attempts;
    if may_wait || is_last || !job.route.is_repeatable() {
        return job.deadline;
    }
    now() + job.deadline.since(now()) / 2
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Identifier of the request.
    pub id: String,
    /// By what crashes under it are added up.
    pub keys: Vec<Key>,
    /// Whether its answer is a stream.
    pub is_stream: bool,
    /// What else ran on the server if the attempt broke off.
    pub company: Company,
    /// Name of its route.
    pub route: Arc<str>,
    /// Class of its answers.
    pub latency_class: u64,
    /// Server.
    pub pick: Pick,
    /// How it ended.
    pub outcome: AnswerOutcome,
    /// When it ended.
    pub at: Instant,
}

/// Records the end of an attempt: for a roll-out of the service, and whether the request crashes
/// servers. A failure that may be due to this node's path counts once the path is known to be good.
pub fn record_end(
    node: &Rc<Node>,
    job: &Job,
    pick: &Pick,
    model: Option<usize>,
    outcome: AnswerOutcome,
) {
    if outcome == AnswerOutcome::Broken && !node.path.is_cut() {
        pick.end_trial(TrialEnd::Crashed);
    }
    let ended = Ended {
        id: job.head.id.clone(),
        keys: job.keys.clone(),
        is_stream: job.route.kind == Kind::Streaming,
        company: match outcome {
            AnswerOutcome::Broken => node.runs.borrow_mut().company(now(), pick.identity),
            _ => Company::default(),
        },
        route: job.route.name.clone(),
        latency_class: latency_class(job, model),
        pick: pick.clone(),
        outcome,
        at: now(),
    };
    if matches!(outcome, AnswerOutcome::Succeeded(_)) {
        confirm_health(node, pick);
    }
    match outcome {
        AnswerOutcome::Broken | AnswerOutcome::TimedOut => {
            reach::doubt(node, pick.identity, false, Held::End(Box::new(ended)));
        }
        AnswerOutcome::Succeeded(_) | AnswerOutcome::Unread(_) | AnswerOutcome::Failed => {
            count_end(node, &ended);
        }
    }
}

fn confirm_health(node: &Node, pick: &Pick) {
    let mut view = node.view.borrow_mut();
    let server = view.servers.get_mut(&pick.id);
    if let Some(server) = server.filter(|server| server.identity == pick.identity) {
        server.health.confirm();
    }
}

/// Counts the end of an attempt.
pub fn count_end(node: &Rc<Node>, ended: &Ended) {
    rollout::record_outcome(
        node,
        &ended.pick,
        &ended.route,
        ended.latency_class,
        ended.outcome,
    );
    evidence::record(node, ended);
}

/// Returns the class of answers with a similar usual latency: those of one route and model.
#[must_use]
pub fn latency_class(job: &Job, model: Option<usize>) -> u64 {
    let model = u64::try_from(model.unwrap_or_default()).unwrap_or_default();
    affinity::mix(affinity::hash(job.route.name.as_bytes()) ^ model)
}

/// Returns a response with the status and headers of the backend server's response and `body`.
#[must_use]
pub fn with_status(
    status: StatusCode,
    mut headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    headers::strip_hop_by_hop(&mut headers);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
