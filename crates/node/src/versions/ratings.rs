//! Asking the rating service, within its rate.

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use fescuerack_client::{HttpRating, Rating as _};
use fescuerack_config::key;
use fescuerack_core::cascade::{Purpose, TokenBucket};
use fescuerack_core::clock::Instant;
use fescuerack_core::rollout::Event;
use fescuerack_wire::rating;

use crate::shared::{Force, Shared, lock};
use crate::stop::Stop;

/// Answers that wait to be rated; further ones are not rated.
const MOST_WAITING: usize = 64;
/// Time after which the thread looks whether it is to stop.
const LOOK: Duration = Duration::from_millis(500);
/// Name of the limit: ratings a second of all instances.
const RATE: &str = "ratings.per-second";
/// Name of the limit: share of the usual answers that are rated.
pub const SHARE: &str = "ratings.share";

/// An answer to be rated.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Class of work.
    pub class: key::Class,
    /// Version that answered.
    pub version: key::Version,
    /// Its text.
    pub text: String,
}

/// The answers that wait, and the rate.
pub struct Queue {
    service: HttpRating,
    waiting: Mutex<VecDeque<Answer>>,
    arrived: Condvar,
    bucket: Mutex<TokenBucket>,
}

impl Queue {
    /// Creates a desk before the service at `address`.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            service: HttpRating::new(address),
            waiting: Mutex::new(VecDeque::new()),
            arrived: Condvar::new(),
            bucket: Mutex::new(TokenBucket::new(Instant::ORIGIN, 1.0)),
        }
    }

    /// Returns how many answers wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        lock(&self.waiting).len()
    }

    fn put(&self, answer: Answer) -> bool {
        let mut waiting = lock(&self.waiting);
        if waiting.len() >= MOST_WAITING {
            return false;
        }
        waiting.push_back(answer);
        self.arrived.notify_one();
        true
    }

    fn next(&self) -> Option<Answer> {
        let waiting = lock(&self.waiting);
        let waited = self
            .arrived
            .wait_timeout_while(waiting, LOOK, |waiting| waiting.is_empty());
        let (mut waiting, _) = waited.unwrap_or_else(PoisonError::into_inner);
        waiting.pop_front()
    }
}

/// Returns whether an answer may be rated now.
pub fn may_rate(shared: &Shared, force: &Force, purpose: Purpose) -> bool {
    let rate = force.catalog.limit(RATE) / f64::from(super::instances(shared));
    let now = shared.now();
    lock(&shared.versions.ratings.bucket).take(now, rate, purpose)
}

/// Has an answer rated some time soon.
pub fn submit(shared: &Shared, answer: Answer) {
    if !shared.versions.ratings.put(answer) {
        shared.metrics.count("ratings.dropped");
    }
}

/// Rates answers until `stop` is set.
pub fn run(shared: &Arc<Shared>, stop: &Stop) {
    while !stop.wait(Duration::ZERO) {
        if let Some(answer) = shared.versions.ratings.next() {
            rate(shared, &answer);
        }
    }
}

/// Asks for the rating of an answer and learns from it; blocks. `None` when
/// none came.
pub fn rate(shared: &Shared, answer: &Answer) -> Option<f64> {
    let force = shared.force();
    let request = rating::Request {
        class: force.names.classes.name(answer.class).to_string(),
        version: force.names.versions.name(answer.version).to_string(),
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
    learner.record_rating(&force.catalog, answer.class, answer.version, quality);
    drop(learner);
    let class = force.catalog.classes.get(answer.class);
    let event = Event::Rated {
        quality_milli: thousandths(quality),
        bad: class.is_some_and(|class| quality < class.bad_quality),
    };
    lock(&versions.rollouts).observe(now, answer.version, event);
    Some(quality)
}

fn thousandths(quality: f64) -> u32 {
    let micros = Duration::from_secs_f64(quality.clamp(0.0, 1.0)).as_micros();
    u32::try_from(micros / 1000).unwrap_or(1000)
}
