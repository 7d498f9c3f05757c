//! Processes a request of a caller, from its head to the answer.
//!
//! The steps are: route, key, body, model, server, attempt, verdict on the head, answer. Nothing of
//! an answer is sent to the caller before the verdict on its head, so until then another server or
//! a larger model can be used instead.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fescuerack_core::clock::Instant;
use hyper::body::Incoming;
use hyper::{Request, Response};
use rand::RngExt as _;

use crate::attempt::{self, AttemptResult, ChosenModel, Job, NotRunReason};
use crate::attempt_deadline;
use crate::body::ResponseBody;
use crate::clock::{age_ms, deadline, now};
use crate::eligible;
use crate::evidence;
use crate::forward::Forward;
use crate::hop::{self, Hop, NotTaken, PathLost};
use crate::intake;
use crate::model;
use crate::node::Node;
use crate::pick::{self, Pick};
use crate::progress::{Fallback, RequestProgress};
use crate::reach;
use crate::refusal::Refusal;
use crate::relay;
use crate::repeat::{Permission, take_retry};
use crate::rollout::AnswerOutcome;
use crate::verdict::{self, Verdict};

/// Time-out of a request in milliseconds, if neither the caller nor the route states one.
const DEFAULT_TIMEOUT_MS: u64 = 60_000;
/// Milliseconds that a request waits for a process that is starting. Reading the store takes about
/// ten.
const STARTUP_WAIT_MS: u64 = 200;
/// Interval at which a waiting request checks whether the process has started.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Attempts at servers that could not be reached, after which the request fails.
const MAX_CONNECT_FAILURES: u32 = 12;
/// The same for those that took long. A server whose process has ended refuses at once, and several
/// may end in a row.
const MAX_SLOW_CONNECT_FAILURES: u32 = 3;
/// Milliseconds from which on an attempt to connect took long.
const SLOW_CONNECT_MS: u64 = 50;

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
    let mut name: Arc<str> = Arc::from("");
    let result = match intake::admit(&node, &request, &head) {
        Ok(admitted) => {
            name = admitted.route.name.clone();
            if let Some(timeout_ms) = admitted.route.timeout_ms {
                deadline = deadline.min(arrived.plus_millis(timeout_ms));
            }
            match intake::read_body(request, admitted, head, hop, arrived, deadline).await {
                Ok(job) => route(&node, Rc::new(job)).await,
                Err(refusal) => Err(refusal),
            }
        }
        Err(refusal) => Err(refusal),
    };
    node.metrics.in_progress.dec();
    finish(&node, result, &id, &name, arrived, deadline)
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
        Err(Refusal::Full) => Some(NotTaken(hop::FULL)),
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
    if let Some(result) = forward(node, &job, &service, &mut progress, false).await {
        return result;
    }
    if !job.hop.is_some_and(|hop| hop.is_counted) {
        count_request(node, &service);
    }
    progress.sent = job.hop.map_or(0, |hop| hop.sent);
    let until = deadline(job.deadline);
    let run_attempts = run_attempts(node, &job, &service, &mut progress);
    let result = match tokio::time::timeout_at(until, run_attempts).await {
        Ok(result) => result,
        Err(_) if progress.may_have_run => Err(Refusal::DeadlineExceeded),
        Err(_) => Err(Refusal::NotRun),
    };
    match (result, progress.fallback) {
        (Err(refusal), Some(fallback)) => Ok(serve_fallback(
            node,
            &job,
            &service,
            fallback,
            progress.sent,
            refusal,
        )),
        (result, fallback) => {
            if let Some(fallback) = fallback {
                inspect_unneeded(node, job, fallback);
            }
            result
        }
    }
}

/// Counts a request in the retry budget of its service.
fn count_request(node: &Node, service: &Arc<str>) {
    let sent_at = node.standstill.borrow().sent_at(now());
    let bound = node.settings.borrow().retries;
    let mut budgets = node.retry_budgets.borrow_mut();
    let budget = budgets.entry(service.clone()).or_default();
    budget.count_request(sent_at, &bound);
}

/// Sends a request through a peer if that [serves it better](reach::needs_peer) or owns the brittle
/// servers that are to run it; `None` if this node does, or no peer takes the request. `is_counted`
/// states whether the request has been counted in the retry budget.
async fn forward(
    node: &Rc<Node>,
    job: &Rc<Job>,
    service: &Arc<str>,
    progress: &mut RequestProgress,
    is_counted: bool,
) -> Option<Result<Response<ResponseBody>, Refusal>> {
    let model = progress.model.map(|rank| &*job.route.models[rank]);
    let is_unreached = reach::needs_peer(node, job, service, model);
    let is_owned =
        !is_unreached && eligible::lacks_place(node, job, service, model, &progress.tried);
    if progress.has_no_peer || !(is_unreached || is_owned) {
        return None;
    }
    if job.hop.is_some() {
        let is_refused = is_unreached && !progress.may_have_run && progress.sent == 0;
        return is_refused.then_some(Err(Refusal::Unreached));
    }
    let forward = Forward::new(node, job, service, progress.sent, is_counted).serve();
    let result = tokio::time::timeout_at(deadline(job.deadline), forward).await;
    let result = result.unwrap_or(Some(Err(Refusal::DeadlineExceeded)));
    progress.has_no_peer = result.is_none();
    result
}

