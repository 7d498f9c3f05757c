//! One attempt: sends a request to one backend server and waits for the head of its response.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::crash::Key;
use fescuerack_core::gateway::health::Outcome;
use fescuerack_core::gateway::load;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};

use crate::catalog::{Kind, Route};
use crate::clock::{deadline, now};
use crate::evidence;
use crate::headers;
use crate::hop::Hop;
use crate::node::Node;
use crate::pick::{self, InFlight, Pick};
use crate::platform::{RequestHead, ResponseHead, UpstreamHead};
use crate::reach::{self, Held};
use crate::read_ahead::ReadAhead;
use crate::rollout::{self, AnswerOutcome, TrackingGuard};
use crate::statements;
use crate::upstream::{Answered, Sent};
use crate::verdict;

/// A caller's request with its whole body.
#[derive(Clone, Debug)]
pub struct Job {
    /// Route that matched the request.
    pub route: Arc<Route>,
    /// Organisation of the caller.
    pub organisation: Option<Arc<str>>,
    /// Regions that the organisation allows, in addition to the restriction by the route; empty if
    /// it allows all.
    pub regions: Vec<Arc<str>>,
    /// Priority of the organisation, if it has one.
    pub priority: Option<u32>,
    /// Headers of the caller, parsed.
    pub head: RequestHead,
    /// Method as received.
    pub method: Method,
    /// Path and query as received.
    pub target: Uri,
    /// Headers of the caller. Hop-by-hop headers are removed for each attempt.
    pub headers: HeaderMap,
    /// Whole body, which each attempt sends.
    pub body: Bytes,
    /// When its head was received.
    pub arrived: Instant,
    /// When the answer must have been sent.
    pub deadline: Instant,
    /// By what crashes of servers under it are added up, the whole request first.
    pub keys: Vec<Key>,
    /// Hash of its session.
    pub session: u64,
    /// What the peer that its caller called has stated, if it came through one.
    pub hop: Option<Hop>,
}

/// The result of an attempt.
pub enum AttemptResult {
    /// The server did not run the request, or no byte of it was sent.
    NotRun(NotRunReason),
    /// No usable head was received, and the server may have run the request.
    Failed(AnswerOutcome),
    /// Servers have ended under its keys meanwhile, and its connection is closed without a head.
    CalledBack,
    /// A head was received.
    Responded(Box<OpenResponse>),
}

/// Why it is certain that a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// No byte was sent: the server could not be reached.
    Unreachable,
    /// The server reported it.
    Reported,
}

/// A response whose head was received.
pub struct OpenResponse {
    /// Head, body and connection.
    pub answered: Answered,
    /// Head, parsed.
    pub head: ResponseHead,
    /// Server that responded.
    pub pick: Pick,
    /// Milliseconds until the head was received.
    pub head_ms: f64,
    /// Expected milliseconds until the head, by the work on the server.
    pub expected_head_ms: f64,
    /// What has been read of the body ahead.
    pub ahead: ReadAhead,
    /// Counts the request as running on the server, until its end has been read.
    pub in_flight: Option<InFlight>,
    /// Keeps the attempt among [`Node::tracked_attempts`] until its outcome is counted.
    pub tracking_guard: Option<TrackingGuard>,
}

/// A response whose head has not been checked yet.
struct ReceivedResponse {
    answered: Answered,
    in_flight: InFlight,
    tracking_guard: Option<TrackingGuard>,
    head_ms: f64,
    expected_head_ms: f64,
}

/// A model that the gateway has chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct ChosenModel<'a> {
    /// Index among the models of the route, which begin with the smallest.
    pub rank: usize,
    /// Name of the model.
    pub name: &'a str,
}

