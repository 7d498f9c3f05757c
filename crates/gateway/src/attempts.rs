//! The attempts of a request at backend servers, one after another.

use std::rc::Rc;
use std::sync::Arc;

use fescuerack_core::clock::Instant;
use hyper::Response;

use crate::attempt::{self, AttemptResult, ChosenModel, Job, NotRunReason};
use crate::attempt_deadline;
use crate::body::ResponseBody;
use crate::clock::{age_ms, deadline, now};
use crate::eligible;
use crate::evidence;
use crate::fallback;
use crate::forward::Forward;
use crate::model;
use crate::node::Node;
use crate::pick::{self, Pick};
use crate::progress::RequestProgress;
use crate::reach;
use crate::refusal::Refusal;
use crate::repeat::{Permission, take_retry};
use crate::verdict::{self, Verdict};

/// Attempts at servers that could not be reached, after which the request fails.
const MAX_CONNECT_FAILURES: u32 = 12;
/// The same for those that took long. A server whose process has ended refuses at once, and several
/// may end in a row.
const MAX_SLOW_CONNECT_FAILURES: u32 = 3;
/// Milliseconds from which on an attempt to connect took long.
const SLOW_CONNECT_MS: u64 = 50;

/// Makes attempts until one has a result for the caller, or until that of a larger model is no longer waited
/// for.
///
/// # Errors
///
/// When there is no answer: why.
pub async fn run(
    node: &Rc<Node>,
    job: &Rc<Job>,
    service: &Arc<str>,
    progress: &mut RequestProgress,
) -> Result<Response<ResponseBody>, Refusal> {
    loop {
        let until = progress.answer_until(job);
        let is_held = !progress.held.is_empty();
        let over = async {
            if is_held {
                fallback::due(node, until).await;
            } else {
                tokio::time::sleep_until(deadline(until)).await;
            }
        };
        let result = tokio::select! {
            biased;
            result = attempt(node, job, service, progress) => result?,
            () = over => return Err(overdue(progress)),
        };
        if let Some(response) = result {
            return Ok(response);
        }
    }
}

/// Returns the refusal of a request whose time is over.
const fn overdue(progress: &RequestProgress) -> Refusal {
    if progress.may_have_run {
        Refusal::DeadlineExceeded
    } else {
        Refusal::NotRun
    }
}

/// Sends a request through a peer if that [serves it better](reach::needs_peer) or owns the brittle
/// servers that are to run it; `None` if this node does, or no peer takes the request. `is_counted`
/// states whether the request has been counted in the retry budget.
pub async fn forward(
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

/// Makes an attempt; `None` if another one follows.
async fn attempt(
    node: &Rc<Node>,
    job: &Rc<Job>,
    service: &Arc<str>,
    progress: &mut RequestProgress,
) -> Result<Option<Response<ResponseBody>>, Refusal> {
    if progress.sent > 0 || progress.connect_failures > 0 {
        node.path.settled().await;
    }
    if let Some(result) = forward(node, job, service, progress, true).await {
        return result.map(Some);
    }
    let pick = select_server(node, job, service, progress).await?;
    let may_have_run = std::mem::replace(&mut progress.may_have_run, true);
    match send(node, job, progress, &pick).await {
        AttemptResult::NotRun(reason) => {
            progress.may_have_run = may_have_run;
            progress.tried.push(pick.id.clone());
            record_not_run(node, job, service, progress, &pick, reason).await?;
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
            repeat_failed(node, job, service, progress).await?;
        }
        AttemptResult::Responded(response) => {
            progress.sent += 1;
            match verdict::decide(node, job, service, progress, *response).await {
                Verdict::Answer(response) => return Ok(Some(response)),
                Verdict::Refuse(refusal) => return Err(refusal),
                Verdict::Retry => {}
            }
        }
    }
    Ok(None)
}

/// Waits until an attempt may begin, and selects its server.
async fn select_server(
    node: &Rc<Node>,
    job: &Job,
    service: &Arc<str>,
    progress: &mut RequestProgress,
) -> Result<Pick, Refusal> {
    let admitted = evidence::admit(node, job, progress.sent > 0).await;
    let trial = admitted.map_err(|until| exhausted(progress, Some(until)))?;
    wait_for_place(node, job, service, progress).await?;
    let mut pick = pick_server(node, job, service, progress)?;
    pick.trial = trial;
    Ok(pick)
}

/// Sends the request to `pick`, and waits for the head of its response.
async fn send(
    node: &Rc<Node>,
    job: &Job,
    progress: &RequestProgress,
    pick: &Pick,
) -> AttemptResult {
    let chosen = progress.model.map(|rank| ChosenModel {
        rank,
        name: &job.route.models[rank],
    });
    let until = attempt_deadline::of(job, progress);
    attempt::run(node, job, pick.clone(), chosen, job.head.last_event, until).await
}

/// Records that an attempt has not run the request.
///
/// # Errors
///
/// When no other attempt is made.
async fn record_not_run(
    node: &Rc<Node>,
    job: &Job,
    service: &Arc<str>,
    progress: &mut RequestProgress,
    pick: &Pick,
    reason: NotRunReason,
) -> Result<(), Refusal> {
    let may_continue = match reason {
        NotRunReason::Unreachable => {
            if let Some(refusal) = path_lost(node, job, service, progress).await {
                return Err(refusal);
            }
            progress.connect_failures += 1;
            progress.slow_connect_failures += u32::from(age_ms(pick.at) >= SLOW_CONNECT_MS);
            may_try_another(node, job, service, progress)
        }
        NotRunReason::Reported => {
            progress.sent += 1;
            let permission = Some(Permission::of_not_run(reason));
            take_retry(permission, node, job, service, progress.sent, "not-run")
        }
    };
    if may_continue {
        return Ok(());
    }
    Err(exhausted(progress, eligible::retry_at(node, job, service)))
}

/// Takes another attempt after one that has failed.
///
/// # Errors
///
/// When there is none.
async fn repeat_failed(
    node: &Rc<Node>,
    job: &Job,
    service: &Arc<str>,
    progress: &RequestProgress,
) -> Result<(), Refusal> {
    if let Some(refusal) = path_lost(node, job, service, progress).await {
        return Err(refusal);
    }
    let permission = Permission::of_route(&job.route);
    if !progress.is_fallback_due()
        && take_retry(permission, node, job, service, progress.sent, "failed")
    {
        return Ok(());
    }
    Err(if now() >= job.deadline {
        Refusal::DeadlineExceeded
    } else {
        Refusal::OutcomeUnknown
    })
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
