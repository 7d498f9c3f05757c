//! Requests to the rating service, within its rate limit.

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use fescuerack_client::{HttpRater, Rater as _};
use fescuerack_config::key;
use fescuerack_core::cascade::{Purpose, TokenBucket};
use fescuerack_core::clock::Instant;
use fescuerack_core::rollout::Event;
use fescuerack_wire::rating;

use crate::node_state::{ActiveConfiguration, NodeState, lock};
use crate::stop::Stop;

/// Maximum number of answers that wait to be rated; further ones are dropped.
const MAX_WAITING: usize = 64;
/// Interval at which the waiting thread checks whether it must stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Name of the limit on ratings per second of all instances together.
const RATE_LIMIT: &str = "ratings.per-second";
/// Name of the limit on the share of answers by versions other than a
/// candidate that are rated.
pub const SAMPLING_SHARE: &str = "ratings.share";

/// An answer to be rated.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Class of work of the request.
    pub class: key::Class,
    /// Version that gave the answer.
    pub version: key::Version,
    /// Text of the answer.
    pub text: String,
}

/// Queue of answers to be rated, with the client and the rate limit.
pub struct Queue {
    service: HttpRater,
    waiting: Mutex<VecDeque<Answer>>,
    arrived: Condvar,
    bucket: Mutex<TokenBucket>,
}

impl Queue {
    /// Creates an empty queue for the rating service at `address`.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            service: HttpRater::new(address),
            waiting: Mutex::new(VecDeque::new()),
            arrived: Condvar::new(),
            bucket: Mutex::new(TokenBucket::new(Instant::ORIGIN, 1.0)),
        }
    }

    /// Returns the number of answers that wait to be rated.
    #[must_use]
    pub fn waiting(&self) -> usize {
        lock(&self.waiting).len()
    }

    /// Adds an answer; returns `false` when the queue is full.
    fn push(&self, answer: Answer) -> bool {
        let mut waiting = lock(&self.waiting);
        if waiting.len() >= MAX_WAITING {
            return false;
        }
        waiting.push_back(answer);
        self.arrived.notify_one();
        true
    }

    /// Removes the oldest answer; waits up to [`STOP_CHECK_INTERVAL`] for one.
    fn pop(&self) -> Option<Answer> {
        let waiting = lock(&self.waiting);
        let waited = self
            .arrived
            .wait_timeout_while(waiting, STOP_CHECK_INTERVAL, |waiting| waiting.is_empty());
        let (mut waiting, _) = waited.unwrap_or_else(PoisonError::into_inner);
        waiting.pop_front()
    }
}

/// Takes a rating for `purpose` from this instance's share of the rate limit;
/// returns whether one was left.
pub fn try_acquire(shared: &NodeState, active: &ActiveConfiguration, purpose: Purpose) -> bool {
    let rate = active.catalog.limit(RATE_LIMIT) / f64::from(super::instance_count(shared));
    let now = shared.now();
    lock(&shared.versions.ratings.bucket).take(now, rate, purpose)
}

/// Queues an answer to be rated in the background; drops it when the queue is
/// full.
pub fn submit(shared: &NodeState, answer: Answer) {
    if !shared.versions.ratings.push(answer) {
        shared.metrics.count("ratings.dropped");
    }
}

/// Rates queued answers until `stop` is set.
pub fn run(shared: &Arc<NodeState>, stop: &Stop) {
    while !stop.wait(Duration::ZERO) {
        if let Some(answer) = shared.versions.ratings.pop() {
            rate(shared, &answer);
        }
    }
}

/// Requests the rating of an answer and records it; blocks the thread. Returns
/// `None` when the service fails or its rating is outside 0 to 1.
pub fn rate(shared: &NodeState, answer: &Answer) -> Option<f64> {
    let active = shared.active_configuration();
    let request = rating::Request {
        class: active.names.classes.name(answer.class).to_string(),
        version: active.names.versions.name(answer.version).to_string(),
        answer: answer.text.clone(),
    };
    let start = shared.now();
    let result = shared.versions.ratings.service.rate(&request);
    let now = shared.now();
    let versions = &shared.versions;
    let quality = match result {
        Ok(rating) if (0.0..=1.0).contains(&rating.quality) => rating.quality,
        Ok(_) | Err(_) => {
            lock(&versions.learner).record_rating_failure(now);
            shared.metrics.count("ratings.failed");
            return None;
        }
    };
    shared.metrics.count("ratings.done");
    let mut learner = lock(&versions.learner);
    learner.record_rating_ms(now.since(start).as_secs_f64() * 1000.0);
    learner.record_rating(&active.catalog, answer.class, answer.version, quality);
    drop(learner);
    let class = active.catalog.classes.get(answer.class);
    let event = Event::Rated {
        quality_milli: to_thousandths(quality),
        bad: class.is_some_and(|class| quality < class.bad_quality),
    };
    lock(&versions.rollouts).observe(now, answer.version, event);
    Some(quality)
}

fn to_thousandths(quality: f64) -> u32 {
    let micros = Duration::from_secs_f64(quality.clamp(0.0, 1.0)).as_micros();
    u32::try_from(micros / 1000).unwrap_or(1000)
}