/// Sends `job` to `pick` and waits for the head of the response until `until`. `model` is `None` if
/// the gateway does not choose it. `last_event` identifies the last event that the caller has
/// received.
pub async fn run(
    node: &Rc<Node>,
    job: &Job,
    pick: Pick,
    model: Option<ChosenModel<'_>>,
    last_event: Option<u64>,
    until: Instant,
) -> AttemptResult {
    let models = job.route.models.len();
    let rank = model.map(|model| model.rank);
    let work = pick::work(&job.head, rank.map(|rank| (rank, models)));
    let mut in_flight = InFlight::new(node, &pick, work);
    let started = now();
    let latency_class = verdict::latency_class(job, rank);
    let expected_head_ms = expected_head_ms(node, &pick, work);
    let mut tracking_guard = rollout::track(
        node,
        &pick,
        &job.route.name,
        latency_class,
        expected_head_ms,
    );
    let request = request(node, job, &pick, model.map(|model| model.name), last_event);
    let sent = node
        .pool
        .send(pick.address, request, job.route.is_repeatable());
    let sent = tokio::select! {
        sent = tokio::time::timeout_at(deadline(until), sent) => sent,
        () = evidence::called_back(node, job, &pick) => {
            record_outcome(node, job, &pick, started, None, "called-back", "");
            return AttemptResult::CalledBack;
        }
    };
    let Ok(sent) = sent else {
        // An overloaded server is silent too. Ejecting it at once would move its work to the other
        // servers, which would become silent in turn. A time-out is therefore one failure in the
        // average of `health` and is not recorded in the attempt counts that all nodes share.
        record_outcome(
            node,
            job,
            &pick,
            started,
            Some(Outcome::Failed),
            "silent",
            "",
        );
        return AttemptResult::Failed(AnswerOutcome::TimedOut);
    };
    match sent {
        Sent::NotSent(reason) => {
            let mut runs = node.runs.borrow_mut();
            runs.record_unreached(now(), pick.identity);
            drop(runs);
            record_outcome(
                node,
                job,
                &pick,
                started,
                Some(Outcome::Unreached),
                "unreached",
                &reason,
            );
            AttemptResult::NotRun(NotRunReason::Unreachable)
        }
        Sent::Broken(reason) => {
            record_outcome(
                node,
                job,
                &pick,
                started,
                Some(Outcome::Broken),
                "broken",
                &reason,
            );
            AttemptResult::Failed(AnswerOutcome::Broken)
        }
        Sent::Unreadable(reason) => {
            record_outcome(
                node,
                job,
                &pick,
                started,
                Some(Outcome::Endless),
                "unreadable",
                &reason,
            );
            AttemptResult::Failed(AnswerOutcome::Failed)
        }
        Sent::Answered(answered) => {
            in_flight.mark_prefill_done();
            let head_ms = now().since(started).as_secs_f64() * 1_000.0;
            record_wait(node, job, &pick, work, head_ms);
            if let Some(tracking_guard) = &mut tracking_guard {
                tracking_guard.record_head();
            }
            let received = ReceivedResponse {
                answered,
                in_flight,
                tracking_guard,
                head_ms,
                expected_head_ms,
            };
            check_head(node, job, pick, started, received)
        }
    }
}

/// Returns the expected milliseconds until the head, by the work on the server and that of the
/// request.
fn expected_head_ms(node: &Node, pick: &Pick, work: f64) -> f64 {
    let waits = node.waits.borrow();
    let wait = waits.get(&pick.service).copied().unwrap_or_default();
    wait.millis(pick.load + work)
}

/// Adds a sample to the estimate of how long work takes. Samples of a canary are excluded, since a
/// slow canary would raise the expectation for its own responses; so are those of a cold server.
fn record_wait(node: &Node, job: &Job, pick: &Pick, work: f64, head_ms: f64) {
    if job.route.kind == Kind::Streaming {
        let expected_ms = expected_head_ms(node, pick, work);
        let server = load::short_id(pick.identity);
        node.load
            .record_first_token(now(), server, expected_ms, head_ms);
    }
    if !pick.is_canary && !pick.is_cold {
        let mut waits = node.waits.borrow_mut();
        let wait = waits.entry(pick.service.clone()).or_default();
        wait.observe(pick.load + work, head_ms);
    }
}

