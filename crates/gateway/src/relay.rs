//! Relays a stream of events, and resumes it at another server when it breaks.
//!
//! Only whole events are forwarded to the caller. When the server fails and the streams of the
//! route may be resumed, the same model at another server is requested to continue after the last
//! event. The caller keeps the head of the first server. A stream that cannot be resumed is
//! aborted, so that the caller can detect the truncation.
//!
//! A server stalls if it sends no event for too long, whatever else it sends: blank lines, comments and an
//! event that does not end give the caller nothing. Before the first event, too long is what is
//! [unusual](fescuerack_core::gateway::first_event).
//!
//! A stalled server may still be working: an engine that prefills long prompts of other requests
//! generates a token in half a second. So a hedged request is sent to another server. The stalled
//! server continues if it sends an event before the head of the other one is received; otherwise
//! the other one continues. If no other server can be used, the relay waits for the stalled one.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::slowness::Timing;
use http_body_util::BodyExt as _;
use http_body_util::channel::{Channel, Sender};
use hyper::Response;
use hyper::body::Incoming;

use crate::attempt::{self, AttemptResult, ChosenModel, Job, NotRunReason, OpenResponse};
use crate::body::{AbortReason, Relayed, ResponseBody};
use crate::clock::{deadline, now};
use crate::events::Splitter;
use crate::evidence;
use crate::forward::Forward;
use crate::node::Node;
use crate::pick::{self, Pick};
use crate::progress;
use crate::reach;
use crate::rollout::AnswerOutcome;
use crate::verdict;

/// Frames that are buffered for a slow caller before back-pressure on the server.
const BUFFERED_FRAMES: usize = 16;
/// Time without an event before a hedged request is sent, as a multiple of the longest pause that
/// the route allows between events.
const STALL_FACTOR: f64 = 1.6;
/// Minimum number of events for a meaningful mean time between events.
const MIN_EVENTS: u32 = 4;
/// The first event is waited for as long as the time that is left, divided by this, until it is known what is
/// usual.
const FIRST_EVENT_DIVISOR: u32 = 4;
/// Milliseconds without an event before a hedged request is sent, if the route states no target
/// inter-token latency.
const DEFAULT_STALL_MS: u64 = 5_000;

/// Number of attempts that were made until the head of a stream, as an extension of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptCount(pub u32);

struct Stream {
    node: Rc<Node>,
    job: Rc<Job>,
    service: Arc<str>,
    model: Option<usize>,
    sent: u32,
    tried: Vec<Arc<str>>,
    splitter: Splitter,
    /// Milliseconds of the longest pause between two events.
    pause_ms: f64,
    /// When the last event was forwarded.
    last_event_at: Option<Instant>,
}

/// What a server sends next.
enum Next {
    /// Whole events.
    Events(Bytes),
    /// The end of the body, with what precedes it.
    End(Bytes),
    /// The body breaks off, or is no stream of events.
    Broken(AnswerOutcome, String),
}

/// How the segment of a stream from one server ended.
enum Segment {
    /// The stream is complete.
    Done,
    /// The server failed in this way, for the reason given.
    Broken(AnswerOutcome, String),
    /// The server stalled, and another one continues.
    Hedged(Box<OpenResponse>),
    /// The caller disconnected.
    CallerLeft,
}

/// Starts to relay a stream and returns the response to the caller.
pub fn start(
    node: &Rc<Node>,
    job: &Rc<Job>,
    service: &Arc<str>,
    response: OpenResponse,
    model: Option<usize>,
    sent: u32,
) -> Response<ResponseBody> {
    let status = response.answered.response.status();
    let headers = response.answered.response.headers().clone();
    let (sender, channel) = Channel::new(BUFFERED_FRAMES);
    let stream = Stream {
        node: node.clone(),
        job: job.clone(),
        service: service.clone(),
        model,
        sent,
        tried: Vec::new(),
        splitter: Splitter::new(job.head.last_event),
        pause_ms: 0.0,
        last_event_at: None,
    };
    let task = tokio::task::spawn_local(stream.run(response, sender));
    let body = ResponseBody::Relayed(Relayed::new(channel, task.abort_handle()));
    let mut response = verdict::with_status(status, headers, body);
    response.extensions_mut().insert(AttemptCount(sent));
    response
}