/// Looks in the background whether the server broke off a fallback answer that is not needed.
fn inspect_unneeded(node: &Rc<Node>, job: Rc<Job>, fallback: Fallback) {
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let pick = fallback.response.pick.clone();
        if evidence::is_broken_off(fallback.response).await {
            let model = Some(fallback.model);
            verdict::record_end(&node, &job, &pick, model, AnswerOutcome::Broken);
        }
    });
}

/// Answers with the output of a smaller model, since no answer of a larger one was received in
/// time. An answer of low confidence is better for the caller than none.
fn serve_fallback(
    node: &Rc<Node>,
    job: &Rc<Job>,
    service: &Arc<str>,
    fallback: Fallback,
    sent: u32,
    refusal: Refusal,
) -> Response<ResponseBody> {
    tracing::info!(
        event = "fell-back",
        id = job.head.id,
        server = &*fallback.response.pick.id,
        model = fallback.model,
        instead = refusal.code()
    );
    let route = &*job.route.name;
    node.metrics
        .fallback_answers
        .with_label_values(&[route])
        .inc();
    relay::start(
        node,
        job,
        service,
        fallback.response,
        Some(fallback.model),
        sent,
    )
}

async fn run_attempts(
    node: &Rc<Node>,
    job: &Rc<Job>,
    service: &Arc<str>,
    progress: &mut RequestProgress,
) -> Result<Response<ResponseBody>, Refusal> {
    loop {
        if progress.sent > 0 || progress.connect_failures > 0 {
            node.path.settled().await;
        }
        if let Some(result) = forward(node, job, service, progress, true).await {
            return result;
        }
        let is_repeat = progress.sent > 0;
        let admitted = evidence::admit(node, job, is_repeat).await;
        let trial = admitted.map_err(|until| exhausted(progress, Some(until)))?;
        wait_for_place(node, job, service, progress).await?;
        let mut pick = pick_server(node, job, service, progress)?;
        pick.trial = trial;
        let model = progress
            .model
            .map(|rank| (rank, job.route.models[rank].clone()));
        let may_have_run = progress.may_have_run;
        progress.may_have_run = true;
        let chosen = model
            .as_ref()
            .map(|(rank, name)| ChosenModel { rank: *rank, name });
        let until = attempt_deadline::of(job, progress);
        let outcome =
            attempt::run(node, job, pick.clone(), chosen, job.head.last_event, until).await;
        match outcome {
            AttemptResult::NotRun(reason) => {
                progress.may_have_run = may_have_run;
                progress.tried.push(pick.id.clone());
                let may_continue = match reason {
                    NotRunReason::Unreachable => {
                        if let Some(refusal) = path_lost(node, job, service, progress).await {
                            return Err(refusal);
                        }
                        progress.connect_failures += 1;
                        progress.slow_connect_failures +=
                            u32::from(age_ms(pick.at) >= SLOW_CONNECT_MS);
                        may_try_another(node, job, service, progress)
                    }
                    NotRunReason::Reported => {
                        progress.sent += 1;
                        let permission = Some(Permission::of_not_run(reason));
                        take_retry(permission, node, job, service, progress.sent, "not-run")
                    }
                };
                if !may_continue {
                    return Err(exhausted(progress, eligible::retry_at(node, job, service)));
                }
            }
            AttemptResult::CalledBack => {
                progress.sent += 1;
                let permission = Permission::of_route(&job.route);
                if !take_retry(permission, node, job, service, progress.sent, "called-back") {
                    return Err(Refusal::OutcomeUnknown);
                }
            }
            AttemptResult::Failed(ended) => {
                verdict::record_end(node, job, &pick, progress.model, ended);
                progress.tried.push(pick.id.clone());
                progress.sent += 1;
                if let Some(refusal) = path_lost(node, job, service, progress).await {
                    return Err(refusal);
                }
                let permission = Permission::of_route(&job.route);
                if progress.is_fallback_due()
                    || !take_retry(permission, node, job, service, progress.sent, "failed")
                {
                    let is_over = now() >= job.deadline;
                    return Err(if is_over {
                        Refusal::DeadlineExceeded
                    } else {
                        Refusal::OutcomeUnknown
                    });
                }
            }
            AttemptResult::Responded(response) => {
                progress.sent += 1;
                match verdict::decide(node, job, service, progress, *response).await {
                    Verdict::Answer(response) => return Ok(response),
                    Verdict::Refuse(refusal) => return Err(refusal),
                    Verdict::Retry => {}
                }
            }
        }
    }
}

