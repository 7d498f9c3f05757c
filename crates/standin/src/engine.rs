//! Stand-in for a model engine.
//!
//! It sends tokens at a constant rate, and its streams can be resumed and cancelled.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use fescuerack_wire::chat;
use fescuerack_wire::{header, load};
use http_body_util::BodyExt as _;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::answer::Answer;
use crate::http::{build_response, header as read_header, json_response, number_parameter};
use crate::orders::Orders;
use crate::stream::{Sender, StreamBody};
use crate::{Fault, Faults, Request, Response, Server};

/// Maximum number of attempts kept for resumption; the oldest is dropped first.
const MAX_ATTEMPTS: usize = 4096;

/// Maximum number of steps kept for a test's log; the oldest is dropped first.
const MAX_TRACE_ENTRIES: usize = 65_536;

/// Pause between the last event and the abort of a truncated stream.
const TRUNCATION_DELAY: Duration = Duration::from_millis(2);

/// Speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Inter-token latency, in milliseconds.
    pub token_ms: u64,
}

/// What happened to one attempt at an engine, for the log of a failed test.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The attempt arrived.
    Started,
    /// A resumption after this many events arrived.
    Resumed(u64),
    /// The client closed the connection after this many events.
    Closed(u64),
    /// The last event was handed to the connection.
    Finished,
    /// The attempt was cancelled.
    Cancelled,
}

/// A step of an attempt and its time since the engine started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceEntry {
    /// Time since the engine started.
    pub at: Duration,
    /// Identifier of the attempt.
    pub attempt: String,
    /// What happened.
    pub step: Step,
}

/// One attempt, kept so that it can be resumed or cancelled.
#[derive(Clone, Debug)]
struct Attempt {
    id: String,
    answer: Arc<Answer>,
    finished: Arc<AtomicBool>,
    cancelled: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct Attempts {
    by_id: BTreeMap<String, Attempt>,
    order: VecDeque<String>,
}

#[derive(Debug)]
struct Shared {
    pace: Pace,
    faults: Faults,
    attempts: Mutex<Attempts>,
    started: AtomicU64,
    finished: AtomicU64,
    cancelled: AtomicU64,
    truncate_after: AtomicU64,
    mismatched_answers: AtomicU64,
    forgets_attempts: AtomicBool,
    leaving: AtomicBool,
    /// Number of requests that were refused with a request for rest.
    refused: AtomicU64,
    running: AtomicU64,
    work: AtomicU64,
    orders: Orders,
    since: Instant,
    trace: Mutex<VecDeque<TraceEntry>>,
}

/// A running stand-in engine.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    server: Server,
}

impl Engine {
    /// Starts an engine on `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn new(runtime: &Handle, listen: &str, pace: Pace) -> Result<Self> {
        let shared = Arc::new(Shared {
            pace,
            faults: Faults::new(),
            attempts: Mutex::default(),
            started: AtomicU64::new(0),
            finished: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            truncate_after: AtomicU64::new(0),
            mismatched_answers: AtomicU64::new(0),
            forgets_attempts: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            refused: AtomicU64::new(0),
            running: AtomicU64::new(0),
            work: AtomicU64::new(0),
            orders: Orders::default(),
            since: Instant::now(),
            trace: Mutex::default(),
        });
        let server = Server::with_state(runtime, listen, &shared, |shared, request| async move {
            shared.serve(request).await
        })?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the engine, as `host:port`.
    #[must_use]
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Returns the faults of the engine.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }

    /// Returns the state of the engine's load and unload orders.
    #[must_use]
    pub fn orders(&self) -> &Orders {
        &self.shared.orders
    }

    /// Aborts every stream after this many events; 0 aborts none.
    pub fn truncate_after(&self, events: u64) {
        self.shared.truncate_after.store(events, Ordering::SeqCst);
    }

    /// Makes the next `answers` answers carry the identifier of another attempt.
    pub fn mismatch_answers(&self, answers: u64) {
        self.shared
            .mismatched_answers
            .store(answers, Ordering::SeqCst);
    }

    /// Sets whether the engine forgets its attempts, so that none can be resumed.
    pub fn set_forgets_attempts(&self, forgets_attempts: bool) {
        self.shared
            .forgets_attempts
            .store(forgets_attempts, Ordering::SeqCst);
    }

    /// Returns the number of requests that it has refused and asked for rest.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::SeqCst)
    }

    /// Marks the engine as leaving: it refuses new requests and finishes those that run.
    pub fn mark_leaving(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns how many requests were started, finished and cancelled.
    #[must_use]
    pub fn counts(&self) -> (u64, u64, u64) {
        (
            self.shared.started.load(Ordering::SeqCst),
            self.shared.finished.load(Ordering::SeqCst),
            self.shared.cancelled.load(Ordering::SeqCst),
        )
    }

    /// Returns the latest steps of all attempts, the oldest first.
    #[must_use]
    pub fn trace(&self) -> Vec<TraceEntry> {
        let trace = self.shared.trace.lock();
        let trace = trace.unwrap_or_else(PoisonError::into_inner);
        trace.iter().cloned().collect()
    }

    /// Returns how many connections were accepted.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.server.connections()
    }
}