fn check_head(
    node: &Rc<Node>,
    job: &Job,
    mut pick: Pick,
    started: Instant,
    received: ReceivedResponse,
) -> AttemptResult {
    pick.head_at = Some(now());
    reach::hear(node, pick.identity);
    let answered = &received.answered;
    let status = answered.response.status();
    let head = node
        .platform
        .parse_response_head(status, answered.response.headers(), &job.head.id);
    statements::record(node, &pick, &job.head.id, started, status, &head);
    evidence::record_answer(node, &pick, status, &head);
    if head.is_not_run {
        if status == StatusCode::MISDIRECTED_REQUEST {
            // Another server has this address now; the entry is that of its predecessor.
            pick::mark_replaced(&node.view, &pick);
        }
        record_outcome(node, job, &pick, started, None, "not-run", status.as_str());
        node.pool.discard(received.answered);
        return AttemptResult::NotRun(NotRunReason::Reported);
    }
    if !head.is_for_request {
        record_outcome(
            node,
            job,
            &pick,
            started,
            Some(Outcome::Failed),
            "other-answer",
            status.as_str(),
        );
        return AttemptResult::Failed(AnswerOutcome::Failed);
    }
    let is_failure = status.is_server_error();
    let outcome = if is_failure {
        Outcome::Failed
    } else {
        Outcome::Succeeded
    };
    record_outcome(
        node,
        job,
        &pick,
        started,
        Some(outcome),
        "head",
        status.as_str(),
    );
    if let Some(confidence) = head.confidence {
        tracing::info!(
            event = "confidence",
            id = job.head.id,
            server = &*pick.id,
            confidence
        );
    }
    AttemptResult::Responded(Box::new(OpenResponse {
        answered: received.answered,
        head,
        pick,
        head_ms: received.head_ms,
        expected_head_ms: received.expected_head_ms,
        ahead: ReadAhead::default(),
        in_flight: Some(received.in_flight),
        tracking_guard: received.tracking_guard,
    }))
}

fn request(
    node: &Node,
    job: &Job,
    pick: &Pick,
    model: Option<&str>,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let remaining = job.deadline.since(now()).as_millis();
    let head = UpstreamHead {
        server: &pick.id,
        remaining_ms: Some(u64::try_from(remaining).unwrap_or(u64::MAX)),
        organisation: job.organisation.as_deref(),
        priority: Some(job.priority.unwrap_or(job.route.priority)),
        model,
        last_event,
    };
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.target.clone();
    *request.headers_mut() = job.headers.clone();
    headers::strip_hop_by_hop(request.headers_mut());
    node.platform
        .write_upstream_head(request.headers_mut(), &head);
    request
}

/// Records that a server whose head was received goes on to send bytes that are no answer.
pub fn record_endless(node: &Rc<Node>, job: &Job, pick: &Pick, reason: &str) {
    let outcome = Some(Outcome::Endless);
    record_outcome(node, job, pick, pick.at, outcome, "endless", reason);
}

/// Records an outcome in the health of the server and logs the attempt.
fn record_outcome(
    node: &Rc<Node>,
    job: &Job,
    pick: &Pick,
    started: Instant,
    outcome: Option<Outcome>,
    label: &str,
    detail: &str,
) {
    let ended = now();
    node.metrics
        .attempts
        .with_label_values(&[&*pick.service, label])
        .inc();
    let mut view = node.view.borrow_mut();
    let revision = view.revision;
    let mut running = 0;
    let server = view.servers.get_mut(&pick.id);
    // The outcome of a request before a restart does not count for the restarted server.
    if let Some(server) = server.filter(|server| server.identity == pick.identity) {
        running = server.running;
        // A server may be silent because it is overloaded; see `run`.
        if let Some(outcome) = outcome
            && label != "silent"
        {
            let short = load::short_id(server.identity);
            match outcome {
                Outcome::Succeeded | Outcome::Failed | Outcome::Endless => {
                    let is_failure = outcome != Outcome::Succeeded;
                    node.load.record_attempt(ended, short, is_failure);
                }
                Outcome::Broken | Outcome::Unreached => {
                    let is_unreached = outcome == Outcome::Unreached;
                    reach::doubt(node, server.identity, is_unreached, Held::Attempt(short));
                }
            }
        }
        if let Some(outcome) = outcome
            && server.health.observe(ended, outcome)
        {
            // This is the event of an ejection.
            tracing::warn!(
                event = "server-left-out",
                server = &*pick.id,
                service = &*pick.service,
                failures = server.health.failures()
            );
        }
    }
    tracing::info!(
        event = "attempt",
        id = job.head.id,
        session = format!("{:016x}", job.session),
        route = &*job.route.name,
        server = &*pick.id,
        version = &*pick.version,
        near = pick.is_same_zone,
        cold = pick.is_cold,
        running,
        revision = %revision,
        ms = ended.since(started).as_secs_f64() * 1_000.0,
        outcome = label,
        detail
    );
}
