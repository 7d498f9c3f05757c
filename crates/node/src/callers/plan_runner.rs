//! Runs the plans of a request. A plan asks one version directly, or is a
//! cascade: a cheap version, whose answer is held back until it is rated, then a
//! more expensive one if the rating is too low.
//!
//! An answer that may still be replaced is not sent before it is rated, because
//! the caller would get two answers, or one that is then withdrawn. The core
//! plans a cascade only for classes whose limit on the time to first token
//! allows this wait. When no rating is available, the more expensive version
//! answers: an outage of the rating service raises cost but does not lower
//! quality.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_config::key;
use fescuerack_core::attempt::Outcome;
use fescuerack_core::cascade::{Plan, Purpose, Steps};
use fescuerack_core::poison::Fingerprint;
use fescuerack_wire::chat;

use super::attempts::{AttemptRunner, AttemptSpec, Failure, StartedAnswer};
use super::billing::Spent;
use super::choice::Choice;
use super::collect::Answer;
use super::format::{Endpoint, request_usage};
use super::observer::Observer;
use super::request::Call;
use crate::admission::Meter;
use crate::node_state::{ActiveConfiguration, NodeState};
use crate::versions::ratings;

/// Milliseconds for which a request waits when no plan's pool has a server.
/// Longer outages do not end within the duration of a request; the caller
/// gets a `Retry-After` instead.
const SERVER_WAIT_MS: u64 = 2_000;
/// Interval at which a waiting request tries its plans again.
const SERVER_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the plans of one request.
pub struct PlanRunner<'a> {
    /// State of the process.
    pub shared: &'a Arc<NodeState>,
    /// Configuration under which the request runs.
    pub active: &'a Arc<ActiveConfiguration>,
    /// The request.
    pub call: &'a Call,
    /// Version, class and plans that were chosen for it.
    pub choice: &'a Choice,
    /// Body of the request.
    pub chat_request: &'a chat::Request,
    /// Reports the attempts' progress to admission.
    pub meter: Meter,
}

/// An answer that may be sent to the caller.
pub struct Ready {
    /// Version that gave the answer.
    pub version: key::Version,
    /// The answer.
    pub answer: AvailableAnswer,
    /// Usage of earlier steps of the plan.
    pub spent: Spent,
}

/// An answer, as far as it is available.
pub enum AvailableAnswer {
    /// The first part and the events that follow.
    Started(Box<StartedAnswer>, Observer),
    /// The complete answer.
    Complete(Answer),
}