impl Shared {
    fn record_step(&self, attempt: &str, step: Step) {
        let entry = TraceEntry {
            at: self.since.elapsed(),
            attempt: attempt.to_owned(),
            step,
        };
        let mut trace = self.trace.lock().unwrap_or_else(PoisonError::into_inner);
        if trace.len() >= MAX_TRACE_ENTRIES {
            trace.pop_front();
        }
        trace.push_back(entry);
    }

    async fn serve(self: &Arc<Self>, request: Request) -> Response {
        if self.faults.get(Fault::Down) > 0 {
            return None;
        }
        let path = request.uri().path();
        match path {
            "/load" => return Some(self.load()),
            "/v1/loaded" => return Some(self.orders.list()),
            "/v1/orders" => return Some(self.orders.execute(&request)),
            _ => {}
        }
        match path.strip_prefix("/v1/attempts/") {
            Some(rest) => match rest.split_once('/') {
                Some((id, "resume")) => self.resume(id, number_parameter(&request, "from")),
                Some((id, "cancel")) => Some(self.cancel(id)),
                _ => Some(build_response(404, "no such path")),
            },
            None if self.leaving.load(Ordering::SeqCst) => {
                let id = read_header(&request, header::ATTEMPT).unwrap_or_default();
                Some(with_attempt(build_response(503, "leaving"), id))
            }
            None if self.faults.get(Fault::RestS) > 0 => Some(self.refuse_for_rest(&request)),
            None => self.start(&request).await,
        }
    }

    /// Refuses a request and asks for rest.
    fn refuse_for_rest(&self, request: &Request) -> hyper::Response<crate::Body> {
        self.refused.fetch_add(1, Ordering::SeqCst);
        let id = read_header(request, header::ATTEMPT).unwrap_or_default();
        let mut response = with_attempt(build_response(503, "busy"), id);
        let rest_s = self.faults.get(Fault::RestS);
        let headers = response.headers_mut();
        headers.insert(hyper::header::RETRY_AFTER, rest_s.into());
        response
    }

    async fn start(self: &Arc<Self>, request: &Request) -> Response {
        let parsed: chat::Request = match serde_json::from_slice(request.body()) {
            Ok(parsed) => parsed,
            Err(error) => return Some(build_response(400, error.to_string())),
        };
        let attempt = Attempt {
            id: read_header(request, header::ATTEMPT)
                .unwrap_or_default()
                .to_owned(),
            answer: Arc::new(Answer::new(request.uri().path(), &parsed)),
            finished: Arc::default(),
            cancelled: watch::Sender::new(false),
        };
        self.record_step(&attempt.id, Step::Started);
        self.record(attempt.clone());
        self.started.fetch_add(1, Ordering::SeqCst);
        let delay_ms = self.faults.get(Fault::DelayMs);
        sleep(Duration::from_millis(delay_ms)).await;
        if self.faults.get(Fault::DropAnswers) > 0 {
            return None;
        }
        self.stream(attempt, 0)
    }

    fn resume(self: &Arc<Self>, id: &str, from: u64) -> Response {
        self.record_step(id, Step::Resumed(from));
        let attempts = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        let attempt = attempts.by_id.get(id).cloned();
        drop(attempts);
        let forgets_attempts = self.forgets_attempts.load(Ordering::SeqCst);
        match attempt.filter(|_| !forgets_attempts) {
            Some(attempt) => self.stream(attempt, from),
            None => Some(with_attempt(build_response(404, "no such attempt"), id)),
        }
    }

