//! The answer of a smaller model, held while a larger one is asked.
//!
//! An answer of low confidence is better for the caller than none. So it is read to its end meanwhile, as a
//! server cuts off an answer that nobody reads, and may end. However the attempt at the larger model ends
//! without an answer, the caller gets the one that is held. An answer of the larger model counts once its
//! body has begun.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fescuerack_core::clock::Instant;
use hyper::Response;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::attempt::{Job, OpenResponse};
use crate::body::ResponseBody;
use crate::clock::deadline;
use crate::node::Node;
use crate::progress::RequestProgress;
use crate::refusal::Refusal;
use crate::relay;
use crate::rollout::AnswerOutcome;
use crate::verdict;

/// The answer is sent when the remaining time is the whole time of the request divided by this.
const RESERVE_DIVISOR: u32 = 20;
/// Milliseconds before the end of a stopping process at which the answer is sent.
const EXIT_RESERVE_MS: u64 = 500;
/// Time within which the end of an answer that is not needed is received, if there is one.
const UNNEEDED_END_TIMEOUT: Duration = Duration::from_millis(20);

/// An answer that the caller gets if there is none of a larger model.
pub struct Fallback {
    /// Index of the model that generated it.
    model: usize,
    /// Server that generated it.
    server: Arc<str>,
    /// When it is sent to the caller at the latest.
    until: Instant,
    answer: Answer,
}

enum Answer {
    /// A whole answer.
    Whole(Response<ResponseBody>),
    /// A stream.
    Stream(Reader),
}

impl Fallback {
    /// Holds a whole answer of the model at `model`, which `server` has generated.
    #[must_use]
    pub fn new(
        job: &Job,
        model: usize,
        server: Arc<str>,
        response: Response<ResponseBody>,
    ) -> Self {
        Self::with_answer(job, model, server, Answer::Whole(response))
    }

    /// Holds a stream of the model at `model`.
    #[must_use]
    pub fn with_stream(
        node: &Rc<Node>,
        job: &Job,
        model: usize,
        mut response: OpenResponse,
    ) -> Self {
        // Its outcome was counted when it was found to be of low confidence.
        response.tracking_guard = None;
        let server = response.pick.id.clone();
        let reader = Reader::new(node.clone(), response);
        Self::with_answer(job, model, server, Answer::Stream(reader))
    }

    fn with_answer(job: &Job, model: usize, server: Arc<str>, answer: Answer) -> Self {
        let reserve = job.deadline.since(job.arrived) / RESERVE_DIVISOR;
        let reserve_ms = u64::try_from(reserve.as_millis()).unwrap_or(u64::MAX);
        Self {
            model,
            server,
            until: job.deadline.minus_millis(reserve_ms),
            answer,
        }
    }

    /// Returns when it is sent to the caller at the latest, unless the process ends before.
    #[must_use]
    pub const fn until(&self) -> Instant {
        self.until
    }

    /// Returns the response to the caller; `None` if it is a stream that broke off before its first event, and
    /// no other server continues it.
    async fn serve(
        self,
        node: &Rc<Node>,
        job: &Rc<Job>,
        service: &Arc<str>,
        sent: u32,
        instead: &str,
    ) -> Option<Response<ResponseBody>> {
        tracing::info!(
            event = "fell-back",
            id = job.head.id,
            server = &*self.server,
            model = self.model,
            instead
        );
        let response = match self.answer {
            Answer::Whole(response) => response,
            Answer::Stream(reader) => {
                let response = reader.stop().await?;
                let model = Some(self.model);
                let mut response = relay::start(node, job, service, response, model, sent);
                let begun = response.body_mut().begin();
                let begun = tokio::time::timeout_at(deadline(job.deadline), begun).await;
                begun.ok().filter(|has_begun| *has_begun)?;
                response
            }
        };
        let route = &*job.route.name;
        node.metrics
            .fallback_answers
            .with_label_values(&[route])
            .inc();
        Some(response)
    }

