//! Progress of a stream towards its end: what is usual is learned from it, and it is found whether
//! another server would end it in time.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::affinity;
use fescuerack_core::gateway::load;
use fescuerack_core::gateway::stream_end::{Expected, Length, Prediction, Progress};

use crate::attempt::Job;
use crate::clock::{age_ms, now};
use crate::eligible;
use crate::node::Node;
use crate::pick::{self, Pick};

/// Milliseconds after the head within which a stream is read as it is sent. One that has been kept
/// longer, as a fallback, has events in the buffers of its connection.
const FRESH_HEAD_MS: u64 = 50;
/// Time from which on a wait for the caller counts.
const CALLER_WAIT: Duration = Duration::from_millis(1);

/// The progress of one stream.
pub struct StreamProgress {
    node: Rc<Node>,
    job: Rc<Job>,
    service: Arc<str>,
    model: Option<Arc<str>>,
    /// Class of streams of the same service and model.
    class: u64,
    progress: Progress,
    /// Whether the events of the present server show what is usual.
    is_usual: bool,
}

impl StreamProgress {
    /// Creates the progress of a stream of the model at `rank`, or of the one that the caller names.
    #[must_use]
    pub fn new(node: &Rc<Node>, job: &Rc<Job>, service: &Arc<str>, rank: Option<usize>) -> Self {
        let head = &job.head;
        let model = rank.map(|rank| job.route.models[rank].clone());
        let name = model.as_deref().or(head.model.as_deref());
        let name = affinity::hash(name.unwrap_or_default().as_bytes());
        let length = Length::new(head.length_hint, head.tokens.1, event_tokens(node, service));
        Self {
            node: node.clone(),
            job: job.clone(),
            service: service.clone(),
            model,
            class: affinity::mix(affinity::hash(service.as_bytes()) ^ affinity::mix(name)),
            progress: Progress::new(length, head.last_event.unwrap_or_default()),
            is_usual: false,
        }
    }

    /// Records that `pick` sends the stream from now on.
    pub fn begin(&mut self, pick: &Pick) {
        let is_fresh = pick.head_at.is_some_and(|at| age_ms(at) < FRESH_HEAD_MS);
        self.is_usual = is_fresh && !pick.is_canary && !pick.is_cold;
        self.progress.restart();
    }

    /// Records that `events` events were received at `at`; `is_first` if they are the first of `pick`.
    pub fn record(&mut self, at: Instant, pick: &Pick, events: u64, is_first: bool) {
        let window_ms = match events {
            0 => None,
            events => self.progress.observe(at, events),
        };
        if !self.is_usual {
            return;
        }
        if is_first {
            let first_ms = at.since(pick.at).as_secs_f64() * 1_000.0;
            let mut usuals = self.node.stream_usuals.borrow_mut();
            usuals.observe_first(self.class, first_ms);
        }
        if let Some(event_ms) = window_ms {
            let mut usuals = self.node.stream_usuals.borrow_mut();
            usuals.observe_events(self.class, event_ms);
        }
    }

    /// Records that the caller accepted the events that were received at `at`.
    pub fn record_accepted(&mut self, at: Instant) {
        let now = now();
        if now.since(at) >= CALLER_WAIT {
            self.progress.exclude_until(now);
        }
    }

    /// Returns a prediction by which the stream ends too late at its server and in time at the one that
    /// would be selected now. `tried` contains its server.
    pub fn look(&mut self, tried: &[Arc<str>]) -> Option<Prediction> {
        let now = now();
        let (node, class) = (&self.node, self.class);
        let deadline = self.job.deadline;
        let usual = || node.stream_usuals.borrow().get(class);
        let prediction = self.progress.look(now, deadline, usual)?;
        let expected = self.elsewhere(now, usual()?, tried)?;
        prediction
            .is_saved(deadline, expected)
            .then_some(prediction)
    }

    /// Returns how the server that would be selected now is expected to perform; `None` if there is
    /// no healthy one.
    fn elsewhere(&self, now: Instant, usual: Expected, tried: &[Arc<str>]) -> Option<Expected> {
        let (node, job) = (&self.node, &self.job);
        let model = self.model.as_deref();
        let pick = pick::preview(node, job, &self.service, model, tried)?;
        let view = node.view.borrow();
        let server = view.servers.get(&pick.id)?;
        if !eligible::is_healthy(node, server, now) {
            return None;
        }
        let waits = node.waits.borrow();
        let wait = waits.get(&self.service).copied().unwrap_or_default();
        let pace = node.load.pace(now, load::short_id(pick.identity));
        let first_ms = wait.millis(pick.load) * pace;
        Some(Expected {
            first_ms: usual.first_ms.max(first_ms),
            event_ms: usual.event_ms * pace.max(1.0),
        })
    }

    /// Records that no attempt was allowed.
    pub fn record_refusal(&mut self) {
        self.progress.delay_look(now());
    }

    /// Records that the stream is continued elsewhere.
    pub fn mark_continued(&mut self) {
        self.progress.mark_continued();
    }

    /// Returns whether the stream was continued elsewhere.
    #[must_use]
    pub const fn is_continued(&self) -> bool {
        self.progress.is_continued()
    }

    /// Returns the predicted milliseconds from the arrival of the request to the end of the stream, whose
    /// last event was received at `at`.
    #[must_use]
    pub fn predicted_ms(&self, at: Instant) -> Option<u64> {
        let prediction = self.progress.predict(at)?;
        Some(prediction.end().millis_since(self.job.arrived))
    }

    /// Returns the expected number of tokens until the end.
    #[must_use]
    pub fn tokens_left(&self) -> f64 {
        self.progress.tokens_left()
    }
}

fn event_tokens(node: &Node, service: &str) -> Option<u32> {
    let view = node.view.borrow();
    let service = view.catalog.as_ref()?.services.get(service)?;
    service.event_tokens
}
