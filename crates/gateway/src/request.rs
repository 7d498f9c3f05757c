//! One request of a caller, from its head to the answer.
//!
//! route → key → body → model → server → attempt → head judged → answer. Nothing of
//! an answer goes to the caller before its head is judged, so up to then another
//! server or a larger model can be asked instead.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::routed::escalation;
use hyper::body::Incoming;
use hyper::{Request, Response};
use rand::RngExt as _;

use crate::attempt::{self, Job, NotRun, Tried};
use crate::body::Answer;
use crate::catalog::Kind;
use crate::clock::{deadline, now};
use crate::course::{Course, Kept, further};
use crate::eligible;
use crate::intake;
use crate::judge::{self, Judged};
use crate::node::Node;
use crate::pick;
use crate::refusal::Refusal;
use crate::relay;
use crate::trials::Ended;

/// Milliseconds that a caller is thought to wait if neither it nor the route says.
const WAIT_MS: u64 = 60_000;
/// Milliseconds that a request waits for a process that is starting: reading the store
/// takes about ten.
const STARTING_MS: u64 = 200;
/// Time between looks at whether the process has started.
const STARTING_LOOK: Duration = Duration::from_millis(5);
/// Tries at servers that could not be reached; no byte left for them.
const UNREACHED: u32 = 3;
/// Part of a repeatable plain call's target after which another server is asked: a
/// server that does not answer is not told from a slow one any earlier.
const PLAIN_PATIENCE: f64 = 2.5;
/// Part of a stream's target for which its server is left to read the prompt, at least.
const STREAM_PATIENCE: f64 = 0.9;
/// The same at most. An engine that reads long prompts is as silent as one that hangs, and
/// whoever leaves it throws away what it has read.
const STREAM_MOST_PATIENCE: f64 = 2.0;

/// Answers a caller.
pub async fn serve(node: Rc<Node>, request: Request<Incoming>) -> Response<Answer> {
    let arrived = now();
    node.metrics.in_progress.inc();
    let ask = node.platform.ask(request.headers());
    let id = ask.id.clone();
    let mut deadline = arrived.plus_millis(ask.wait_ms.unwrap_or(WAIT_MS));
    wait_for_configuration(&node, arrived).await;
    let mut name: Arc<str> = Arc::from("");
    let result = match intake::admit(&node, &request, &ask) {
        Ok(admitted) => {
            name = admitted.route.name.clone();
            if let Some(timeout_ms) = admitted.route.timeout_ms {
                deadline = deadline.min(arrived.plus_millis(timeout_ms));
            }
            match intake::read(request, admitted, ask, arrived, deadline).await {
                Ok(job) => route(&node, Rc::new(job)).await,
                Err(refusal) => Err(refusal),
            }
        }
        Err(refusal) => Err(refusal),
    };
    node.metrics.in_progress.dec();
    finish(&node, result, &id, &name, arrived, deadline)
}

/// Waits a moment for the first configuration. Callers reach a process that has just
/// started some milliseconds before it has read the store; refused, they come back much
/// later and with one try less.
async fn wait_for_configuration(node: &Node, arrived: Instant) {
    let until = arrived.plus_millis(STARTING_MS);
    while !node.view.borrow().is_ready() && now() < until {
        tokio::time::sleep(STARTING_LOOK).await;
    }
}

fn finish(
    node: &Node,
    result: Result<Response<Answer>, Refusal>,
    id: &str,
    route: &str,
    arrived: Instant,
    deadline: Instant,
) -> Response<Answer> {
    let outcome = match &result {
        Ok(_) => "answered",
        Err(refusal) => refusal.word(),
    };
    let spread = node.random.borrow_mut().random::<f64>();
    let response = result.unwrap_or_else(|refusal| refusal.answer(now(), deadline, spread));
    let passed = now().since(arrived);
    node.metrics
        .requests
        .with_label_values(&[route, outcome])
        .inc();
    node.metrics
        .first
        .with_label_values(&[route])
        .observe(passed.as_secs_f64());
    let configuration = node
        .view
        .borrow()
        .catalog
        .as_ref()
        .map_or(0, |known| known.version);
    tracing::info!(
        event = "request",
        id,
        route,
        outcome,
        status = response.status().as_u16(),
        ms = passed.as_secs_f64() * 1_000.0,
        configuration
    );
    response
}

async fn route(node: &Rc<Node>, job: Rc<Job>) -> Result<Response<Answer>, Refusal> {
    if node.suspects.borrow().is_refused(now(), job.digest) {
        tracing::warn!(
            event = "crashing-request",
            id = job.ask.id,
            digest = job.digest
        );
        return Err(Refusal::NotRun);
    }
    let service = pick::service(&job.route, &job.ask.id).ok_or(Refusal::NotRun)?;
    node.budgets
        .borrow_mut()
        .entry(service.clone())
        .or_default()
        .count_request(now());
    let mut course = Course::default();
    if job.ask.any_model {
        course.model = escalation::first(job.route.models.len());
    }
    let until = deadline(job.deadline);
    let steps = steps(node, &job, &service, &mut course);
    let result = match tokio::time::timeout_at(until, steps).await {
        Ok(result) => result,
        Err(_) if course.may_have_run => Err(Refusal::Late),
        Err(_) => Err(Refusal::NotRun),
    };
    match (result, course.kept) {
        (Err(refusal), Some(kept)) => {
            Ok(fall_back(node, &job, &service, kept, course.sent, refusal))
        }
        (result, _) => result,
    }
}