    /// Drops an answer that is not needed, and records in the background whether its server broke it off.
    fn discard(self, node: &Rc<Node>, job: &Rc<Job>) {
        let Answer::Stream(reader) = self.answer else {
            return;
        };
        let (node, job, model) = (node.clone(), job.clone(), self.model);
        tokio::task::spawn_local(async move {
            let Some(mut response) = reader.stop().await else {
                return;
            };
            let body = response.answered.response.body_mut();
            let fill = response.ahead.fill(body, &node.buffers);
            // Without an end in time, the server still writes, and its connection is closed.
            let _ = tokio::time::timeout(UNNEEDED_END_TIMEOUT, fill).await;
            if response.ahead.is_whole() {
                node.pool.keep(response.answered.connection);
            } else if response.ahead.is_broken() {
                let outcome = AnswerOutcome::Broken;
                verdict::record_end(&node, &job, &response.pick, Some(model), outcome);
            }
        });
    }
}

/// A task that reads a stream. It ends when this is dropped.
struct Reader {
    stop: oneshot::Sender<()>,
    task: JoinHandle<OpenResponse>,
}

impl Reader {
    fn new(node: Rc<Node>, mut response: OpenResponse) -> Self {
        let (stop, stopped) = oneshot::channel();
        let task = tokio::task::spawn_local(async move {
            let body = response.answered.response.body_mut();
            tokio::select! {
                _ = stopped => {}
                () = response.ahead.fill(body, &node.buffers) => {}
            }
            if response.ahead.is_whole() {
                response.in_flight = None;
            }
            response
        });
        Self { stop, task }
    }

    /// Returns the stream with what has been read of it; `None` if the task has failed.
    async fn stop(self) -> Option<OpenResponse> {
        drop(self.stop);
        self.task.await.ok()
    }
}

/// Waits until the answers that are held are due: at `until`, or before the process ends.
pub async fn due(node: &Node, until: Instant) {
    let mut exits_at = node.exits_at.subscribe();
    let exit = async {
        let exit = exits_at.wait_for(Option::is_some).await.ok();
        match exit.and_then(|at| *at) {
            Some(at) => at.minus_millis(EXIT_RESERVE_MS),
            None => until,
        }
    };
    let until = deadline(until);
    tokio::select! {
        () = tokio::time::sleep_until(until) => {}
        exit = exit => tokio::time::sleep_until(deadline(exit).min(until)).await,
    }
}

/// Returns what the caller gets: `result` if it is an answer, else one that is held.
///
/// # Errors
///
/// When there is neither.
pub async fn settle(
    node: &Rc<Node>,
    job: &Rc<Job>,
    service: &Arc<str>,
    progress: RequestProgress,
    result: Result<Response<ResponseBody>, Refusal>,
) -> Result<Response<ResponseBody>, Refusal> {
    let until = progress.answer_until(job);
    let (sent, mut held) = (progress.sent, progress.held);
    if held.is_empty() {
        return result;
    }
    let missing = match begin(node, until, result).await {
        Ok(response) => {
            discard_all(node, job, held);
            return Ok(response);
        }
        Err(missing) => missing,
    };
    while let Some(fallback) = held.pop() {
        let served = fallback.serve(node, job, service, sent, &missing.reason);
        if let Some(response) = served.await {
            discard_all(node, job, held);
            return Ok(response);
        }
    }
    missing.result
}

/// Why there is no answer of the larger model, and what the caller would get without a fallback.
struct Missing {
    reason: String,
    result: Result<Response<ResponseBody>, Refusal>,
}

/// Returns the response of the larger model if it is a success whose body begins before `until`.
async fn begin(
    node: &Node,
    until: Instant,
    result: Result<Response<ResponseBody>, Refusal>,
) -> Result<Response<ResponseBody>, Missing> {
    let mut response = result.map_err(|refusal| Missing {
        reason: refusal.code().to_owned(),
        result: Err(refusal),
    })?;
    if !response.status().is_success() {
        return Err(Missing {
            reason: response.status().as_str().to_owned(),
            result: Ok(response),
        });
    }
    let has_begun = tokio::select! {
        biased;
        has_begun = response.body_mut().begin() => has_begun,
        () = due(node, until) => false,
    };
    if has_begun {
        return Ok(response);
    }
    Err(Missing {
        reason: "no-event".to_owned(),
        result: Err(Refusal::OutcomeUnknown),
    })
}

fn discard_all(node: &Rc<Node>, job: &Rc<Job>, held: Vec<Fallback>) {
    for fallback in held {
        fallback.discard(node, job);
    }
}