    fn cancel(&self, id: &str) -> hyper::Response<crate::Body> {
        let mut attempts = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        match attempts.by_id.remove(id) {
            Some(attempt) => {
                self.record_step(id, Step::Cancelled);
                if !attempt.finished.load(Ordering::SeqCst) {
                    self.cancelled.fetch_add(1, Ordering::SeqCst);
                }
                attempt.cancelled.send_replace(true);
                build_response(200, "cancelled")
            }
            None => build_response(404, "no such attempt"),
        }
    }

    fn load(&self) -> hyper::Response<crate::Body> {
        let running = self.running.load(Ordering::SeqCst);
        json_response(&load::Report {
            work: self.work.load(Ordering::SeqCst),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            leaving: self.leaving.load(Ordering::SeqCst),
            ..load::Report::default()
        })
    }

    fn record(&self, attempt: Attempt) {
        let mut attempts = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        attempts.order.push_back(attempt.id.clone());
        attempts.by_id.insert(attempt.id.clone(), attempt);
        if attempts.order.len() > MAX_ATTEMPTS
            && let Some(oldest) = attempts.order.pop_front()
        {
            attempts.by_id.remove(&oldest);
        }
    }

    fn stream(self: &Arc<Self>, attempt: Attempt, from: u64) -> Response {
        let (sender, body) = StreamBody::new();
        let mismatch =
            self.mismatched_answers
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |remaining| {
                    remaining.checked_sub(1)
                });
        let attempt_id = match mismatch {
            Ok(_) => "another-attempt",
            Err(_) => &attempt.id,
        };
        let response = hyper::Response::builder()
            .header("content-type", "text/event-stream")
            .body(body.boxed())
            .ok()?;
        let response = with_attempt(response, attempt_id);
        let shared = Arc::clone(self);
        tokio::spawn(async move { shared.send(&attempt, from, sender).await });
        Some(response)
    }

    async fn send(&self, attempt: &Attempt, from: u64, sender: Sender) {
        let _guard = WorkGuard::new(self, attempt.answer.events().saturating_sub(from));
        let mut cancelled = attempt.cancelled.subscribe();
        let truncate_after = self.truncate_after.load(Ordering::SeqCst);
        let mut due = Instant::now() + Duration::from_millis(self.pace.first_token_ms);
        for position in from..attempt.answer.events() {
            if attempt.answer.is_token(position) {
                tokio::select! {
                    () = sleep_until(due) => {}
                    _ = cancelled.wait_for(|cancelled| *cancelled) => return,
                }
                due += Duration::from_millis(self.pace.token_ms);
            }
            if truncate_after > 0 && position - from >= truncate_after {
                // Most of what was sent before a real break arrives, so the events get time to arrive.
                sleep(TRUNCATION_DELAY).await;
                return;
            }
            let event = attempt.answer.event(&attempt.id, position);
            // The attempt is kept: a caller that disconnects may resume it.
            if sender.send(event).await.is_err() {
                self.record_step(&attempt.id, Step::Closed(position));
                return;
            }
        }
        let done = Bytes::from(format!("data: {}\n\n", chat::DONE));
        if sender.send(done).await.is_err() || sender.finish().await.is_err() {
            self.record_step(&attempt.id, Step::Closed(attempt.answer.events()));
        } else {
            self.record_step(&attempt.id, Step::Finished);
            attempt.finished.store(true, Ordering::SeqCst);
            self.finished.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Counts a running request and the tokens of its stream in the load report until it is dropped.
struct WorkGuard<'a> {
    shared: &'a Shared,
    tokens: u64,
}

impl<'a> WorkGuard<'a> {
    fn new(shared: &'a Shared, tokens: u64) -> Self {
        shared.running.fetch_add(1, Ordering::SeqCst);
        shared.work.fetch_add(tokens, Ordering::SeqCst);
        Self { shared, tokens }
    }
}

impl Drop for WorkGuard<'_> {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::SeqCst);
        self.shared.work.fetch_sub(self.tokens, Ordering::SeqCst);
    }
}

fn with_attempt(
    mut response: hyper::Response<crate::Body>,
    id: &str,
) -> hyper::Response<crate::Body> {
    if let Ok(value) = id.parse() {
        response.headers_mut().insert(header::ATTEMPT, value);
    }
    response
}