/// Answers with what a smaller model made, since no larger one's answer comes in time. A doubted
/// answer is better for the caller than none.
fn fall_back(
    node: &Rc<Node>,
    job: &Rc<Job>,
    service: &Arc<str>,
    kept: Kept,
    sent: u32,
    refusal: Refusal,
) -> Response<Answer> {
    tracing::info!(
        event = "fell-back",
        id = job.ask.id,
        server = &*kept.headed.pick.id,
        model = kept.model,
        instead = refusal.word()
    );
    let route = &*job.route.name;
    node.metrics.fallbacks.with_label_values(&[route]).inc();
    relay::begin(node, job, service, kept.headed, Some(kept.model), sent)
}

async fn steps(
    node: &Rc<Node>,
    job: &Rc<Job>,
    service: &Arc<str>,
    course: &mut Course,
) -> Result<Response<Answer>, Refusal> {
    loop {
        let model = course
            .model
            .map(|rank| (rank, job.route.models[rank].clone()));
        let name = model.as_ref().map(|(_, name)| &**name);
        let Some(pick) = pick::pick(node, job, service, name, &course.tried) else {
            let barred = eligible::barred(node, job, service, now());
            tracing::info!(
                event = "no-server",
                id = job.ask.id,
                service = &**service,
                tried = course.tried.len(),
                evacuated = barred.evacuated,
                elsewhere = barred.elsewhere,
                cold = barred.cold
            );
            return Err(give_up(course));
        };
        let may_have_run = course.may_have_run;
        course.may_have_run = true;
        let named = model.as_ref().map(|(rank, name)| (*rank, &**name));
        let until = patience(job, course);
        let tried = attempt::run(node, job, pick.clone(), named, job.ask.last_event, until).await;
        match tried {
            Tried::NotRun(how) => {
                course.may_have_run = may_have_run;
                course.tried.push(pick.id.clone());
                let goes_on = match how {
                    NotRun::Unreached => {
                        course.unreached += 1;
                        course.unreached < UNREACHED
                    }
                    NotRun::Said => {
                        course.sent += 1;
                        further(node, job, service, course.sent, "not-run")
                    }
                };
                if !goes_on {
                    return Err(give_up(course));
                }
            }
            Tried::Unknown | Tried::Silent => {
                let ended = match tried {
                    Tried::Silent => Ended::Silently,
                    _ => Ended::Broken,
                };
                judge::count(node, job, &pick, course.model, ended);
                if matches!(tried, Tried::Unknown) {
                    node.suspects.borrow_mut().crashed(now(), job.digest);
                }
                course.tried.push(pick.id.clone());
                course.sent += 1;
                let may_repeat = job.route.is_repeatable() && !course.is_kept_due();
                if !may_repeat || !further(node, job, service, course.sent, "failed") {
                    let is_over = now() >= job.deadline;
                    return Err(if is_over {
                        Refusal::Late
                    } else {
                        Refusal::Unknown
                    });
                }
            }
            Tried::Headed(headed) => {
                course.sent += 1;
                match judge::judge(node, job, service, course, *headed).await {
                    Judged::Answer(response) => return Ok(response),
                    Judged::Refuse(refusal) => return Err(refusal),
                    Judged::Again => {}
                }
            }
        }
    }
}

fn give_up(course: &Course) -> Refusal {
    if course.may_have_run {
        Refusal::Unknown
    } else {
        Refusal::NotRun
    }
}

/// Until when an attempt may go without a head before another server is asked, or a kept answer
/// is given.
fn patience(job: &Job, course: &Course) -> Instant {
    let latest = course.kept.as_ref().map_or(job.deadline, |kept| kept.until);
    let is_last = course.sent + 1 >= job.route.attempts;
    let (Some(target_ms), false, true) = (job.route.target_ms, is_last, job.route.is_repeatable())
    else {
        return latest;
    };
    let target = Duration::from_millis(target_ms);
    let patience = match job.route.kind {
        Kind::Streaming => stream_patience(target, job.deadline.since(now())),
        Kind::Idempotent | Kind::NonIdempotent => target.mul_f64(PLAIN_PATIENCE),
    };
    (now() + patience).min(latest)
}

/// How long the server of a stream may be silent, with `left` until the deadline: the next one
/// needs as long.
fn stream_patience(target: Duration, left: Duration) -> Duration {
    let most = target.mul_f64(STREAM_MOST_PATIENCE).min(left / 2);
    most.max(target.mul_f64(STREAM_PATIENCE))
}
