//! Records what roll-outs and the quality estimates learn from an answer: time
//! to first token, duration and length, and the text of answers to be rated.

use std::sync::Arc;

use fescuerack_config::key;
use fescuerack_core::cascade::Purpose;
use fescuerack_core::clock::Instant;
use fescuerack_core::rollout::Event;
use fescuerack_wire::chat::{Completion, Usage};

use super::collect::Answer;
use crate::node_state::{ActiveConfiguration, NodeState, lock};
use crate::versions::ratings;

/// Observes the answer of one version while it is received.
pub struct Observer {
    shared: Arc<NodeState>,
    active: Arc<ActiveConfiguration>,
    version: key::Version,
    class: Option<key::Class>,
    start: Instant,
    text: Option<String>,
}

impl Observer {
    /// Starts to observe an answer. One that the cascade rates (`is_rated`) is
    /// not sampled for another rating.
    pub fn new(
        shared: &Arc<NodeState>,
        active: &Arc<ActiveConfiguration>,
        version: key::Version,
        class: Option<key::Class>,
        is_rated: bool,
    ) -> Self {
        let mut observer = Self {
            shared: Arc::clone(shared),
            active: Arc::clone(active),
            version,
            class,
            start: shared.now(),
            text: None,
        };
        if !is_rated && class.is_some() && observer.is_sampled() {
            observer.text = Some(String::new());
        }
        observer
    }

    /// Decides whether the answer is rated: all answers of a candidate, as far as
    /// the rate limit allows, and a share of the others.
    fn is_sampled(&self) -> bool {
        let model = self.active.catalog.versions[self.version].model;
        let versions = &self.shared.versions;
        if versions.is_candidate(model, self.version) {
            return ratings::try_acquire(&self.shared, &self.active, Purpose::Candidate);
        }
        self.shared.random_fraction() < self.active.catalog.limit(ratings::SAMPLING_SHARE)
            && ratings::try_acquire(&self.shared, &self.active, Purpose::Sample)
    }

    /// Records that the first token was received.
    pub fn record_first_token(&self) {
        let now = self.shared.now();
        let class = self
            .class
            .and_then(|class| self.active.catalog.classes.get(class));
        let missed_target =
            class.is_some_and(|class| now > self.start.plus_millis(class.first_token_ms));
        let event = Event::Answered { missed_target };
        lock(&self.shared.versions.rollouts).observe(now, self.version, event);
    }

    /// Reads a part of the answer.
    pub fn read(&mut self, part: &Completion) {
        let Some(text) = self.text.as_mut() else {
            return;
        };
        for choice in &part.choices {
            let part = choice.text.as_deref();
            let delta = choice.delta.as_ref().map(|delta| delta.content.as_str());
            text.push_str(part.or(delta).unwrap_or_default());
        }
    }

    /// Records that the answer was collected in one piece.
    pub fn record_collected(mut self, answer: &Answer) {
        if let Some(text) = self.text.as_mut() {
            text.clone_from(&answer.text);
        }
        self.record_completed(answer.usage);
    }

    /// Records that the answer is complete.
    pub fn record_completed(self, usage: Usage) {
        let Some(class) = self.class else {
            return;
        };
        let duration_ms = self.shared.now().since(self.start).as_secs_f64() * 1000.0;
        let tokens = u32::try_from(usage.completion_tokens).unwrap_or(u32::MAX);
        lock(&self.shared.versions.learner).record_answer(class, self.version, duration_ms, tokens);
        if let Some(text) = self.text {
            let version = self.version;
            ratings::submit(
                &self.shared,
                ratings::Answer {
                    class,
                    version,
                    text,
                },
            );
        }
    }
}