/// Returns the refusal of a request of a peer's caller if this node reaches no server for it, as it may
/// have found by the last attempt. Then the peer asks another node, and no repeat is spent here.
async fn path_lost(
    node: &Node,
    job: &Job,
    service: &Arc<str>,
    progress: &RequestProgress,
) -> Option<Refusal> {
    job.hop?;
    node.path.settled().await;
    let model = progress.model.map(|rank| &*job.route.models[rank]);
    if !reach::needs_peer(node, job, service, model) {
        return None;
    }
    Some(if progress.may_have_run {
        Refusal::PathLost(progress.sent)
    } else {
        Refusal::Unreached
    })
}

/// Returns whether another server is tried after one that could not be reached. If this node reaches
/// none, and no peer takes the request, the others would fail as well.
fn may_try_another(node: &Node, job: &Job, service: &Arc<str>, progress: &RequestProgress) -> bool {
    let model = progress.model.map(|rank| &*job.route.models[rank]);
    let is_hopeless = progress.has_no_peer && reach::needs_peer(node, job, service, model);
    !is_hopeless
        && progress.connect_failures < MAX_CONNECT_FAILURES
        && progress.slow_connect_failures < MAX_SLOW_CONNECT_FAILURES
}

/// Waits for a slot of a brittle server of this node, if the request can only run there, for at most
/// half of the time that is left.
async fn wait_for_place(
    node: &Rc<Node>,
    job: &Job,
    service: &Arc<str>,
    progress: &RequestProgress,
) -> Result<(), Refusal> {
    let model = progress.model.map(|rank| &*job.route.models[rank]);
    let lacks_place = || eligible::lacks_place(node, job, service, model, &progress.tried);
    let until = now() + job.deadline.since(now()) / 2;
    if node
        .brittle
        .wait(&node.view, service, until, lacks_place)
        .await
    {
        return Ok(());
    }
    if job.hop.is_some() && !progress.may_have_run {
        return Err(Refusal::Full);
    }
    Err(exhausted(progress, eligible::retry_at(node, job, service)))
}

/// Selects a server for the next attempt. If no server has the model that the gateway has chosen, another
/// model may be taken.
fn pick_server(
    node: &Rc<Node>,
    job: &Job,
    service: &Arc<str>,
    progress: &mut RequestProgress,
) -> Result<Pick, Refusal> {
    let Some(chosen) = progress.model else {
        let pick = pick_of_model(node, job, service, None, progress);
        return pick.ok_or_else(|| exhausted(progress, eligible::retry_at(node, job, service)));
    };
    for rank in model::alternatives(job, chosen) {
        // Larger models are slower, so they are taken only where limits keep a request from smaller ones.
        if rank > chosen && !has_limits(node, job, service) {
            break;
        }
        if let Some(pick) = pick_of_model(node, job, service, Some(rank), progress) {
            progress.model = Some(rank);
            return Ok(pick);
        }
    }
    Err(exhausted(progress, eligible::retry_at(node, job, service)))
}

/// Returns whether limits keep the request from a server for now.
fn has_limits(node: &Node, job: &Job, service: &Arc<str>) -> bool {
    let excluded = eligible::count_excluded(node, job, service, now());
    excluded.retry_at.is_some()
}

/// Selects a server that has loaded the model at `rank`.
fn pick_of_model(
    node: &Node,
    job: &Job,
    service: &Arc<str>,
    rank: Option<usize>,
    progress: &RequestProgress,
) -> Option<Pick> {
    let name = rank.map(|rank| &*job.route.models[rank]);
    let pick = pick::pick(node, job, service, name, &progress.tried);
    if pick.is_none() {
        log_no_server(node, job, service, name, progress);
    }
    pick
}

fn log_no_server(
    node: &Node,
    job: &Job,
    service: &Arc<str>,
    model: Option<&str>,
    progress: &RequestProgress,
) {
    let excluded = eligible::count_excluded(node, job, service, now());
    tracing::info!(
        event = "no-server",
        id = job.head.id,
        service = &**service,
        model,
        tried = progress.tried.len(),
        evacuated = excluded.evacuated,
        elsewhere = excluded.outside_regions,
        cold = excluded.cold,
        limited = excluded.limited,
        resting = excluded.resting,
        brittle = excluded.brittle,
        leaving = excluded.leaving
    );
}

/// Returns the refusal of a request that no server is left for. `retry_at` is when the first server
/// may accept one again, if none may now.
fn exhausted(progress: &RequestProgress, retry_at: Option<Instant>) -> Refusal {
    if progress.may_have_run {
        return Refusal::OutcomeUnknown;
    }
    retry_at.map_or(Refusal::NotRun, Refusal::NotBefore)
}
