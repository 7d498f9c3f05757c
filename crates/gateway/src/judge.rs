//! Judging the head of an answer: pass it on, ask a larger model, or ask again.

use std::rc::Rc;
use std::sync::Arc;

use fescuerack_core::routed::slowness::Pace;
use fescuerack_core::routed::{affinity, escalation};
use http_body_util::{BodyExt as _, Limited};
use hyper::{HeaderMap, Response, StatusCode};

use crate::attempt::{Headed, Job};
use crate::body::Answer;
use crate::catalog::Kind;
use crate::clock::now;
use crate::course::{Course, Kept, further};
use crate::headers;
use crate::node::Node;
use crate::pick::{self, Pick};
use crate::refusal::Refusal;
use crate::relay;
use crate::trials::{self, Ended};

/// Bytes of an answer that is read whole before it is passed on.
const MOST_WHOLE: usize = 32 << 20;

/// What becomes of a request after the head of an answer.
pub enum Judged {
    /// The answer goes to the caller.
    Answer(Response<Answer>),
    /// The request ends without it.
    Refuse(Refusal),
    /// Another attempt is made.
    Again,
}

/// Judges an answer by its head; plain answers are read whole.
pub async fn judge(
    node: &Rc<Node>,
    job: &Rc<Job>,
    service: &Arc<str>,
    course: &mut Course,
    headed: Headed,
) -> Judged {
    let status = headed.answered.response.status();
    if let Some(rank) = course.model
        && status.is_success()
        && let Some(next) = doubted(node, job, service, rank, headed.head.confidence)
        && further(node, job, service, course.sent, "weak")
    {
        node.metrics
            .dropped_answers
            .with_label_values(&[&*job.route.name])
            .inc();
        let ended = Ended::Well(Pace {
            head_ms: headed.head_ms,
            expected_ms: headed.expected_ms,
            event_ms: None,
        });
        count(node, job, &headed.pick, course.model, ended);
        course.kept = Some(Kept::new(headed, rank, job));
        course.model = Some(next);
        return Judged::Again;
    }
    let is_stream = job.route.kind == Kind::Streaming && status.is_success();
    if is_stream {
        let model = course.model;
        return Judged::Answer(relay::begin(node, job, service, headed, model, course.sent));
    }
    whole(node, job, service, course, headed).await
}

/// The model to ask because the answer of the model at `rank` is doubted.
fn doubted(
    node: &Node,
    job: &Job,
    service: &Arc<str>,
    rank: usize,
    confidence: Option<u8>,
) -> Option<usize> {
    let models = job.route.models.len();
    let pressure = pick::pressure(node, job, service, models.checked_sub(1)?).unwrap_or_default();
    let next = escalation::next(models, rank, confidence, pressure);
    tracing::info!(
        event = "judged-answer",
        id = job.ask.id,
        model = rank,
        confidence,
        pressure,
        next
    );
    next
}

/// Reads a plain answer whole, so that one that breaks off can be asked for again.
async fn whole(
    node: &Rc<Node>,
    job: &Rc<Job>,
    service: &Arc<str>,
    course: &mut Course,
    headed: Headed,
) -> Judged {
    let (mut head, body) = headed.answered.response.into_parts();
    let collected = Limited::new(body, MOST_WHOLE).collect().await;
    let ended = match &collected {
        Err(_) => Ended::Broken,
        Ok(_) if head.status.is_server_error() => Ended::Badly,
        Ok(_) => Ended::Well(Pace {
            head_ms: headed.head_ms,
            expected_ms: headed.expected_ms,
            event_ms: None,
        }),
    };
    count(node, job, &headed.pick, course.model, ended);
    drop(headed.running);
    match collected {
        Ok(body) => {
            node.pool.keep(headed.answered.connection);
            let may_repeat = job.route.is_repeatable() && head.status.is_server_error();
            if may_repeat && further(node, job, service, course.sent, "error") {
                course.tried.push(headed.pick.id.clone());
                return Judged::Again;
            }
            // The caller gets the kept answer in place of the larger model's failure.
            if head.status.is_server_error() && course.kept.is_some() {
                return Judged::Refuse(Refusal::Unknown);
            }
            node.suspects.borrow_mut().ended_well(now(), job.digest);
            headers::strip(&mut head.headers);
            Judged::Answer(Response::from_parts(head, Answer::whole(body.to_bytes())))
        }
        Err(error) => {
            tracing::info!(event = "answer-broken", id = job.ask.id, server = &*headed.pick.id, reason = %error);
            course.tried.push(headed.pick.id.clone());
            if job.route.is_repeatable() && further(node, job, service, course.sent, "broken") {
                return Judged::Again;
            }
            Judged::Refuse(Refusal::Unknown)
        }
    }
}

/// Counts how an attempt ended for a roll-out of the service.
pub fn count(node: &Node, job: &Job, pick: &Pick, model: Option<usize>, ended: Ended) {
    trials::count(node, pick, &job.route.name, kind(job, model), ended);
}

/// Number by which answers that usually take unlike long are told apart.
#[must_use]
pub fn kind(job: &Job, model: Option<usize>) -> u64 {
    let model = u64::try_from(model.unwrap_or_default()).unwrap_or_default();
    affinity::mix(affinity::hash(job.route.name.as_bytes()) ^ model)
}

/// Status and headers of an answer that is relayed.
#[must_use]
pub fn relayed(status: StatusCode, mut headers: HeaderMap, body: Answer) -> Response<Answer> {
    headers::strip(&mut headers);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
