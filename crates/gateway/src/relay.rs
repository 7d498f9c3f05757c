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
//!
//! A stream that would end [after its deadline](fescuerack_core::gateway::stream_end) although another
//! server would end it in time is continued there, once. Its server does not stall and would go on to
//! send events, so it is stopped first: an attempt is reserved, the connection is closed, and then the
//! other server is requested to continue.
//!
//! The end of each stream is logged once, when its relay is dropped: that happens as well when the caller
//! leaves.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::slowness::Timing;
use fescuerack_core::gateway::stream_end::Prediction;
use http_body_util::channel::{Channel, Sender};
use hyper::Response;

use crate::attempt::{self, AttemptResult, ChosenModel, Job, NotRunReason, OpenResponse};
use crate::body::{AbortReason, Relayed, ResponseBody};
use crate::clock::{deadline, now};
use crate::events::Splitter;
use crate::evidence;
use crate::forward::Forward;
use crate::node::Node;
use crate::pick::{self, Pick};
use crate::reach;
use crate::read_ahead::Body;
use crate::repeat::{Permission, take_retry};
use crate::rollout::AnswerOutcome;
use crate::stream_progress::StreamProgress;
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

/// Milliseconds before the deadline from which on a caller that leaves has reached it: its time-out
/// begins before its request arrives.
const CALLER_DEADLINE_LEAD_MS: u64 = 100;

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
    progress: StreamProgress,
    /// Server that sends the stream.
    server: Arc<str>,
    /// Why the last server that failed did.
    failure: String,
    /// How the relay ended; `None` while it has not.
    outcome: Option<&'static str>,
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
    /// The stream would end late. The server was stopped, and this one is to continue.
    Behind(Box<Pick>),
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
        progress: StreamProgress::new(node, job, service, model),
        server: response.pick.id.clone(),
        failure: String::new(),
        outcome: None,
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
        self.outcome = Some(outcome);
    }

    async fn relay_all(
        &mut self,
        response: OpenResponse,
        sender: &mut Sender<Bytes, AbortReason>,
    ) -> Result<&'static str, AbortReason> {
        let mut response = response;
        loop {
            let pick = response.pick.clone();
            self.server = pick.id.clone();
            self.progress.begin(&pick);
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
                    self.failure = reason;
                    self.tried.push(pick.id);
                    self.splitter.drop_partial();
                    let Some(reopened) = self.reopen(sender).await? else {
                        return Ok("through-peer");
                    };
                    response = reopened;
                }
                Segment::Behind(next) => {
                    let pace = Timing {
                        head_ms,
                        expected_ms,
                        event_interval_ms: self.mean_event_ms(started, events),
                    };
                    let ended = AnswerOutcome::Unread(pace);
                    verdict::record_end(&self.node, &self.job, &pick, self.model, ended);
                    self.splitter.drop_partial();
                    let continued = self.continue_at(*next, &pick.id, sender).await?;
                    let Some(continued) = continued else {
                        return Ok("through-peer");
                    };
                    response = continued;
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

    /// Continues a stream at `next` after the server `left` was stopped.
    async fn continue_at(
        &mut self,
        next: Pick,
        left: &Arc<str>,
        sender: &mut Sender<Bytes, AbortReason>,
    ) -> Result<Option<OpenResponse>, AbortReason> {
        // The task of the closed connection runs before the request is sent.
        tokio::task::yield_now().await;
        if let Some(response) = self.resume_at(next, self.splitter.last()).await {
            return Ok(Some(response));
        }
        // The server that was left is slow, but better than none.
        self.tried.retain(|id| id != left);
        self.reopen(sender).await
    }

    /// Continues a stream whose server has failed: at another server, or through a peer, which sends the
    /// rest (`None`).
    async fn reopen(
        &mut self,
        sender: &mut Sender<Bytes, AbortReason>,
    ) -> Result<Option<OpenResponse>, AbortReason> {
        self.node.path.settled().await;
        if let Some(result) = self.continue_at_peer(sender).await {
            return result.map(|()| None);
        }
        let response = self.resume(self.splitter.last()).await;
        response.map(Some).ok_or(AbortReason::UpstreamFailed)
    }

    /// Lets a peer continue the stream if this node reaches no server for it; `None` if it does, or
    /// no peer takes it.
    async fn continue_at_peer(
        &mut self,
        sender: &mut Sender<Bytes, AbortReason>,
    ) -> Option<Result<(), AbortReason>> {
        let job = &self.job;
        if job.hop.is_some() {
            return None;
        }
        let permission = Some(Permission::of_route(&job.route)?);
        let model = self.model.map(|rank| &*job.route.models[rank]);
        if !reach::needs_peer(&self.node, job, &self.service, model) {
            return None;
        }
        if !take_retry(
            permission,
            &self.node,
            job,
            &self.service,
            self.sent,
            "peer",
        ) {
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
            ahead,
            ..
        } = response;
        let mut body = Body::new(ahead, answered.response.into_body());
        let mut is_proved = false;
        let mut has_begun = false;
        loop {
            let stalled_at = now() + self.stall_timeout(has_begun);
            let before = self.splitter.count();
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
            let received_at = now();
            if !is_over {
                self.record_event(&pick, !has_begun);
                let events = self.splitter.count() - before;
                self.progress.record(received_at, &pick, events, !has_begun);
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
            self.progress.record_accepted(received_at);
            if let Some(next) = self.leave(&pick).await {
                return Segment::Behind(Box::new(next));
            }
        }
        self.node.pool.keep(answered.connection);
        drop(in_flight);
        Segment::Done
    }

    /// Waits for the next events of a server.
    async fn next(&mut self, pick: &Pick, body: &mut Body) -> Next {
        next_events(&self.node, &self.job, pick, body, &mut self.splitter).await
    }

    /// Waits for the next events of the stalled server at `pick` while a hedged request to another
    /// server is in progress. Returns them, or the other server's response as an error if its head
    /// is received first.
    async fn hedge(&mut self, pick: &Pick, body: &mut Body) -> Result<Next, Box<OpenResponse>> {
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

    /// Reserves an attempt at another server if the stream at `pick` would end too late and that server
    /// would end it in time. Nothing is reserved, and the stream stays, if none can be used.
    async fn leave(&mut self, pick: &Pick) -> Option<Pick> {
        self.permission()?;
        if self.sent >= self.job.route.attempts {
            return None;
        }
        self.tried.push(pick.id.clone());
        let next = match self.progress.look(&self.tried) {
            Some(prediction) => self.reserve_at_once(pick, &prediction).await,
            None => None,
        };
        if next.is_none() {
            self.tried.pop();
        }
        next
    }

    async fn reserve_at_once(&mut self, pick: &Pick, prediction: &Prediction) -> Option<Pick> {
        // A run that has to wait for a permit is not begun: nobody would read the stream meanwhile.
        let reserving = tokio::time::timeout(Duration::ZERO, self.reserve("behind", false));
        let Some(next) = reserving.await.ok().flatten() else {
            self.progress.record_refusal();
            return None;
        };
        self.progress.mark_continued();
        tracing::info!(
            event = "stream-continued",
            id = self.job.head.id,
            server = &*pick.id,
            by = &*next.id,
            last = self.splitter.last(),
            event_ms = prediction.event_ms,
            events_left = prediction.events_left,
            predicted_ms = prediction.end().millis_since(self.job.arrived),
            deadline_ms = self.job.deadline.millis_since(self.job.arrived)
        );
        Some(next)
    }

    /// Returns the permission to resume the stream, if this node may. The node that the caller called
    /// counts the attempts, and resumes the stream itself.
    fn permission(&self) -> Option<Permission> {
        let permission = Permission::of_route(&self.job.route);
        permission.filter(|_| self.job.hop.is_none())
    }

    /// Takes a further attempt for `reason`, unless one `is_taken`, and selects its server.
    async fn reserve(&mut self, reason: &str, is_taken: bool) -> Option<Pick> {
        let permission = Some(self.permission()?);
        if !is_taken {
            let (node, job, service) = (&self.node, &self.job, &self.service);
            if !take_retry(permission, node, job, service, self.sent, reason) {
                return None;
            }
            self.sent += 1;
        }
        let trial = evidence::admit(&self.node, &self.job, true).await.ok()?;
        let name = self.model.map(|rank| &*self.job.route.models[rank]);
        let mut pick = pick::pick(&self.node, &self.job, &self.service, name, &self.tried)?;
        pick.trial = trial;
        Some(pick)
    }

    /// Requests other servers to continue the stream after the event `last`, one after another.
    async fn resume(&mut self, last: Option<u64>) -> Option<OpenResponse> {
        let pick = self.reserve("resume", false).await?;
        self.resume_at(pick, last).await
    }

    /// Requests `pick`, and then other servers, to continue the stream after the event `last`.
    async fn resume_at(&mut self, mut pick: Pick, last: Option<u64>) -> Option<OpenResponse> {
        loop {
            let route = &self.job.route;
            let name = self.model.map(|rank| route.models[rank].clone());
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
            // An attempt of which no byte was sent leaves what was taken for it to the next server.
            let is_taken = matches!(result, AttemptResult::NotRun(NotRunReason::Unreachable));
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
            pick = self.reserve("resume", is_taken).await?;
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        let ended_at = now();
        let job = &self.job;
        let is_at_deadline = ended_at.plus_millis(CALLER_DEADLINE_LEAD_MS) >= job.deadline;
        // Without an outcome, the task was aborted as the caller's connection was closed.
        let outcome = match self.outcome {
            Some(outcome) => outcome,
            None if is_at_deadline => "late",
            None => "caller-left",
        };
        let reason = match outcome {
            "late" => "deadline",
            "caller-left" => "connection closed",
            "cut" => &*self.failure,
            _ => "",
        };
        let route = &*job.route.name;
        let metrics = &self.node.metrics;
        metrics
            .requests
            .with_label_values(&[route, &format!("stream-{outcome}")])
            .inc();
        if self.progress.is_continued() {
            metrics
                .streams_continued
                .with_label_values(&[route, outcome])
                .inc();
        }
        let is_whole = matches!(outcome, "whole" | "through-peer");
        let last_event_at = self.last_event_at.filter(|_| !is_whole);
        let model = self.model.map(|rank| &*job.route.models[rank]);
        tracing::info!(
            event = "stream",
            id = job.head.id,
            route,
            outcome,
            reason,
            events = self.splitter.count(),
            attempts = self.sent,
            pause_ms = self.pause_ms,
            predicted_ms = last_event_at.and_then(|at| self.progress.predicted_ms(at)),
            left_tokens = (!is_whole).then(|| self.progress.tokens_left()),
            server = &*self.server,
            model = model.or(job.head.model.as_deref()),
            priority = job.priority.unwrap_or(job.route.priority),
            organisation = job.organisation.as_deref(),
            ms = ended_at.since(job.arrived).as_secs_f64() * 1_000.0
        );
    }
}

/// Waits for the next events of a server. It may be cancelled: what has been received stays in `splitter`.
async fn next_events(
    node: &Rc<Node>,
    job: &Job,
    pick: &Pick,
    body: &mut Body,
    splitter: &mut Splitter,
) -> Next {
    loop {
        let is_heard = !body.has_ahead();
        let data = match body.next().await {
            Some(Ok(data)) => data,
            Some(Err(error)) => return Next::Broken(AnswerOutcome::Broken, error.to_string()),
            None if splitter.is_partial() => {
                let reason = "ended within an event".to_owned();
                return Next::Broken(AnswerOutcome::Broken, reason);
            }
            None => return Next::End(splitter.take_rest()),
        };
        if is_heard {
            reach::hear(node, pick.identity);
        }
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