impl Stream {
    async fn run(mut self, response: OpenResponse, mut sender: Sender<Bytes, AbortReason>) {
        let until = deadline(self.job.deadline);
        let outcome =
            match tokio::time::timeout_at(until, self.relay_all(response, &mut sender)).await {
                Ok(Ok(outcome)) => outcome,
                Ok(Err(cut)) => {
                    sender.abort(cut);
                    "cut"
                }
                Err(_) => {
                    sender.abort(AbortReason::DeadlineExceeded);
                    "late"
                }
            };
        let route = &*self.job.route.name;
        self.node
            .metrics
            .requests
            .with_label_values(&[route, &format!("stream-{outcome}")])
            .inc();
        tracing::info!(
            event = "stream",
            id = self.job.head.id,
            route,
            outcome,
            events = self.splitter.count(),
            attempts = self.sent,
            pause_ms = self.pause_ms,
            ms = now().since(self.job.arrived).as_secs_f64() * 1_000.0
        );
    }

    async fn relay_all(
        &mut self,
        response: OpenResponse,
        sender: &mut Sender<Bytes, AbortReason>,
    ) -> Result<&'static str, AbortReason> {
        let mut response = response;
        loop {
            let pick = response.pick.clone();
            let (head_ms, expected_ms) = (response.head_ms, response.expected_head_ms);
            let (started, events) = (now(), self.splitter.count());
            match self.relay_segment(response, sender).await {
                Segment::Done => {
                    let pace = Timing {
                        head_ms,
                        expected_ms,
                        event_interval_ms: self.mean_event_ms(started, events),
                    };
                    let ended = AnswerOutcome::Succeeded(pace);
                    verdict::record_end(&self.node, &self.job, &pick, self.model, ended);
                    return Ok("whole");
                }
                Segment::CallerLeft => return Ok("caller-left"),
                Segment::Broken(ended, reason) => {
                    verdict::record_end(&self.node, &self.job, &pick, self.model, ended);
                    tracing::info!(
                        event = "stream-broken",
                        id = self.job.head.id,
                        server = &*pick.id,
                        last = self.splitter.last(),
                        reason
                    );
                    self.tried.push(pick.id);
                    self.splitter.drop_partial();
                    self.node.path.settled().await;
                    if let Some(result) = self.continue_at_peer(sender).await {
                        return result.map(|()| "through-peer");
                    }
                    response = self
                        .resume(self.splitter.last())
                        .await
                        .ok_or(AbortReason::UpstreamFailed)?;
                }
                Segment::Hedged(next) => {
                    verdict::record_end(
                        &self.node,
                        &self.job,
                        &pick,
                        self.model,
                        AnswerOutcome::TimedOut,
                    );
                    tracing::info!(
                        event = "stream-overtaken",
                        id = self.job.head.id,
                        server = &*pick.id,
                        by = &*next.pick.id,
                        last = self.splitter.last()
                    );
                    self.splitter.drop_partial();
                    response = *next;
                }
            }
        }
    }

    /// Lets a peer continue the stream if this node reaches no server for it; `None` if it does, or
    /// no peer takes it.
    async fn continue_at_peer(
        &mut self,
        sender: &mut Sender<Bytes, AbortReason>,
    ) -> Option<Result<(), AbortReason>> {
        let job = &self.job;
        if job.hop.is_some() || !job.route.resumable {
            return None;
        }
        let model = self.model.map(|rank| &*job.route.models[rank]);
        if !reach::needs_peer(&self.node, job, &self.service, model) {
            return None;
        }
        if !progress::take_retry(&self.node, job, &self.service, self.sent, "peer") {
            return Some(Err(AbortReason::UpstreamFailed));
        }
        let forward = Forward::new(&self.node, job, &self.service, self.sent, true);
        forward.continue_stream(self.splitter.last(), sender).await
    }

    /// Forwards the events of one server.
    async fn relay_segment(
        &mut self,
        response: OpenResponse,
        sender: &mut Sender<Bytes, AbortReason>,
    ) -> Segment {
        let OpenResponse {
            answered,
            in_flight,
            tracking_guard: _tracking_guard,
            pick,
            ..
        } = response;
        let mut body = answered.response.into_body();
        let mut is_proved = false;
        let mut has_begun = false;
        loop {
            let stalled_at = now() + self.stall_timeout(has_begun);
            let next = self.next(&pick, &mut body);
            let next = match tokio::time::timeout_at(deadline(stalled_at), next).await {
                Ok(next) => next,
                Err(_) => match self.hedge(&pick, &mut body).await {
                    Ok(next) => next,
                    Err(response) => return Segment::Hedged(response),
                },
            };
            let (events, is_over) = match next {
                Next::Events(events) => (events, false),
                Next::End(rest) => (rest, true),
                Next::Broken(ended, reason) => return Segment::Broken(ended, reason),
            };
            if !is_over {
                self.record_event(&pick, !has_begun);
                has_begun = true;
                if !is_proved {
                    is_proved = evidence::record_writing(&self.node, &self.job, &pick);
                }
            }
            if !events.is_empty() && sender.send_data(events).await.is_err() {
                return Segment::CallerLeft;
            }
            if is_over {
                break;
            }
        }
        self.node.pool.keep(answered.connection);
        drop(in_flight);
        Segment::Done
    }

    /// Waits for the next events of a server.
    async fn next(&mut self, pick: &Pick, body: &mut Incoming) -> Next {
        next_events(&self.node, &self.job, pick, body, &mut self.splitter).await
    }

    /// Waits for the next events of the stalled server at `pick` while a hedged request to another
    /// server is in progress. Returns them, or the other server's response as an error if its head
    /// is received first.
    async fn hedge(&mut self, pick: &Pick, body: &mut Incoming) -> Result<Next, Box<OpenResponse>> {
        self.tried.push(pick.id.clone());
        let is_babbling = self.splitter.has_rest();
        tracing::info!(
            event = "stream-silent",
            id = self.job.head.id,
            server = &*pick.id,
            last = self.splitter.last(),
            is_babbling
        );
        if is_babbling {
            attempt::record_endless(&self.node, &self.job, pick, "no event");
        }
        // Reading and resuming would both borrow it.
        let mut splitter = std::mem::take(&mut self.splitter);
        let last = splitter.last();
        let (node, job) = (self.node.clone(), self.job.clone());
        let other = tokio::select! {
            biased;
            next = next_events(&node, &job, pick, body, &mut splitter) => Ok(next),
            other = self.resume(last) => Err(other),
        };
        self.splitter = splitter;
        match other {
            Ok(next) => Ok(next),
            Err(Some(response)) => Err(Box::new(response)),
            Err(None) => Ok(self.next(pick, body).await),
        }
    }

    /// Records that events were received; `is_first` if they are the first of the server.
    fn record_event(&mut self, pick: &Pick, is_first: bool) {
        self.record_pause();
        let Some(head_at) = pick.head_at.filter(|_| is_first) else {
            return;
        };
        let millis = now().since(head_at).as_secs_f64() * 1_000.0;
        let mut first_events = self.node.first_events.borrow_mut();
        let estimate = first_events.entry(self.service.clone()).or_default();
        estimate.observe(millis);
    }

    fn record_pause(&mut self) {
        let now = now();
        if let Some(last_event_at) = self.last_event_at.replace(now) {
            let pause_ms = now.since(last_event_at).as_secs_f64() * 1_000.0;
            self.pause_ms = self.pause_ms.max(pause_ms);
        }
    }

    /// Returns the mean milliseconds between the events since `from`, when `before` events had been
    /// forwarded; `None` if there are too few.
    fn mean_event_ms(&self, from: Instant, before: u64) -> Option<f64> {
        let events = u32::try_from(self.splitter.count() - before).ok()?;
        let elapsed_ms = now().since(from).as_secs_f64() * 1_000.0;
        (events >= MIN_EVENTS).then(|| elapsed_ms / f64::from(events))
    }

    /// Returns the time without an event after which the server has stalled. `has_begun` states whether it
    /// has sent one.
    fn stall_timeout(&self, has_begun: bool) -> Duration {
        let route = &self.job.route;
        if !route.resumable {
            return Duration::from_mins(10);
        }
        let pause = match route.inter_token_target_ms {
            Some(target_ms) => Duration::from_millis(target_ms).mul_f64(STALL_FACTOR),
            None => Duration::from_millis(DEFAULT_STALL_MS),
        };
        if has_begun {
            return pause;
        }
        let first_events = self.node.first_events.borrow();
        let estimate = first_events.get(&self.service).copied().unwrap_or_default();
        let silence = match estimate.silence_ms() {
            Some(millis) => Duration::from_secs_f64(millis / 1_000.0),
            None => self.job.deadline.since(now()) / FIRST_EVENT_DIVISOR,
        };
        pause.min(silence)
    }

    /// Requests other servers to continue the stream after the event `last`, one after another.
    async fn resume(&mut self, last: Option<u64>) -> Option<OpenResponse> {
        // The node that the caller called counts the attempts, and resumes the stream itself.
        if !self.job.route.resumable || self.job.hop.is_some() {
            return None;
        }
        // An attempt of which no byte was sent leaves what was taken for it to the next server.
        let mut is_taken = false;
        loop {
            if !is_taken {
                let sent = self.sent;
                if !progress::take_retry(&self.node, &self.job, &self.service, sent, "resume") {
                    return None;
                }
                self.sent += 1;
            }
            let trial = evidence::admit(&self.node, &self.job, true).await.ok()?;
            let route = &self.job.route;
            let name = self.model.map(|rank| route.models[rank].clone());
            let mut pick = pick::pick(
                &self.node,
                &self.job,
                &self.service,
                name.as_deref(),
                &self.tried,
            )?;
            pick.trial = trial;
            let named = self.model.zip(name.as_deref());
            let model = named.map(|(rank, name)| ChosenModel { rank, name });
            let result = attempt::run(
                &self.node,
                &self.job,
                pick.clone(),
                model,
                last,
                self.job.deadline,
            )
            .await;
            is_taken = matches!(result, AttemptResult::NotRun(NotRunReason::Unreachable));
            let failed = match result {
                AttemptResult::Responded(response)
                    if response.answered.response.status().is_success() =>
                {
                    return Some(*response);
                }
                AttemptResult::Responded(_) => Some(AnswerOutcome::Failed),
                AttemptResult::Failed(outcome) => Some(outcome),
                AttemptResult::NotRun(_) | AttemptResult::CalledBack => None,
            };
            if let Some(outcome) = failed {
                verdict::record_end(&self.node, &self.job, &pick, self.model, outcome);
            }
            self.tried.push(pick.id);
        }
    }
}

/// Waits for the next events of a server. It may be cancelled: what has been received stays in `splitter`.
async fn next_events(
    node: &Rc<Node>,
    job: &Job,
    pick: &Pick,
    body: &mut Incoming,
    splitter: &mut Splitter,
) -> Next {
    loop {
        let frame = match body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Next::Broken(AnswerOutcome::Broken, error.to_string()),
            None if splitter.is_partial() => {
                let reason = "ended within an event".to_owned();
                return Next::Broken(AnswerOutcome::Broken, reason);
            }
            None => return Next::End(splitter.take_rest()),
        };
        reach::hear(node, pick.identity);
        let Ok(data) = frame.into_data() else {
            continue;
        };
        match splitter.push(&data) {
            Ok(events) if events.is_empty() => {}
            Ok(events) => return Next::Events(events),
            Err(error) => {
                let reason = error.to_string();
                attempt::record_endless(node, job, pick, &reason);
                return Next::Broken(AnswerOutcome::Failed, reason);
            }
        }
    }
}