impl PlanRunner<'_> {
    /// Runs the plans, the cheapest first; goes on to the next one if a pool has
    /// no server.
    ///
    /// # Errors
    ///
    /// When no plan gave an answer.
    pub async fn run(&self) -> Result<Ready, Failure> {
        let now = self.shared.now();
        let until = now.plus_millis(SERVER_WAIT_MS).min(self.call.deadline);
        loop {
            for plan in &self.choice.plans {
                match self.run_plan(plan).await {
                    Err(Failure::NoServer(Outcome::NotRun)) => {
                        self.shared.metrics.count("plans.no_server");
                    }
                    result => return result,
                }
            }
            if self.shared.now() >= until {
                return Err(Failure::NoServer(Outcome::NotRun));
            }
            tokio::time::sleep(SERVER_RETRY_INTERVAL).await;
        }
    }

    async fn run_plan(&self, plan: &Plan) -> Result<Ready, Failure> {
        match plan.steps {
            Steps::Direct(version) => self.direct(version, Spent::default()).await,
            Steps::Cascade {
                first,
                second,
                accept,
            } => self.cascade(first, second, accept).await,
        }
    }

    async fn direct(&self, version: key::Version, spent: Spent) -> Result<Ready, Failure> {
        let observer = self.observer(version, false);
        let answer = if self.chat_request.stream {
            let started = self.attempts(version).start().await?;
            observer.record_first_token();
            AvailableAnswer::Started(Box::new(started), observer)
        } else {
            AvailableAnswer::Complete(self.collect(version, observer).await?)
        };
        Ok(Ready {
            version,
            answer,
            spent,
        })
    }

    async fn cascade(
        &self,
        first: key::Version,
        second: key::Version,
        accept: f64,
    ) -> Result<Ready, Failure> {
        let answer = match self.collect(first, self.observer(first, true)).await {
            Ok(answer) => answer,
            Err(Failure::Crashes(outcome)) => return Err(Failure::Crashes(outcome)),
            Err(_) => return self.direct(second, Spent::default()).await,
        };
        let rating = self.rate(first, &answer).await;
        if rating.is_some_and(|rating| rating >= accept) {
            self.shared.metrics.count("cascade.handed_on");
            return Ok(complete(first, answer));
        }
        self.shared.metrics.count(match rating {
            Some(_) => "cascade.escalated",
            None => "cascade.not_judged",
        });
        let mut spent = Spent::default();
        spent.add(self.active, first, answer.usage);
        match self.direct(second, spent).await {
            // The organisation prefers an answer below the target to none.
            Err(_) if self.is_below_target_allowed() => Ok(complete(first, answer)),
            // The first step has run, even if the second has not.
            Err(Failure::NoServer(_)) => Err(Failure::NoServer(Outcome::Unknown)),
            result => result,
        }
    }

    fn is_below_target_allowed(&self) -> bool {
        let organisations = &self.active.catalog.organisations;
        let entry = organisations.get(self.call.organisation);
        entry.is_some_and(|entry| entry.below_target)
    }

    async fn collect(&self, version: key::Version, observer: Observer) -> Result<Answer, Failure> {
        let mut run = self.attempts(version);
        loop {
            let started = run.start().await?;
            observer.record_first_token();
            match Answer::read(self.shared, &self.call.body, started).await {
                Ok(answer) => {
                    observer.record_collected(&answer);
                    return Ok(answer);
                }
                Err(outcome) => run.record_end(outcome)?,
            }
        }
    }

    /// Requests the rating of an answer; returns `None` when the rate limit is
    /// used up or no rating came in time.
    async fn rate(&self, version: key::Version, answer: &Answer) -> Option<f64> {
        let class = self.choice.class?;
        if !ratings::try_acquire(self.shared, self.active, Purpose::Cascade) {
            self.shared.metrics.count("ratings.over_rate");
            return None;
        }
        let answer = ratings::Answer {
            class,
            version,
            text: answer.text.clone(),
        };
        let shared = Arc::clone(self.shared);
        let rating = tokio::task::spawn_blocking(move || ratings::rate(&shared, &answer));
        let remaining = self.call.deadline.since(self.shared.now());
        let rating = tokio::time::timeout(remaining, rating).await;
        rating.ok()?.ok()?
    }

    fn observer(&self, version: key::Version, is_judged: bool) -> Observer {
        let class = self.choice.class;
        Observer::new(self.shared, self.active, version, class, is_judged)
    }

    fn attempts(&self, version: key::Version) -> AttemptRunner {
        let spec = AttemptSpec {
            version,
            path: Endpoint::new(&self.call.path).path(),
            priority: self.choice.priority,
            fingerprint: fingerprint(self.active, self.call),
            body: engine_body(self.active, version, self.chat_request),
            deadline: self.call.deadline,
        };
        AttemptRunner::new(Arc::clone(self.shared), Arc::clone(self.active), spec)
            .with_meter(self.meter.clone())
    }
}

fn complete(version: key::Version, answer: Answer) -> Ready {
    Ready {
        version,
        answer: AvailableAnswer::Complete(answer),
        spent: Spent::default(),
    }
}

/// Returns the body of the request to the engine. It always asks for a stream
/// with usage: the attempt can then be cancelled, its first token arrives as soon
/// as it exists, and it can be billed.
fn engine_body(
    active: &ActiveConfiguration,
    version: key::Version,
    chat_request: &chat::Request,
) -> Bytes {
    let mut rest = chat_request.rest.clone();
    request_usage(&mut rest);
    let request = chat::Request {
        model: active.names.versions.name(version).to_string(),
        stream: true,
        rest,
    };
    Bytes::from(serde_json::to_vec(&request).expect("wire messages have only plain fields"))
}

fn fingerprint(active: &ActiveConfiguration, call: &Call) -> Fingerprint {
    let organisation = active.names.organisations.name(call.organisation);
    Fingerprint::new(organisation, &call.body)
}
